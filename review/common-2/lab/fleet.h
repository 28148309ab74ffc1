#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "replica.h"

namespace review {

// One machine of the system: the program of the deploy file, with a settings file like that of a small deployment.
struct Machine {
  std::string name;
  std::string ip;
  std::string settings_file;
  pid_t pid = 0;
  int starts = 0;
};

// Starts and ends the processes under test, each by its id.
class Fleet {
 public:
  // `folder` is a temporary folder for settings and logs.
  Fleet(const std::string& folder, Record* record, Platform* platform, int count) : m_folder(folder), m_record(record) {
    const int network = getpid() % 62'500;
    for (int i = 0; i < count; ++i) {
      Machine machine;
      machine.name = "front-derwent-a-" + std::to_string(i + 1);
      machine.ip = "127." + std::to_string(1 + network / 250) + "." + std::to_string(1 + network % 250) + "." +
                   std::to_string(1 + i);
      machine.settings_file = folder + "/" + machine.name + ".json";
      m_machines.push_back(machine);
    }
    ChoosePorts();
    for (Machine& machine : m_machines) {
      WriteSettings(machine, platform->address());
      Start(&machine);
    }
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void KillAll() {
    for (Machine& machine : m_machines) {
      Kill(&machine);
    }
  }

  std::vector<Machine>& machines() { return m_machines; }
  int front_port() const { return m_first_port; }

  void Start(Machine* machine) {
    ++machine->starts;
    const std::string log = m_folder + "/" + machine->name + "." + std::to_string(machine->starts) + ".log";
    const std::string variable = "QUETZALRIDGE_SETTINGS=" + machine->settings_file;
    const char* path = std::getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path == nullptr ? "" : path);
    const char* const arguments[] = {"target/quetzalridge_node", nullptr};
    const char* const environment[] = {variable.c_str(), path_variable.c_str(), nullptr};
    // The parent waits until the program runs, so that the memory of the new process is never that of this one.
    const pid_t pid = vfork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
      _exit(127);
    }
    machine->pid = pid;
    m_record->Line("started " + machine->name + " at " + machine->ip + ", start " + std::to_string(machine->starts));
  }

  // Sends a signal to a process that runs.
  void Signal(Machine* machine, int signal_number) {
    if (machine->pid > 0) {
      m_record->Line("signal " + std::to_string(signal_number) + " to " + machine->name);
      kill(machine->pid, signal_number);
    }
  }

  void Kill(Machine* machine) {
    if (machine->pid > 0) {
      kill(machine->pid, SIGKILL);
      waitpid(machine->pid, nullptr, 0);
      machine->pid = 0;
    }
  }

  // If the process has ended by itself, how, else nothing.
  std::string EndOf(Machine* machine) {
    int status = 0;
    if (machine->pid <= 0 || waitpid(machine->pid, &status, WNOHANG) != machine->pid) {
      return "";
    }
    machine->pid = 0;
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit code " + std::to_string(WEXITSTATUS(status));
  }

  // Memory of the process in bytes.
  static int64_t ResidentBytes(const Machine& machine) {
    std::ifstream status("/proc/" + std::to_string(machine.pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmRSS:", 0) == 0) {
        return std::atoll(line.c_str() + 6) * 1024;
      }
    }
    return 0;
  }

  bool IsReady(const Machine& machine) const {
    constexpr int64_t kTimeoutMs = 500;
    return Call(machine.ip, m_first_port + 1, "GET", "/api/readiness", {{"Host", machine.ip}}, "", kTimeoutMs).status ==
           200;
  }

  // Waits until all machines count as ready. False after the time.
  bool WaitUntilReady(int64_t time_ms) const {
    const int64_t deadline = NowMs() + time_ms;
    for (const Machine& machine : m_machines) {
      while (!IsReady(machine)) {
        constexpr int64_t kPauseMs = 100;
        SleepMs(kPauseMs);
        if (NowMs() > deadline) {
          return false;
        }
      }
    }
    return true;
  }

  // The last lines of the log of the machine's last start.
  std::string EndOfLog(const Machine& machine) const {
    std::ifstream log(m_folder + "/" + machine.name + "." + std::to_string(machine.starts) + ".log");
    std::stringstream text;
    text << log.rdbuf();
    const std::string all = text.str();
    constexpr size_t kMost = 380;
    return all.size() > kMost ? all.substr(all.size() - kMost) : all;
  }

  static constexpr int kMemoryMb = 140;

 private:
  // A range of ports that is free at all addresses.
  void ChoosePorts() {
    for (int base = 18'000; base < 30'000; base += 40) {
      bool free = true;
      for (const Machine& machine : m_machines) {
        for (int port = base; port < base + 30 && free; ++port) {
          const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
          const sockaddr_in address = ToAddress(machine.ip, port);
          free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
          close(fd);
        }
      }
      if (free) {
        m_first_port = base;
        return;
      }
    }
    std::_Exit(2);
  }

