#include "case_kit.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <future>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "base/base64.h"
#include "platform/caller_request_handler.h"

namespace quetzalridge::review {

namespace {

// Relative to the root of the repository, as the deploy file names it.
constexpr char kProgram[] = "target/quetzalridge_node";
constexpr int kNotStarted = 127;
constexpr int kTurnMs = 5;
constexpr int kHeartbeatMs = 1000;
constexpr int kWatchMs = 20;
constexpr int kFirstPort = 20'000;
constexpr int kPorts = 10'000;
constexpr int kPortsPerCase = 20;
constexpr int kNetworks = 250;
constexpr int kMisdirected = 421;
// Rows of at most 64 KB in an answer of at most 1 MB.
constexpr int kLargeRowsInAnswer = 15;

int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string HeaderOf(const HttpRequest& request, const char* name) {
  const std::string* value = FindHeader(request.headers, name);
  return value == nullptr ? "" : *value;
}

std::string Loopback(int index) {
  const int network = getpid() % (kNetworks * kNetworks);
  return "127." + std::to_string(1 + network / kNetworks) + "." + std::to_string(1 + network % kNetworks) + "." +
         std::to_string(1 + index);
}

sockaddr_in ToAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool IsFree(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToAddress(ip, port);
  const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return bound;
}

int64_t ResidentKb(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::atoll(line.c_str() + std::strlen("VmHWM:"));
    }
  }
  return 0;
}

}  // namespace

Record::Record(const std::string& file) : m_stream(file), m_started_at(SteadyMs()) {}

int64_t Record::Now() const {
  return SteadyMs() - m_started_at;
}

void Record::Add(const std::string& line) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stream << Now() << " ms: " << line << std::endl;
}

std::string EventData(const std::string& body, int event) {
  return body + " event " + std::to_string(event);
}

std::string WholeOutput(const std::string& body, int events) {
  std::string output;
  for (int event = 1; event <= events; ++event) {
    output += (event == 1 ? "" : "\n") + EventData(body, event);
  }
  return output;
}

namespace {

HttpServerOptions LargeServer() {
  HttpServerOptions options;
  options.max_body_bytes = 8 << 20;
  options.request_timeout = Duration::Seconds(60);
  return options;
}

}  // namespace

Server::Server(EventLoop* loop, StandIns* owner, std::string id, ServerOptions options)
    : m_loop(loop),
      m_owner(owner),
      m_id(std::move(id)),
      m_options(std::move(options)),
      m_server(loop, LargeServer(), this) {
  Renew();
}

void Server::Renew() {
  if (m_lost) {
    return;
  }
  Json entry = {{"Service", m_options.service},
                {"Addr", "127.0.0.1:" + std::to_string(m_server.port())},
                {"Zone", m_options.zone},
                {"Slots", m_options.slots},
                {"State", "ready"},
                {"Seq", ++m_renewals},
                {"born", 1'700'000'000'000},
                {"ColdRemainingMs", 0},
                {"Version", "v1"}};
  if (m_options.service != kPlainService) {
    entry["Stage"] = "both";
    entry["Models"] = {{{"Name", kModel}, {"Version", 1}, {"Adapters", Json::array()}}};
  }
  m_owner->m_platform->Put("servers", m_id, entry);
}

void Server::Lose() {
  m_lost = true;
  m_server.BeginShutdown();
  for (Run& run : m_runs) {
    run.responder->SetCloseCallback(nullptr);
    run.responder->Abort();
    m_owner->EndRun(run.number, false);
  }
  m_runs.clear();
  m_lapse_timer = m_loop->After(Duration::Milliseconds(int64_t{3} * kHeartbeatMs),
                                [this] { m_owner->m_platform->Remove("servers", m_id); });
}

