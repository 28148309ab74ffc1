#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/soak/soak_log.h"
#include "tests/soak/users_platform.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace quetzalridge::review {

using Json = nlohmann::json;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr char kHost[] = "casts.example";
constexpr char kEngineService[] = "rollout-llm";
constexpr char kPlainService[] = "order-desk";
constexpr char kModel[] = "surface";

// The lines of record.txt, with the time since the start of the case.
class Record {
 public:
  explicit Record(const std::string& file);
  void Add(const std::string& line);
  int64_t Now() const;

 private:
  mutable std::mutex m_mutex;
  std::ofstream m_stream;
  int64_t m_started_at = 0;
};

// A request that a server began to run.
struct ServerRun {
  int64_t at = 0;
  std::string server;
  std::string service;
  std::string id;
  std::string tenant;
  std::string method;
  std::string target;
  std::string body;
  // -1 while it runs.
  int64_t ended_at = -1;
  // It came to its end, and was not broken off.
  bool finished = false;
};

struct ServerOptions {
  std::string service;
  std::string zone = "derwent-a";
  int slots = 12;
  // Events of one item, and the time between two of them.
  int events = 8;
  int event_gap_ms = 20;
  // How much of an item's body its text and the list of runs quote.
  size_t quoted_bytes = std::string::npos;
};

class StandIns;

// A sound server: runs plain requests, or items event by event. An item's text depends on its body.
class Server : public HttpHandler {
 public:
  Server(EventLoop* loop, StandIns* owner, std::string id, ServerOptions options);
  // Renews its entry in the registry.
  void Renew();
  // Is lost for good: its runs break off, connections are refused, and its entry lapses after three heartbeats.
  void Lose();
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

 private:
  struct Run {
    std::string prompt;
    int next_event = 1;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<Timer> timer;
    // Its place in the list of all runs.
    size_t number = 0;
  };
  void SendEvent(std::list<Run>::iterator run);

  EventLoop* m_loop;
  StandIns* m_owner;
  std::string m_id;
  ServerOptions m_options;
  int64_t m_renewals = 0;
  int64_t m_runs_begun = 0;
  int64_t m_orders = 0;
  std::list<Run> m_runs;
  bool m_lost = false;
  std::unique_ptr<Timer> m_lapse_timer;
  HttpServer m_server;
};

// The data of one event of an item with this body.
std::string EventData(const std::string& body, int event);
// The whole output of an item with this body.
std::string WholeOutput(const std::string& body, int events);

// Serves the project's stand-in of the platform, with reads of at most 1 MB.
class StoreFront : public HttpHandler {
 public:
  StoreFront(EventLoop* loop, soak::UsersPlatform* platform);
  int port() const { return m_server.port(); }
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

 private:
  soak::UsersPlatform* m_platform;
  HttpServer m_server;
};

// The platform and the servers, on a thread of their own.
class StandIns {
 public:
  // Without `records_runs`, record.txt has only a count of the runs.
  StandIns(Record* record, const std::vector<ServerOptions>& servers, bool records_runs = true);
  ~StandIns();
  StandIns(const StandIns&) = delete;
  StandIns& operator=(const StandIns&) = delete;

  // Runs a function on the thread of the stand-ins and waits for its end.
  void Call(const std::function<void()>& function);
  // Writes a row as the operator does.
  void WriteConfig(const Json& config);
  // Loses the server with this id for good.
  void LoseServer(const std::string& id);
  std::string platform_address();
  std::vector<ServerRun> Runs();

 private:
  friend class Server;
  void Serve();
  // Returns the run's place in the list.
  size_t AddRun(ServerRun run);
  void EndRun(size_t number, bool finished);

  Record* m_record;
  bool m_records_runs;
  std::mutex m_mutex;
  std::vector<std::function<void()>> m_posted;
  std::vector<ServerRun> m_runs;
  std::atomic<bool> m_stopped{false};
  EventLoop m_loop;
  soak::SoakLog m_log;
  std::unique_ptr<soak::UsersPlatform> m_platform;
  std::unique_ptr<StoreFront> m_store;
  // By their ids.
  std::map<std::string, std::unique_ptr<Server>> m_servers;
  std::thread m_thread;
};

struct NodeOptions {
  int memory_mb = 220;
  // Processes that have ended are started again after this time.
  int restart_ms = 500;
};

// The machines: one process of the program under test on each, which is started again when it has ended.
class Machines {
 public:
  // Throws std::runtime_error if the program cannot be started.
  Machines(Record* record, const std::string& platform_address, int count, NodeOptions options);
  ~Machines();
  Machines(const Machines&) = delete;
  Machines& operator=(const Machines&) = delete;

  int count() const { return static_cast<int>(m_machines.size()); }
  const std::string& ip(int machine) const { return m_machines[static_cast<size_t>(machine)].ip; }
  int front_port() const { return m_front_port; }
  // Waits until all machines answer 200 to readiness checks. Returns false after the time limit.
  bool WaitReady(int timeout_ms);
  bool IsReady(int machine);
  // How often the process of a machine has ended by itself, or was killed for its memory.
  int ends(int machine);
  // The largest resident memory of a machine's processes, in KB.
  int64_t peak_kb(int machine);
  void Signal(int machine, int signal);
  // The machine is lost for good; its process ends, and none is started again.
  void Lose(int machine);
  // The last lines that the machine's process has logged.
  std::string LastLogLines(int machine, int count);

 private:
  struct Machine {
    std::string name;
    std::string ip;
    std::string settings_file;
    std::string log_file;
    pid_t process = -1;
    int ends = 0;
    int64_t peak_kb = 0;
    int64_t start_at = 0;
    bool lost = false;
  };
  void Start(Machine* machine);
  void Watch();

  Record* m_record;
  NodeOptions m_options;
  std::string m_folder;
  int m_front_port = 0;
  int m_ready_port = 0;
  std::mutex m_mutex;
  std::vector<Machine> m_machines;
  std::atomic<bool> m_stopped{false};
  std::thread m_watcher;
};

struct Answer {
  // 0 if no response head came.
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  // The whole body has arrived.
  bool complete = false;
};

// Sends bytes on a new connection and reads until the peer closes it or the response is complete.
Answer Exchange(const std::string& ip, int port, const std::string& bytes, int timeout_ms);

struct ClientRequest {
  std::string method = "GET";
  std::string target;
  std::string key;
  std::string id;
  std::string body;
  int wait_ms = 0;
  int deadline_ms = 0;
};
std::string ToBytes(const ClientRequest& request);
// An item of a batch job on the batch route of SmallConfig.
Json BatchItem(const std::string& id, const std::string& body, const std::string& group);
// The submission of a batch job there by tenant "school".
ClientRequest Submission(const std::string& job, const Json& items, int desired_groups);

// The operator's configuration of a small deployment.
Json Route(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service);
Json SmallConfig();

void SleepMs(int64_t ms);
// Whether the disruption is wanted: false if TROUBLE=0 is in the environment.
bool WithTrouble();

// Runs a case with `record.txt` in the folder that is the first argument; reports exceptions as kNotRun.
int RunCase(int argc, char** argv, const std::function<int(Record*)>& run);

}  // namespace quetzalridge::review
