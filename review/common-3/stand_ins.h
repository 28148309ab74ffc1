#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/random.h"
#include "tests/history/child_process.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace quetzalridge::review {

// What was sent, answered and run, one line each, with the milliseconds since the start of the case.
class Record {
 public:
  Record(const Clock* clock, const std::string& file) : m_clock(clock), m_began_at(clock->Now()), m_file(file) {}
  void Add(const std::string& text);
  // A broken rule. The case exits with 1 if there is one.
  void Break(const std::string& text);
  bool broken() const { return m_broken; }

 private:
  const Clock* m_clock;
  TimePoint m_began_at;
  std::ofstream m_file;
  bool m_broken = false;
};

// Stands in for the platform's store, with the limits of the users' pages, and for its API for duties. Each instance
// calls it at a port of its own.
class Store {
 public:
  enum class Mode {
    kServes,
    kBusy
  };

  Store(EventLoop* loop, Record* record);
  // Opens the port of one more instance.
  int AddPort();
  // Called before a call of the instance with this number is served.
  void SetObserver(std::function<void(size_t number, const HttpRequest& request)> observer) {
    m_observer = std::move(observer);
  }
  // Answers that nothing was done, with status 503, to the instance with this number.
  void SetMode(size_t number, Mode mode) { m_ports[number]->mode = mode; }
  // Writes as the operator and the servers do.
  void Put(const std::string& table, const std::string& key, const nlohmann::json& value);
  bool HasRow(const std::string& table, const std::string& part, const std::string& key) const;

 private:
  using RowKey = std::tuple<std::string, std::string, std::string>;
  struct Row {
    // base64, as on the wire.
    std::string value;
    int64_t version = 0;
  };
  struct Port : public HttpHandler {
    Port(EventLoop* loop, Store* owner, size_t number);
    void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;
    Store* store;
    size_t port_number;
    Mode mode = Mode::kServes;
    HttpServer server;
  };
  // A call that waits for changes.
  struct Watcher {
    Port* port = nullptr;
    std::string table;
    int64_t after = 0;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<Timer> timer;
  };