void Server::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  if (m_lost) {
    responder->Abort();
    return;
  }
  const std::string expected = HeaderOf(request, "x-quetzalridge-expect-instance");
  if (!expected.empty() && expected != m_id) {
    responder->Send(kMisdirected, {{"x-quetzalridge-not-run", "1"}}, "");
    return;
  }
  if (request.path == "/api/report") {
    const Json report = {{"Stage", "both"},
                         {"Models", {{{"Name", kModel}, {"Version", 1}, {"Adapters", Json::array()}}}},
                         {"Busy", false},
                         {"Seq", m_orders}};
    responder->Send(200, {{"content-type", "application/json"}}, report.dump());
    return;
  }
  if (request.path == "/api/order") {
    responder->Send(202, {}, "");
    ++m_orders;
    return;
  }
  ServerRun run;
  run.server = m_id;
  run.service = m_options.service;
  run.id = HeaderOf(request, "x-quetzalridge-request-id");
  run.tenant = HeaderOf(request, "x-quetzalridge-tenant");
  run.method = request.method;
  run.target = request.query.empty() ? request.path : request.path + "?" + request.query;
  run.body = request.body.substr(0, m_options.quoted_bytes);
  const size_t number = m_owner->AddRun(run);
  const std::string stamp = m_id + "." + std::to_string(++m_runs_begun);
  if (m_options.service == kPlainService) {
    m_owner->EndRun(number, true);
    responder->Send(200, {{"x-quetzalridge-request-id", run.id}, {"x-quetzalridge-server-stamp", stamp}},
                    "answer to " + run.id);
    return;
  }
  const std::string last = HeaderOf(request, "last-event-id");
  const auto started = m_runs.emplace(m_runs.end());
  started->prompt = run.body;
  started->number = number;
  started->next_event = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  started->responder = responder;
  responder->SetCloseCallback([this, started] {
    m_owner->EndRun(started->number, false);
    m_runs.erase(started);
  });
  responder->Start(200, {{"content-type", "text/event-stream"},
                         {"x-quetzalridge-request-id", run.id},
                         {"x-quetzalridge-server-stamp", stamp},
                         {"x-quetzalridge-weight-versions", "1"}});
  started->timer =
      m_loop->After(Duration::Milliseconds(m_options.event_gap_ms), [this, started] { SendEvent(started); });
}

void Server::SendEvent(std::list<Run>::iterator run) {
  if (run->next_event > m_options.events) {
    run->responder->SetCloseCallback(nullptr);
    run->responder->End();
    m_owner->EndRun(run->number, true);
    const std::unique_ptr<Timer> ended = std::move(run->timer);
    m_runs.erase(run);
    return;
  }
  const std::string event =
      "id: " + std::to_string(run->next_event) + "\ndata: " + EventData(run->prompt, run->next_event) + "\n\n";
  ++run->next_event;
  run->timer = m_loop->After(Duration::Milliseconds(m_options.event_gap_ms), [this, run] { SendEvent(run); });
  run->responder->Write(event);
}

StoreFront::StoreFront(EventLoop* loop, soak::UsersPlatform* platform)
    : m_platform(platform), m_server(loop, LargeServer(), this) {}

// The rows with the items of a job have up to 64 KB each.
void StoreFront::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  const bool is_read = request.path == "/api/rows-get";
  if (is_read && platform::QueryParameter(request.query, "Table") == "batch-items") {
    const size_t limit = request.query.find("&Limit=");
    request.query = request.query.substr(0, limit) + "&Limit=" + std::to_string(kLargeRowsInAnswer);
  }
  m_platform->OnRequest(std::move(request), std::move(responder));
}

StandIns::StandIns(Record* record, const std::vector<ServerOptions>& servers, bool records_runs)
    : m_record(record), m_records_runs(records_runs), m_log(&m_loop.clock()) {
  m_platform = std::make_unique<soak::UsersPlatform>(&m_loop, &m_log, 1);
  m_store = std::make_unique<StoreFront>(&m_loop, m_platform.get());
  std::map<std::string, int> numbers;
  for (const ServerOptions& options : servers) {
    const std::string id = "i-" + options.service + "-" + std::to_string(++numbers[options.service]);
    m_servers[id] = std::make_unique<Server>(&m_loop, this, id, options);
  }
  m_thread = std::thread([this] { Serve(); });
}

