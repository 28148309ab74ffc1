#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "tests/history/child_process.h"
#include "tests/history/tcp_relay.h"
#include "tests/soak/soak_log.h"
#include "tests/soak/users_platform.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace quetzalridge::review {

constexpr char kHost[] = "agency.example";
constexpr char kKey[] = "key-of-buyers";
constexpr char kTenant[] = "buyers";
constexpr char kModel[] = "sorting";
constexpr char kPlainPrefix[] = "/lookup/";
constexpr char kBatchPrefix[] = "/sort/";
constexpr char kEngineService[] = "hodnotitel";
constexpr char kPlainService[] = "katalog";

// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

std::string HeaderOf(const HttpHeaders& headers, const std::string& name);
// A name that no two processes share.
std::string UniqueId();

// Writes what was sent, answered and run to `record.txt`, with milliseconds since the start.
class Record {
 public:
  Record(const Clock* clock, const std::string& file);

  void Add(const std::string& line);
  Duration Elapsed() const { return m_clock->Now() - m_began_at; }

 private:
  const Clock* m_clock;
  TimePoint m_began_at;
  std::ofstream m_file;
};

// Runs a function again and again while it exists.
class Repeated {
 public:
  Repeated(EventLoop* loop, Duration interval, std::function<void()> function);

 private:
  void Schedule();

  EventLoop* m_loop;
  Duration m_interval;
  std::function<void()> m_function;
  std::unique_ptr<Timer> m_timer;
};

// One front machine: its process, which is started again after each end.
struct Machine {
  std::string name;
  std::string ip;
  std::string settings_file;
  int starts = 0;
  std::unique_ptr<history::ChildProcess> process;
  // Its way to the platform's store.
  std::unique_ptr<history::TcpRelay> store_relay;
  std::unique_ptr<Timer> restart_timer;
  // Times at which its process had more than `MemoryMb`, and was killed as the pages say.
  int memory_ends = 0;
  // Times at which its process ended without a signal of the case.
  int own_ends = 0;
  int64_t peak_rss_mb = 0;
};

// Runs the project's program on several loopback addresses. Ends only the processes that it started, by their ids.
class Fleet {
 public:
  // `program` is run as the deploy file says: without arguments, in the repository's root.
  Fleet(EventLoop* loop, Record* record, soak::UsersPlatform* platform, const std::string& folder, int count,
        std::string program, int memory_mb);

  std::vector<std::unique_ptr<Machine>>& machines() { return m_machines; }
  std::string FrontAddress(const Machine& machine) const;
  std::string ReadyAddress(const Machine& machine) const;
  // Kills the process; the platform starts it again after `down`.
  void Kill(Machine* machine, Duration down);
  // Kills the process; the machine never comes back.
  void Remove(Machine* machine);
  // To be called every few milliseconds: starts ended processes again, and kills those with too much memory.
  void Watch();

 private:
  void WriteSettings(const Machine& machine) const;
  void Start(Machine* machine);

  EventLoop* m_loop;
  Record* m_record;
  std::string m_folder;
  std::string m_program;
  int m_memory_mb;
  int m_first_port;
  std::vector<std::unique_ptr<Machine>> m_machines;
};

// The number of events in the whole output of an item.
int EventsOf(const std::string& item);
// The data of one event of an item, as each replica makes it.
std::string EventData(const std::string& item, int event);
std::string WholeOutput(const std::string& item);

// The time that an item spent at a replica.
struct RunSpan {
  std::string item;
  TimePoint began_at;
  // Absent while it runs.
  std::optional<TimePoint> ended_at;
  // The replica made the whole output.
  bool finished = false;
};

// A replica: runs plain requests, or items event by event, and takes orders to load a version.
class Replica : public HttpHandler {
 public:
  // Called for a request that would begin to run; returns true if it deals with the request itself.
  using Interceptor = std::function<bool(Replica* replica, const HttpRequest&, const std::shared_ptr<HttpResponder>&)>;

  Replica(EventLoop* loop, Record* record, soak::UsersPlatform* platform, std::string service, int number, int slots);

  void SetInterceptor(Interceptor interceptor) { m_interceptor = std::move(interceptor); }
  const std::string& id() const { return m_id; }
  const std::string& name() const { return m_name; }
  const std::list<RunSpan>& spans() const { return m_spans; }
  int slots() const { return m_slots; }
  int running() const { return static_cast<int>(m_runs.size()) + m_plain_running; }
  bool is_down() const { return m_down; }
  // Resets all connections and comes back under a new id after `down`. Its entry lapses after three heartbeats.
  void Crash(Duration down);
  // Renews the entry in the registry; to be called once in a heartbeat.
  void Renew();

  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

 private:
  struct Run {
    std::string item;
    int next_event = 1;
    int64_t version = 0;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<Timer> timer;
    std::list<RunSpan>::iterator span;
  };

  void Open();
  // Notes that a run has ended, and forgets it.
  void Forget(std::list<Run>::iterator run, bool finished);
  void RunPlain(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void RunItem(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void SendEvent(std::list<Run>::iterator run);
  void TakeOrder(const HttpRequest& request, HttpResponder* responder);
  void Report(HttpResponder* responder) const;

  EventLoop* m_loop;
  Record* m_record;
  soak::UsersPlatform* m_platform;
  std::string m_service;
  std::string m_name;
  int m_slots;
  int m_starts = 0;
  std::string m_id;
  int64_t m_born = 0;
  bool m_down = false;
  int m_missed_beats = 0;
  int64_t m_renewals = 0;
  int64_t m_version = 1;
  int64_t m_orders = 0;
  bool m_busy = false;
  int m_plain_running = 0;
  Interceptor m_interceptor;
  std::list<RunSpan> m_spans;
  std::list<Run> m_runs;
  std::list<std::unique_ptr<Timer>> m_timers;
  std::list<std::weak_ptr<HttpResponder>> m_open;
  std::unique_ptr<Timer> m_order_timer;
  std::unique_ptr<Timer> m_restart_timer;
  HttpServer* m_server = nullptr;
};

// The operator's first configuration: a route of idempotent requests and one of batch jobs.
nlohmann::json OperatorConfig();
// A call of a client, with its key.
HttpCall ClientCall(const std::string& address, const std::string& request_id);

struct CaseOptions {
  std::string program;
  std::string folder;
  std::string record_file;
  bool trouble = true;
};

// Reads the environment that run.sh sets; ends the process with kCouldNotRun if it is incomplete.
CaseOptions ReadCaseOptions();

}  // namespace quetzalridge::review
