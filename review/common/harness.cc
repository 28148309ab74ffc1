#include "review/common/harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"

namespace quetzalridge::review {

namespace {

using Json = nlohmann::json;

constexpr int kPorts = 20;
constexpr int kFirstPort = 18'700;
constexpr int kLastPort = 19'700;
constexpr int kNetworks = 250;
constexpr int64_t kPageBytes = 4096;
constexpr Duration kRestartDelay = Duration::Milliseconds(500);
constexpr Duration kEventGap = Duration::Milliseconds(20);
constexpr Duration kPlainWork = Duration::Milliseconds(25);
constexpr Duration kLoadTime = Duration::Milliseconds(900);
constexpr int kBeatsUntilLapse = 3;
constexpr int kLeastEvents = 8;
constexpr uint64_t kMoreEvents = 35;
constexpr int kQueue = 36;

std::string Loopback(int index) {
  const int network = getpid() % (kNetworks * kNetworks);
  return "127." + std::to_string(1 + network / kNetworks) + "." + std::to_string(1 + network % kNetworks) + "." +
         std::to_string(1 + index);
}

bool IsFree(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return is_free;
}

// The first of a range of ports that are free on all addresses.
int FindFreePorts(int machines) {
  for (int first = kFirstPort; first < kLastPort; first += kPorts) {
    bool all_free = true;
    for (int machine = 0; machine < machines && all_free; ++machine) {
      for (int port = first; port < first + kPorts && all_free; ++port) {
        all_free = IsFree(Loopback(machine), port);
      }
    }
    if (all_free) {
      return first;
    }
  }
  std::cerr << "no free ports\n";
  _exit(kCouldNotRun);
}

int64_t ResidentMb(pid_t process) {
  std::ifstream statm("/proc/" + std::to_string(process) + "/statm");
  int64_t total = 0;
  int64_t resident = 0;
  statm >> total >> resident;
  const int64_t page_bytes = std::max<int64_t>(sysconf(_SC_PAGESIZE), kPageBytes);
  return resident * page_bytes / (int64_t{1} << 20);
}

int64_t UnixMilliseconds() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return int64_t{1000} * now.tv_sec + now.tv_nsec / 1'000'000;
}

Json Route(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service) {
  return {{"Name", name},           {"Host", kHost},          {"Prefix", prefix},
          {"Kind", kind},           {"TimeoutMs", 2000},      {"Service", service},
          {"MaxAttempts", 3},       {"MaxQueueS", 40.0},      {"ResultDeadlineMs", 7500},
          {"TargetLatencyMs", 150}, {"SingleVersion", false}, {"Public", false}};
}

}  // namespace