StandIns::~StandIns() {
  m_stopped = true;
  m_thread.join();
  m_record->Add("servers have run " + std::to_string(m_runs.size()) + " requests");
}

void StandIns::Serve() {
  int64_t next_heartbeat = SteadyMs() + kHeartbeatMs;
  while (!m_stopped) {
    m_loop.RunOnce(Duration::Milliseconds(kTurnMs));
    std::vector<std::function<void()>> posted;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      posted.swap(m_posted);
    }
    for (const std::function<void()>& function : posted) {
      function();
    }
    if (SteadyMs() >= next_heartbeat) {
      next_heartbeat = SteadyMs() + kHeartbeatMs;
      for (const auto& [id, server] : m_servers) {
        server->Renew();
      }
    }
  }
}

void StandIns::Call(const std::function<void()>& function) {
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> waiting = done->get_future();
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_posted.push_back([function, done] {
      function();
      done->set_value();
    });
  }
  waiting.get();
}

void StandIns::WriteConfig(const Json& config) {
  Call([this, &config] { m_platform->Put("op", "config", config); });
  m_record->Add("operator: the store acknowledges configuration " + config.at("Version").dump());
}

void StandIns::LoseServer(const std::string& id) {
  Call([this, &id] { m_servers.at(id)->Lose(); });
  m_record->Add("server " + id + " is lost");
}

std::string StandIns::platform_address() {
  return "127.0.0.1:" + std::to_string(m_store->port());
}

std::vector<ServerRun> StandIns::Runs() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_runs;
}

size_t StandIns::AddRun(ServerRun run) {
  run.at = m_record->Now();
  if (m_records_runs) {
    m_record->Add("server " + run.server + " runs request " + run.id + " of tenant '" + run.tenant +
                  "': " + run.method + " " + run.target + ", body of " + std::to_string(run.body.size()) + " bytes");
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_runs.push_back(std::move(run));
  return m_runs.size() - 1;
}

void StandIns::EndRun(size_t number, bool finished) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_runs[number].ended_at = m_record->Now();
  m_runs[number].finished = finished;
}