  void WriteSettings(const Machine& machine, const std::string& platform) const {
    const auto at = [&machine](int port) { return machine.ip + ":" + std::to_string(port); };
    nlohmann::json seeds = nlohmann::json::array();
    for (const Machine& other : m_machines) {
      seeds.push_back(other.ip + ":" + std::to_string(m_first_port + 2));
    }
    const nlohmann::json settings = {
        {"Node", machine.name},
        {"Role", "node"},
        {"MachineClass", "front"},
        {"Serves", {"front", "control"}},
        {"Ip", machine.ip},
        {"Zone", "derwent-a"},
        {"Region", "tas-south"},
        {"Zones", {{"derwent-a", "tas-south"}}},
        {"Listen", {{"Front", at(m_first_port)}, {"Ready", at(m_first_port + 1)}, {"Control", at(m_first_port + 2)}}},
        {"InternalPorts", {m_first_port + 10, m_first_port + 25}},
        {"Seeds", seeds},
        {"Bootstrap", machine.starts == 0},
        {"Limits", {{"CpuShare", 0.5}, {"Cores", 1}, {"MemoryMb", kMemoryMb}, {"MaxFds", 8200}, {"LinkMbps", 1000.0}}},
        {"Discovery", "platform"},
        {"HeartbeatMs", 1200},
        {"Bounds",
         {{"ContactMs", 3000},
          {"DrainMs", 2000},
          {"GraceS", 8},
          {"ConfigApplyMs", 2000},
          {"LeaseMs", 3000},
          {"RequireFence", false},
          {"UsageWindowS", 5},
          {"StatusS", 120},
          {"CancelMs", 3000},
          {"SettleMs", 1000}}},
        {"Platform", {{"Addr", platform}, {"form", "table"}, {"WritesPerS", 800}, {"ReadsPerS", 2000}}},
        {"Cloud", {{"Addr", platform}, {"Duties", {"usage"}}, {"DutyPerS", 50.0}}}};
    std::ofstream(machine.settings_file) << settings.dump(2);
  }

  std::string m_folder;
  Record* m_record;
  std::vector<Machine> m_machines;
  int m_first_port = 0;
};

// The operator's configuration: a batch route for the model servers, a plain route, and two tenants.
inline constexpr char kHost[] = "ficu95.example";
inline constexpr char kBatchPrefix[] = "/pufi791/";
inline constexpr char kPlainPrefix[] = "/lohu930/";
inline constexpr char kTenantA[] = "kaje80";
inline constexpr char kTenantB[] = "vopu11";
inline constexpr char kKeyA[] = "i9n73hh2b9wu3fexd9dn";
inline constexpr char kKeyB[] = "q4z81mm6w0ab7rtyc2ke";
inline constexpr char kModelService[] = "huvo11a";
inline constexpr char kPlainService[] = "wuno96b";