std::string HeaderOf(const HttpHeaders& headers, const std::string& name) {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

std::string UniqueId() {
  return RandomHex(8);
}

Record::Record(const Clock* clock, const std::string& file) : m_clock(clock), m_began_at(clock->Now()), m_file(file) {}

void Record::Add(const std::string& line) {
  m_file << Elapsed().ms() << " " << line << std::endl;
}

Repeated::Repeated(EventLoop* loop, Duration interval, std::function<void()> function)
    : m_loop(loop), m_interval(interval), m_function(std::move(function)) {
  Schedule();
}

void Repeated::Schedule() {
  m_timer = m_loop->After(m_interval, [this] {
    Schedule();
    m_function();
  });
}

Fleet::Fleet(EventLoop* loop, Record* record, soak::UsersPlatform* platform, const std::string& folder, int count,
             std::string program, int memory_mb)
    : m_loop(loop),
      m_record(record),
      m_folder(folder),
      m_program(std::move(program)),
      m_memory_mb(memory_mb),
      m_first_port(FindFreePorts(count)) {
  for (int i = 0; i < count; ++i) {
    auto machine = std::make_unique<Machine>();
    machine->name = "front-a-" + std::to_string(i + 1);
    machine->ip = Loopback(i);
    machine->settings_file = folder + "/" + machine->name + ".json";
    machine->store_relay = std::make_unique<history::TcpRelay>(platform->port());
    m_machines.push_back(std::move(machine));
  }
  for (const std::unique_ptr<Machine>& machine : m_machines) {
    WriteSettings(*machine);
    Start(machine.get());
  }
}

std::string Fleet::FrontAddress(const Machine& machine) const {
  return machine.ip + ":" + std::to_string(m_first_port);
}

std::string Fleet::ReadyAddress(const Machine& machine) const {
  return machine.ip + ":" + std::to_string(m_first_port + 1);
}

void Fleet::WriteSettings(const Machine& machine) const {
  const auto at = [this, &machine](int port) { return machine.ip + ":" + std::to_string(m_first_port + port); };
  Json seeds = Json::array();
  for (size_t i = 0; i < std::min<size_t>(m_machines.size(), 3); ++i) {
    seeds.push_back(m_machines[i]->ip + ":" + std::to_string(m_first_port + 2));
  }
  const Json bounds = {{"ContactMs", 3000},     {"AckMs", 4000},        {"DrainMs", 2000},    {"GraceS", 8},
                       {"ConfigApplyMs", 2000}, {"LeaseMs", 3000},      {"ThawSlackMs", 300}, {"UsageWindowS", 5},
                       {"UsageLateS", 10},      {"StatusS", 120},       {"CancelMs", 3000},   {"SettleMs", 1000},
                       {"RequireFence", false}, {"StrictRevoke", false}};
  const Json settings = {
      {"Node", machine.name},
      {"Role", "node"},
      {"MachineClass", "front"},
      {"Serves", {"front", "control"}},
      {"Ip", machine.ip},
      {"Zone", "a"},
      {"Region", "r"},
      {"Zones", {{"a", "r"}}},
      {"Listen", {{"Front", at(0)}, {"Ready", at(1)}, {"Control", at(2)}}},
      {"InternalPorts", {m_first_port + 4, m_first_port + kPorts - 1}},
      {"Seeds", seeds},
      {"Bootstrap", true},
      {"Limits", {{"CpuShare", 0.5}, {"Cores", 1}, {"MemoryMb", m_memory_mb}, {"MaxFds", 8200}, {"LinkMbps", 1500.0}}},
      {"DataDir", nullptr},
      {"HeartbeatMs", 1200},
      {"Bounds", bounds},
      {"Platform",
       {{"Addr", machine.store_relay->address()}, {"form", "table"}, {"WritesPerS", 600}, {"ReadsPerS", 2000}}},
      {"Cloud", {{"Addr", machine.store_relay->address()}, {"Duties", {"usage"}}, {"DutyPerS", 50.0}}}};
  std::ofstream(machine.settings_file) << settings.dump(2);
}

void Fleet::Start(Machine* machine) {
  const std::string log = m_folder + "/" + machine->name + "." + std::to_string(++machine->starts) + ".log";
  setenv("QUETZALRIDGE_SETTINGS", machine->settings_file.c_str(), 1);
  machine->process = std::make_unique<history::ChildProcess>(m_program, std::vector<std::string>(), log);
  m_record->Add("start machine=" + machine->name);
}

void Fleet::Kill(Machine* machine, Duration down) {
  if (machine->process == nullptr) {
    return;
  }
  machine->process->Signal(SIGKILL);
  machine->process.reset();
  machine->restart_timer = m_loop->After(down, [this, machine] { Start(machine); });
}

void Fleet::Remove(Machine* machine) {
  machine->restart_timer.reset();
  if (machine->process != nullptr) {
    machine->process->Signal(SIGKILL);
    machine->process.reset();
  }
}

void Fleet::Watch() {
  for (const std::unique_ptr<Machine>& machine : m_machines) {
    if (machine->process == nullptr) {
      continue;
    }
    if (machine->process->HasEnded()) {
      ++machine->own_ends;
      m_record->Add("end machine=" + machine->name + " " + machine->process->DescribeState());
      machine->process.reset();
      machine->restart_timer = m_loop->After(kRestartDelay, [this, machine = machine.get()] { Start(machine); });
      continue;
    }
    const int64_t resident_mb = ResidentMb(machine->process->id());
    machine->peak_rss_mb = std::max(machine->peak_rss_mb, resident_mb);
    if (resident_mb > m_memory_mb) {
      ++machine->memory_ends;
      m_record->Add("end machine=" + machine->name + " memory_mb=" + std::to_string(resident_mb) +
                    " limit_mb=" + std::to_string(m_memory_mb));
      Kill(machine.get(), kRestartDelay);
    }
  }
}

int EventsOf(const std::string& item) {
  return kLeastEvents + static_cast<int>(Hash64(item) % kMoreEvents);
}

std::string EventData(const std::string& item, int event) {
  return item + " token " + std::to_string(event);
}

std::string WholeOutput(const std::string& item) {
  std::string output;
  for (int event = 1; event <= EventsOf(item); ++event) {
    output += (event == 1 ? "" : "\n") + EventData(item, event);
  }
  return output;
}

Replica::Replica(EventLoop* loop, Record* record, soak::UsersPlatform* platform, std::string service, int number,
                 int slots)
    : m_loop(loop),
      m_record(record),
      m_platform(platform),
      m_service(std::move(service)),
      m_name(m_service + "-" + std::to_string(number)),
      m_slots(slots) {
  Open();
}

void Replica::Open() {
  HttpServerOptions options;
  options.request_timeout = Duration::Seconds(30);
  // The server of an earlier start stays, since its connections may refer to it.
  m_server = new HttpServer(m_loop, options, this);
  m_id = m_name + "-" + std::to_string(++m_starts);
  m_born = UnixMilliseconds();
  m_orders = 0;
  m_busy = false;
  m_down = false;
  m_missed_beats = 0;
  Renew();
}

void Replica::Crash(Duration down) {
  if (m_down) {
    return;
  }
  m_record->Add("crash replica=" + m_id);
  m_down = true;
  m_missed_beats = 0;
  while (!m_runs.empty()) {
    Forget(m_runs.begin(), false);
  }
  m_timers.clear();
  m_plain_running = 0;
  m_order_timer.reset();
  const std::list<std::weak_ptr<HttpResponder>> open = std::move(m_open);
  m_open.clear();
  for (const std::weak_ptr<HttpResponder>& candidate : open) {
    if (const std::shared_ptr<HttpResponder> responder = candidate.lock()) {
      responder->SetCloseCallback(nullptr);
      responder->Abort();
    }
  }
  m_server->BeginShutdown();
  m_restart_timer = m_loop->After(down, [this] {
    m_platform->Remove("servers", m_id);
    Open();
    m_record->Add("back replica=" + m_id);
  });
}

void Replica::Renew() {
  if (m_down) {
    if (++m_missed_beats == kBeatsUntilLapse) {
      m_platform->Remove("servers", m_id);
    }
    return;
  }
  Json entry = {{"Service", m_service}, {"Addr", "127.0.0.1:" + std::to_string(m_server->port())},
                {"Zone", "a"},          {"Version", "v1"},
                {"Slots", m_slots},     {"State", "ready"},
                {"ColdRemainingMs", 0}, {"born", m_born},
                {"Seq", ++m_renewals}};
  if (m_service == kEngineService) {
    entry["Stage"] = "both";
    entry["Models"] = {{{"Name", kModel}, {"Version", m_version}, {"Adapters", Json::array()}}};
  }
  m_platform->Put("servers", m_id, entry);
}

void Replica::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  if (m_down) {
    responder->Abort();
    return;
  }
  const std::string expected = HeaderOf(request.headers, "x-quetzalridge-expect-instance");
  if (!expected.empty() && expected != m_id) {
    responder->Send(421, {{"x-quetzalridge-instance-id", m_id}}, "");
    return;
  }
  const std::string expected_version = HeaderOf(request.headers, "x-quetzalridge-expect-version");
  if (!expected_version.empty() && expected_version != std::to_string(m_version)) {
    responder->Send(421, {{"x-quetzalridge-instance-id", m_id}}, "");
    return;
  }
  if (request.path == "/api/report") {
    Report(responder.get());
    return;
  }
  if (request.path == "/api/order") {
    TakeOrder(request, responder.get());
    return;
  }
  const std::string id = HeaderOf(request.headers, "x-quetzalridge-request-id");
  if (running() >= m_slots + kQueue) {
    responder->Send(503, {{"x-quetzalridge-request-id", id}, {"x-quetzalridge-not-run", "1"}}, "");
    return;
  }
  m_record->Add("run request=" + id + " replica=" + m_id + " path=" + request.path);
  m_open.remove_if([](const std::weak_ptr<HttpResponder>& candidate) { return candidate.expired(); });
  m_open.push_back(responder);
  if (m_interceptor && m_interceptor(this, request, responder)) {
    return;
  }
  if (m_service == kEngineService) {
    RunItem(request, responder);
  } else {
    RunPlain(request, responder);
  }
}