Machines::Machines(Record* record, const std::string& platform_address, int count, NodeOptions options)
    : m_record(record), m_options(options) {
  std::string folder = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr || access(kProgram, X_OK) != 0) {
    throw std::runtime_error("no temporary folder, or no program under target/; run the build line of the deploy file");
  }
  m_folder = folder;
  for (int i = 0; i < count; ++i) {
    Machine machine;
    machine.name = "front-derwent-a-" + std::to_string(i + 1);
    machine.ip = Loopback(i);
    machine.settings_file = m_folder + "/" + machine.name + ".json";
    machine.log_file = m_folder + "/" + machine.name + ".log";
    m_machines.push_back(machine);
  }
  for (int base = kFirstPort + getpid() % kPorts / kPortsPerCase * kPortsPerCase;; base += kPortsPerCase) {
    bool free = true;
    for (const Machine& machine : m_machines) {
      for (int port = base; port < base + kPortsPerCase; ++port) {
        free = free && IsFree(machine.ip, port);
      }
    }
    if (free) {
      m_front_port = base;
      break;
    }
    if (base > kFirstPort + 2 * kPorts) {
      throw std::runtime_error("no free ports");
    }
  }
  m_ready_port = m_front_port + 1;
  const int control_port = m_front_port + 2;
  const int first_internal_port = m_front_port + 4;
  Json seeds = Json::array();
  for (const Machine& machine : m_machines) {
    seeds.push_back(machine.ip + ":" + std::to_string(control_port));
  }
  for (Machine& machine : m_machines) {
    const auto at = [&machine](int port) { return machine.ip + ":" + std::to_string(port); };
    const Json settings = {
        {"Node", machine.name},
        {"Role", "node"},
        {"MachineClass", "front"},
        {"Serves", {"front", "control"}},
        {"Ip", machine.ip},
        {"Zone", "derwent-a"},
        {"Region", "tas-south"},
        {"Zones", {{"derwent-a", "tas-south"}}},
        {"Listen", {{"Front", at(m_front_port)}, {"Ready", at(m_ready_port)}, {"Control", at(control_port)}}},
        {"InternalPorts", {first_internal_port, first_internal_port + 15}},
        {"Seeds", seeds},
        {"Bootstrap", true},
        {"Limits",
         {{"CpuShare", 0.5},
          {"Cores", 1},
          {"MemoryMb", m_options.memory_mb},
          {"MaxFds", 8200},
          {"LinkMbps", 1000.0},
          {"DiskMb", 0}}},
        {"DataDir", nullptr},
        {"Discovery", "platform"},
        {"HeartbeatMs", 1200},
        {"Contracts",
         {"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "tenants", "leader",
          "platform"}},
        {"Bounds",
         {{"ContactMs", 3000},
          {"AckMs", 4000},
          {"DrainMs", 2000},
          {"GraceS", 8},
          {"ConfigApplyMs", 2000},
          {"RequireFence", false},
          {"LeaseMs", 3000},
          {"ThawSlackMs", 300},
          {"UsageWindowS", 5},
          {"UsageLateS", 10},
          {"FinishS", 10},
          {"StatusS", 120},
          {"CancelMs", 3000},
          {"SettleMs", 1000}}},
        {"Platform",
         {{"Addr", platform_address},
          {"form", "table"},
          {"WritesPerS", 800},
          {"ReadsPerS", 2000},
          {"TxMs", 5.0},
          {"PartWritesS", 200},
          {"RowBytes", 65536},
          {"Across", false},
          {"HistoryS", 20}}},
        {"Cloud", {{"Addr", platform_address}, {"RatePerS", 50.0}, {"Duties", {"usage"}}, {"DutyPerS", 50.0}}}};
    std::ofstream(machine.settings_file) << settings.dump(2);
    Start(&machine);
  }
  m_watcher = std::thread([this] { Watch(); });
}