inline nlohmann::json Configuration(int64_t version) {
  return {
      {"Version", version},
      {"Routes",
       {{{"Name", "r-plain"},
         {"Host", kHost},
         {"Prefix", kPlainPrefix},
         {"Kind", "idempotent"},
         {"TimeoutMs", 1500},
         {"TargetLatencyMs", 150},
         {"Priority", 2},
         {"Service", kPlainService},
         {"MaxAttempts", 2},
         {"Public", false}},
        {{"Name", "r-batch"},
         {"Host", kHost},
         {"Prefix", kBatchPrefix},
         {"Kind", "rollout"},
         {"TimeoutMs", 10000},
         {"TargetLatencyMs", 500},
         {"Priority", 1},
         {"Service", kModelService},
         {"MaxAttempts", 3},
         {"MaxQueueS", 40.0},
         {"ResultDeadlineMs", 7500},
         {"SingleVersion", false},
         {"Public", false},
         {"Sticky", true},
         {"Resumable", true}}}},
      {"Services",
       {{{"Name", kModelService},
         {"HealthPath", "/healthz"},
         {"MaxConns", 150},
         {"Protocol", "h1"},
         {"Tls", false},
         {"Engine", {{"Slots", 12}, {"KvCapacity", 41294}, {"Models", {{{"Name", kModel}}}}}}},
        {{"Name", kPlainService}, {"HealthPath", "/healthz"}, {"MaxConns", 100}, {"Protocol", "h1"}, {"Tls", false}}}},
      {"Limits",
       {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 33554432}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
      {"Tenants",
       {{{"Name", kTenantA}, {"ApiKeys", {kKeyA}}, {"Priority", 1}},
        {{"Name", kTenantB}, {"ApiKeys", {kKeyB}}, {"Priority", 1}}}}};
}

// Everything that a case starts.
struct Lab {
  Lab(const std::string& folder, Record* record, int machines, int model_servers) : platform("127.0.0.1", record) {
    platform.Put("op", "config", Configuration(7));
    for (int i = 0; i < model_servers; ++i) {
      replicas.push_back(
          std::make_unique<Replica>(&platform, record, kModelService, "i-model" + std::to_string(i + 1), true));
    }
    replicas.push_back(std::make_unique<Replica>(&platform, record, kPlainService, "i-plain1", false));
    fleet = std::make_unique<Fleet>(folder, record, &platform, machines);
  }

  Platform platform;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::unique_ptr<Fleet> fleet;
};

struct Item {
  std::string id;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string group;
};

inline std::string BatchBody(const std::vector<Item>& items, int desired) {
  nlohmann::json requests = nlohmann::json::array();
  for (const Item& item : items) {
    std::map<std::string, std::string> headers = item.headers;
    headers["X-Quetzalridge-Model"] = kModel;
    headers["X-Quetzalridge-Token-Count"] = "16,25";
    requests.push_back({{"Id", item.id},
                        {"Path", item.path},
                        {"Headers", headers},
                        {"Body", Base64(item.body)},
                        {"Tokens", 41},
                        {"Group", item.group}});
  }
  return nlohmann::json{{"Step", 0}, {"Model", kModel}, {"MinVersion", 1}, {"Desired", desired}, {"Requests", requests}}
      .dump();
}

// A client of batch jobs.
class BatchClient {
 public:
  BatchClient(Fleet* fleet, Record* record, std::string key)
      : m_fleet(fleet), m_record(record), m_key(std::move(key)) {}

  int Submit(const Machine& machine, const std::string& target, const std::string& id, const std::string& body) {
    m_record->Line("submit " + id + " to " + machine.name + ": POST " + target + ", " + std::to_string(body.size()) +
                   " bytes");
    const Response response = Send(machine, "POST", target, {{"X-Quetzalridge-Request-Id", id}}, body);
    m_record->Line("answer to " + id + ": " + std::to_string(response.status) + " " + response.body);
    return response.status;
  }

  int End(const Machine& machine, const std::string& id) {
    const Response response = Send(machine, "DELETE", "/api/lots/" + id, {}, "");
    m_record->Line("end " + id + " at " + machine.name + ": " + std::to_string(response.status));
    return response.status;
  }

  // Reads results until there are `count`, or until the time has passed.
  std::vector<nlohmann::json> Results(const Machine& machine, const std::string& id, size_t count, int64_t time_ms) {
    std::vector<nlohmann::json> results;
    const int64_t deadline = NowMs() + time_ms;
    while (results.size() < count && NowMs() < deadline) {
      const Response response = Send(machine, "GET", "/api/lots/" + id + "?After=" + std::to_string(results.size()),
                                     {{"X-Quetzalridge-Wait-Ms", "1000"}}, "");
      if (response.status == 200) {
        const nlohmann::json page = nlohmann::json::parse(response.body);
        results.insert(results.end(), page.at("Results").begin(), page.at("Results").end());
      }
      constexpr int64_t kPauseMs = 300;
      SleepMs(kPauseMs);
    }
    m_record->Line("results of " + id + " at " + machine.name + ": " + std::to_string(results.size()));
    return results;
  }

  Response Send(const Machine& machine, const std::string& method, const std::string& target, Headers headers,
                const std::string& body) {
    constexpr int64_t kTimeoutMs = 8000;
    headers.emplace_back("Host", kHost);
    headers.emplace_back("Api-Key", m_key);
    headers.emplace_back("Content-Type", "application/json");
    return Call(machine.ip, m_fleet->front_port(), method, target, headers, body, kTimeoutMs);
  }

 private:
  Fleet* m_fleet;
  Record* m_record;
  std::string m_key;
};

// What the arguments and the environment of a case say: the folder of the record, a temporary folder, TROUBLE.
struct CaseArguments {
  std::string record_file;
  std::string folder;
  bool trouble = true;

  static CaseArguments Read(int argc, char** argv) {
    if (argc != 3) {
      std::fprintf(stderr, "usage: %s RECORD TEMPORARY-FOLDER\n", argv[0]);
      std::_Exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    return {argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0"};
  }
};

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Starts a lab of machines and model servers, runs the case in it, and ends all processes. Returns the exit code.
inline int RunCase(int argc, char** argv, int machines, int model_servers,
                   const std::function<int(Lab*, Record*, bool trouble)>& run) {
  const CaseArguments arguments = CaseArguments::Read(argc, argv);
  // The threads of the stand-ins use both until the process ends.
  auto* record = new Record(arguments.record_file);
  auto* lab = new Lab(arguments.folder, record, machines, model_servers);
  constexpr int64_t kStartMs = 15'000;
  int code = kNotRun;
  if (!lab->fleet->WaitUntilReady(kStartMs)) {
    record->Line("the machines are not ready");
  } else {
    // Every machine reads the rows of the others before the case begins.
    constexpr int64_t kSettleMs = 3000;
    SleepMs(kSettleMs);
    code = run(lab, record, arguments.trouble);
  }
  lab->fleet->KillAll();
  record->Line("exit code " + std::to_string(code));
  std::fflush(nullptr);
  _exit(code);
}

}  // namespace review