void Replica::RunPlain(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const std::string id = HeaderOf(request.headers, "x-quetzalridge-request-id");
  ++m_plain_running;
  const auto timer = m_timers.emplace(m_timers.end());
  *timer = m_loop->After(kPlainWork, [this, timer, id, responder] {
    const std::unique_ptr<Timer> ended = std::move(*timer);
    m_timers.erase(timer);
    --m_plain_running;
    responder->Send(200, {{"x-quetzalridge-request-id", id}, {"x-quetzalridge-server-stamp", m_id + "." + id}},
                    "answer to " + id);
  });
}

void Replica::RunItem(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const std::string id = HeaderOf(request.headers, "x-quetzalridge-request-id");
  const std::string last = HeaderOf(request.headers, "last-event-id");
  const auto run = m_runs.emplace(m_runs.end());
  run->item = id;
  run->next_event = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  run->version = m_version;
  run->responder = responder;
  run->span = m_spans.insert(m_spans.end(), RunSpan{id, m_loop->clock().Now(), std::nullopt, false});
  responder->SetCloseCallback([this, run] { Forget(run, false); });
  responder->Start(200, {{"content-type", "text/event-stream"},
                         {"x-quetzalridge-request-id", id},
                         {"x-quetzalridge-server-stamp", m_id + "." + id},
                         {"x-quetzalridge-weight-versions", std::to_string(m_version)}});
  run->timer = m_loop->After(kEventGap, [this, run] { SendEvent(run); });
}