Machines::~Machines() {
  m_stopped = true;
  m_watcher.join();
  for (Machine& machine : m_machines) {
    if (machine.process > 0) {
      kill(machine.process, SIGKILL);
      waitpid(machine.process, nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

void Machines::Start(Machine* machine) {
  const std::string variable = "QUETZALRIDGE_SETTINGS=" + machine->settings_file;
  const pid_t parent = getpid();
  // This process waits until the program runs, so that the memory of the new one is never taken for that of this one.
  const pid_t process = vfork();
  if (process < 0) {
    throw std::runtime_error("cannot start a process");
  }
  if (process > 0) {
    machine->process = process;
    m_record->Add("machine " + machine->name + " at " + machine->ip + ":" + std::to_string(m_front_port) +
                  ": a process starts");
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kNotStarted);
  }
  const int log = open(machine->log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  char* argv[] = {const_cast<char*>(kProgram), nullptr};
  char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
  execve(kProgram, argv, environment);
  _exit(kNotStarted);
}

// A child is killed when the thread that started it ends, so the watcher lives as long as the machines.
void Machines::Watch() {
  while (!m_stopped) {
    SleepMs(kWatchMs);
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (Machine& machine : m_machines) {
      if (machine.lost) {
        continue;
      }
      if (machine.process <= 0) {
        if (SteadyMs() >= machine.start_at) {
          Start(&machine);
        }
        continue;
      }
      machine.peak_kb = std::max(machine.peak_kb, ResidentKb(machine.process));
      int status = 0;
      const bool over_limit = machine.peak_kb > int64_t{1024} * m_options.memory_mb;
      if (over_limit) {
        m_record->Add("machine " + machine.name + ": the process has taken " + std::to_string(machine.peak_kb) +
                      " KB, over its limit of " + std::to_string(m_options.memory_mb) + " MB, and is killed");
        kill(machine.process, SIGKILL);
      }
      if (waitpid(machine.process, &status, over_limit ? 0 : WNOHANG) != machine.process) {
        continue;
      }
      const std::string how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                  : "exit code " + std::to_string(WEXITSTATUS(status));
      m_record->Add("machine " + machine.name + ": the process has ended with " + how);
      machine.process = -1;
      machine.peak_kb = 0;
      ++machine.ends;
      machine.start_at = SteadyMs() + m_options.restart_ms;
    }
  }
}

bool Machines::IsReady(int machine) {
  const std::string bytes = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
  return Exchange(ip(machine), m_ready_port, bytes, 1000).status == 200;
}

bool Machines::WaitReady(int timeout_ms) {
  const int64_t end = SteadyMs() + timeout_ms;
  while (SteadyMs() < end) {
    bool ready = true;
    for (int i = 0; i < count(); ++i) {
      ready = ready && IsReady(i);
    }
    if (ready) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

int Machines::ends(int machine) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_machines[static_cast<size_t>(machine)].ends;
}

int64_t Machines::peak_kb(int machine) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_machines[static_cast<size_t>(machine)].peak_kb;
}

void Machines::Signal(int machine, int signal) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Machine& target = m_machines[static_cast<size_t>(machine)];
  if (target.process > 0) {
    m_record->Add("machine " + target.name + ": signal " + std::to_string(signal));
    kill(target.process, signal);
  }
}

void Machines::Lose(int machine) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Machine& target = m_machines[static_cast<size_t>(machine)];
  m_record->Add("machine " + target.name + " is lost");
  if (target.process > 0) {
    kill(target.process, SIGKILL);
    waitpid(target.process, nullptr, 0);
  }
  target.process = -1;
  target.lost = true;
}

std::string Machines::LastLogLines(int machine, int count) {
  std::ifstream log(m_machines[static_cast<size_t>(machine)].log_file);
  std::vector<std::string> lines;
  for (std::string line; std::getline(log, line);) {
    lines.push_back(line);
  }
  std::string last;
  for (size_t i = lines.size() - std::min(lines.size(), static_cast<size_t>(count)); i < lines.size(); ++i) {
    last += lines[i] + "\n";
  }
  return last;
}

namespace {

// Decodes a chunked body. Returns whether its end has arrived.
bool DecodeChunks(const std::string& data, std::string* body) {
  size_t at = 0;
  while (true) {
    const size_t line = data.find("\r\n", at);
    if (line == std::string::npos) {
      return false;
    }
    const size_t size = std::strtoull(data.c_str() + at, nullptr, 16);
    at = line + 2;
    if (size == 0) {
      return true;
    }
    if (data.size() < at + size + 2) {
      return false;
    }
    body->append(data, at, size);
    at += size + 2;
  }
}

// Fills in the answer from what has arrived. Returns whether it is complete.
bool Parse(const std::string& data, bool closed, Answer* answer) {
  const size_t head = data.find("\r\n\r\n");
  if (head == std::string::npos) {
    return false;
  }
  *answer = Answer();
  std::istringstream lines(data.substr(0, head));
  std::string line;
  std::getline(lines, line);
  answer->status = line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r ") + 1);
    answer->headers[name] = value;
  }
  const std::string rest = data.substr(head + 4);
  if (answer->headers.count("transfer-encoding") > 0) {
    answer->complete = DecodeChunks(rest, &answer->body);
  } else if (answer->headers.count("content-length") > 0) {
    const size_t size = std::strtoull(answer->headers["content-length"].c_str(), nullptr, 10);
    answer->body = rest.substr(0, size);
    answer->complete = rest.size() >= size;
  } else {
    answer->body = rest;
    answer->complete = closed;
  }
  return answer->complete;
}

}  // namespace

Answer Exchange(const std::string& ip, int port, const std::string& bytes, int timeout_ms) {
  Answer answer;
  const int64_t end = SteadyMs() + timeout_ms;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = ToAddress(ip, port);
  connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  std::string received;
  size_t sent = 0;
  while (SteadyMs() < end) {
    pollfd events{fd, static_cast<short>(sent < bytes.size() ? POLLIN | POLLOUT : POLLIN), 0};
    poll(&events, 1, static_cast<int>(std::max<int64_t>(end - SteadyMs(), 0)));
    if ((events.revents & POLLOUT) != 0) {
      const ssize_t written = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      sent += written > 0 ? static_cast<size_t>(written) : 0;
    }
    if ((events.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      char buffer[65536];
      const ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
      if (size > 0) {
        received.append(buffer, static_cast<size_t>(size));
      }
      const bool closed = size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
      if (Parse(received, size == 0, &answer) || closed) {
        break;
      }
    }
  }
  close(fd);
  return answer;
}

std::string ToBytes(const ClientRequest& request) {
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + kHost + "\r\n";
  if (!request.key.empty()) {
    bytes += "Api-Key: " + request.key + "\r\n";
  }
  if (!request.id.empty()) {
    bytes += "X-Quetzalridge-Request-Id: " + request.id + "\r\n";
  }
  if (request.wait_ms > 0) {
    bytes += "X-Quetzalridge-Wait-Ms: " + std::to_string(request.wait_ms) + "\r\n";
  }
  if (request.deadline_ms > 0) {
    bytes += "X-Quetzalridge-Deadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
  }
  if (!request.body.empty()) {
    bytes += "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return bytes + "Connection: close\r\n\r\n" + request.body;
}

Json BatchItem(const std::string& id, const std::string& body, const std::string& group) {
  return {{"Id", id},
          {"Path", "/finish/" + id},
          {"Headers", {{"X-Quetzalridge-Model", kModel}, {"X-Quetzalridge-Token-Count", "16,25"}}},
          {"Body", EncodeBase64(body)},
          {"Tokens", 41},
          {"Group", group}};
}

ClientRequest Submission(const std::string& job, const Json& items, int desired_groups) {
  ClientRequest request;
  request.method = "POST";
  request.target = "/finish/" + job;
  request.key = "key-of-school";
  request.id = job;
  request.body =
      Json{{"Step", 0}, {"Model", kModel}, {"MinVersion", 1}, {"Desired", desired_groups}, {"Requests", items}}.dump();
  return request;
}

Json Route(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service) {
  return {{"Name", name},           {"Host", kHost},          {"Prefix", prefix},
          {"Kind", kind},           {"TimeoutMs", 1500},      {"Service", service},
          {"MaxAttempts", 3},       {"MaxQueueS", 40.0},      {"ResultDeadlineMs", 7500},
          {"TargetLatencyMs", 150}, {"SingleVersion", false}, {"Public", false}};
}

Json SmallConfig() {
  const Json engine = {{"Slots", 12}, {"Models", {{{"Name", kModel}}}}};
  return {
      {"Version", 1},
      {"Routes",
       {Route("order-status", "/status/", "idempotent", kPlainService),
        Route("finish-fine", "/finish/", "rollout", kEngineService)}},
      {"Services", {{{"Name", kPlainService}}, {{"Name", kEngineService}, {"Engine", engine}}}},
      {"Limits",
       {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 33'554'432}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15'000}}},
      {"Tenants",
       {{{"Name", "museum"}, {"ApiKeys", {"key-of-museum"}}}, {{"Name", "school"}, {"ApiKeys", {"key-of-school"}}}}}};
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

int RunCase(int argc, char** argv, const std::function<int(Record*)>& run) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " FOLDER" << std::endl;
    return kNotRun;
  }
  Record record(std::string(argv[1]) + "/record.txt");
  record.Add(WithTrouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
  int result = kNotRun;
  try {
    result = run(&record);
  } catch (const std::exception& error) {
    record.Add(std::string("the case cannot run: ") + error.what());
  }
  const char* text = result == kHeld ? "the rule held" : result == kBroken ? "the rule was broken" : "not run";
  record.Add(text);
  std::cout << text << std::endl;
  return result;
}

}  // namespace quetzalridge::review