  void Serve(Port* port, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void Transact(const std::string& body, HttpResponder* responder);
  void ReadRows(const HttpRequest& request, HttpResponder* responder) const;
  void ListParts(const HttpRequest& request, HttpResponder* responder) const;
  void ReadFeed(Port* port, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  bool SendChanges(const std::string& table, int64_t after, HttpResponder* responder) const;
  void AnswerWatchers();
  void Change(const RowKey& key, std::optional<std::string> value);
  static nlohmann::json Describe(const RowKey& key, const Row& row);

  EventLoop* m_loop;
  Record* m_record;
  Random m_random;
  std::vector<std::unique_ptr<Port>> m_ports;
  std::map<RowKey, Row> m_rows;
  // The version that last wrote or removed each row.
  std::map<RowKey, int64_t> m_changed;
  std::list<Watcher> m_watchers;
  std::list<std::unique_ptr<Timer>> m_answer_timers;
  std::function<void(size_t, const HttpRequest&)> m_observer;
  int64_t m_version = 0;
};

// A request that a server began to run.
struct ServerRun {
  std::string id;
  std::string tenant;
  std::string method;
  std::string path;
  std::string body;
  bool has_key = false;
};

// Stands in for a server. Runs an item event by event, and answers any other request at once.
class Server : public HttpHandler {
 public:
  Server(EventLoop* loop, Record* record, Store* store, std::string service, std::string id, std::string zone);
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;
  // Number of events of an item, by its path, and the time between two of them.
  void SetEvents(std::function<int(const std::string& path)> count, Duration gap);
  const std::vector<ServerRun>& runs() const { return m_runs; }
  // Number of items that run.
  size_t running() const { return m_items.size(); }
  // What this server generates as event `number` of a request.
  static std::string EventData(const std::string& path, const std::string& body, int number);

 private:
  struct Item {
    ServerRun run;
    int next = 1;
    int last = 1;
    int64_t version = 1;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<Timer> timer;
  };
  void Beat();
  void TakeOrder(const HttpRequest& request, HttpResponder* responder);
  void RunItem(const HttpRequest& request, const ServerRun& run, const std::shared_ptr<HttpResponder>& responder);
  void SendEvent(std::list<Item>::iterator item);

  EventLoop* m_loop;
  Record* m_record;
  Store* m_store;
  std::string m_service;
  std::string m_id;
  std::string m_zone;
  int64_t m_beats = 0;
  int64_t m_version = 1;
  int64_t m_orders = 0;
  // Set while an order is being carried out.
  std::unique_ptr<Timer> m_load_timer;
  std::unique_ptr<Timer> m_beat_timer;
  std::function<int(const std::string&)> m_event_count;
  Duration m_gap;
  std::vector<ServerRun> m_runs;
  std::list<Item> m_items;
  HttpServer m_server;
};

// One machine of the system and its process.
struct Machine {
  std::string name;
  std::string ip;
  std::string settings_file;
  std::string log_file;
  std::unique_ptr<history::ChildProcess> process;
  // How often its process has ended by itself, or was ended because it took more memory than the machine has.
  int ends = 0;
  // The most memory that a process of the machine was seen to take.
  int64_t peak_kb = 0;
};

struct CaseOptions {
  int machines = 3;
  int engines = 3;
  int plain_servers = 2;
  int memory_mb = 220;
};

constexpr char kHost[] = "ficu95.example";
constexpr char kBatchPrefix[] = "/pufi791/";
constexpr char kPlainPrefix[] = "/lohu930/";
constexpr char kModel[] = "daka510000";
constexpr char kTenant[] = "kaje80";
constexpr char kKey[] = "i9n73hh2b9wu3fexd9dn";
constexpr char kOtherTenant[] = "vopu11";
constexpr char kOtherKey[] = "n2ctnfzs989anu6wsjnb";

// A small deployment on loopback addresses: machines with the program of the deploy file, and stand-ins of the users'
// platform and servers.
class Deployment {
 public:
  // Reads ROOT, FOLDER (of the case) and SCRATCH from the arguments. Throws if the program was not built.
  Deployment(int argc, char** argv, CaseOptions options);
  ~Deployment();

  EventLoop* loop() { return &m_loop; }
  Record* record() { return &m_record; }
  Store* store() { return &m_store; }
  bool trouble() const { return m_trouble; }
  std::vector<std::unique_ptr<Machine>>& machines() { return m_machines; }
  std::vector<std::unique_ptr<Server>>& servers() { return m_servers; }
  TimePoint Now() const { return m_loop.clock().Now(); }

  // Runs the stand-ins for this time.
  void Wait(Duration time);
  // Until the condition holds; false if it does not within the time.
  bool WaitFor(const std::function<bool()>& condition, Duration time);
  // Every machine says that it is ready.
  bool WaitUntilReady();
  void StartProcess(Machine* machine);
  void Signal(Machine* machine, int signal, const std::string& name);
  HttpCall CallTo(const Machine& machine, const std::string& method, const std::string& target,
                  const std::string& key) const;
  // Sends the call and waits for its end. What is sent and answered is recorded.
  HttpResponse Send(HttpCall call, const std::string& what);
  // Sends the call without waiting.
  void SendLater(HttpCall call, std::function<void(const HttpResponse&)> callback);
  // Starts processes again that have ended by themselves, and ends those that take more memory than their machine has,
  // as the platform does.
  void KeepRunning();
  // 0, 1 or 2, as the issue asks.
  int Result();

 private:
  void WriteSettings(const Machine& machine, int store_port) const;
  void WriteConfig();

  EventLoop m_loop;
  std::string m_root;
  std::string m_scratch;
  bool m_trouble;
  CaseOptions m_options;
  Record m_record;
  Store m_store;
  HttpClient m_client;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::unique_ptr<Timer> m_watch_timer;
  std::vector<std::unique_ptr<Timer>> m_restarts;
};

// An item of a batch job as a client sends it.
nlohmann::json MakeItem(const std::string& id, const std::string& path, const std::string& body,
                        const std::string& group);
std::string MakeJob(const nlohmann::json& items, int desired_groups);
std::string DescribeAnswer(const HttpResponse& response);

}  // namespace quetzalridge::review