void Replica::Forget(std::list<Run>::iterator run, bool finished) {
  run->span->ended_at = m_loop->clock().Now();
  run->span->finished = finished;
  m_record->Add(std::string(finished ? "finished" : "cancelled") + " request=" + run->item + " replica=" + m_id);
  m_runs.erase(run);
}

void Replica::SendEvent(std::list<Run>::iterator run) {
  if (run->next_event > EventsOf(run->item)) {
    run->responder->SetCloseCallback(nullptr);
    run->responder->End();
    const std::unique_ptr<Timer> ended = std::move(run->timer);
    Forget(run, true);
    return;
  }
  std::string event;
  if (run->version != m_version) {
    run->version = m_version;
    event = "x-quetzalridge-weight-versions: " + std::to_string(m_version) + "\n";
  }
  event += "id: " + std::to_string(run->next_event) + "\ndata: " + EventData(run->item, run->next_event) + "\n\n";
  ++run->next_event;
  run->timer = m_loop->After(kEventGap, [this, run] { SendEvent(run); });
  run->responder->Write(event);
}

void Replica::TakeOrder(const HttpRequest& request, HttpResponder* responder) {
  const Json order = Json::parse(request.body);
  m_record->Add("order replica=" + m_id + " " + request.body);
  const int64_t version = order.at("Version").get<int64_t>();
  if (m_busy || (order.contains("Expect") && order.at("Expect").get<int64_t>() != m_orders)) {
    responder->Send(409, {}, "");
    return;
  }
  if (version <= m_version) {
    responder->Send(200, {}, "");
    return;
  }
  ++m_orders;
  m_busy = true;
  m_order_timer = m_loop->After(kLoadTime, [this, version] {
    m_busy = false;
    m_version = version;
    Renew();
  });
  responder->Send(202, {}, "");
}

void Replica::Report(HttpResponder* responder) const {
  const Json report = {
      {"Stage", "both"}, {"Models", {{{"Name", kModel}, {"Version", m_version}, {"Adapters", Json::array()}}}},
      {"Busy", m_busy},  {"Seq", m_orders},
      {"NumWaiting", 0}, {"NumRunning", running()},
      {"KvUsed", 0},     {"KvTotal", 82909},
      {"Handles", 0}};
  responder->Send(200, {{"content-type", "application/json"}}, report.dump());
}

Json OperatorConfig() {
  const Json engine = {{"Slots", 12}, {"KvCapacity", 82909}, {"Models", {{{"Name", kModel}}}}};
  return {
      {"Version", 1},
      {"Routes",
       {Route("plain", kPlainPrefix, "idempotent", kPlainService),
        Route("batch", kBatchPrefix, "rollout", kEngineService)}},
      {"Services",
       {{{"Name", kPlainService}, {"HealthPath", "/healthz"}, {"MaxConns", 96}},
        {{"Name", kEngineService}, {"HealthPath", "/healthz"}, {"MaxConns", 150}, {"Engine", engine}}}},
      {"Limits",
       {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 33554432}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
      {"Tenants", {{{"Name", kTenant}, {"ApiKeys", {kKey}}}}}};
}

HttpCall ClientCall(const std::string& address, const std::string& request_id) {
  HttpCall call;
  call.address = address;
  call.headers = {{"host", kHost}, {"api-key", kKey}, {"x-quetzalridge-request-id", request_id}};
  call.connect_timeout = Duration::Seconds(1);
  call.head_timeout = Duration::Seconds(4);
  call.idle_timeout = Duration::Seconds(4);
  call.total_timeout = Duration::Seconds(5);
  return call;
}

CaseOptions ReadCaseOptions() {
  CaseOptions options;
  const char* program = std::getenv("REVIEW_PROGRAM");
  const char* folder = std::getenv("REVIEW_FOLDER");
  const char* record = std::getenv("REVIEW_RECORD");
  if (program == nullptr || folder == nullptr || record == nullptr || access(program, X_OK) != 0) {
    std::cerr << "run this through run.sh, after the build of deploy/system.toml and review/build.sh\n";
    _exit(kCouldNotRun);
  }
  options.program = program;
  options.folder = folder;
  options.record_file = record;
  const char* trouble = std::getenv("TROUBLE");
  options.trouble = trouble == nullptr || std::string(trouble) != "0";
  return options;
}

}  // namespace quetzalridge::review
