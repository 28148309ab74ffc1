#include "tests/history/process_harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "tests/history/record_reader.h"

namespace quetzalridge::history {

namespace {

constexpr Duration kLoopTurn = Duration::Milliseconds(20);
constexpr Duration kStartLimit = Duration::Seconds(20);
constexpr int kMaxChangeAttempts = 20;
constexpr int kReportedLogLines = 20;
constexpr int kServiceUnavailable = 503;
constexpr Duration kChangeRetry = Duration::Milliseconds(200);
constexpr Duration kRefusalLimit = Duration::Seconds(60);
const std::string kListening = "listening on ";

// h2o keeps state of a loop beyond its destruction; one loop serves all tests of the program.
EventLoop* SharedLoop() {
  static EventLoop loop;
  return &loop;
}

// Below the kernel's range of automatic ports (32768 and up), so that neither an outgoing connection nor a UDP socket
// with an automatic port gets the number.
constexpr int kFirstReservablePort = 20'000;
constexpr int kReservablePorts = 12'768;
constexpr int kPortsPerProgram = 97;

std::string Loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

// A second reservation of the same number must fail, so SO_REUSEADDR is set only after the bind.
ReservedPort::ReservedPort() : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // Test programs beside this one begin elsewhere in the range.
  static int next = getpid() * kPortsPerProgram;
  for (int attempt = 0; attempt < kReservablePorts && m_port == 0; ++attempt) {
    const int port = kFirstReservablePort + next++ % kReservablePorts;
    address.sin_port = htons(static_cast<uint16_t>(port));
    if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
      m_port = port;
    }
  }
  if (m_port == 0) {
    throw std::runtime_error("cannot reserve a loopback port; end programs that hold ports 20000 to 32767");
  }
  const int one = 1;
  setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
}

ReservedPort::~ReservedPort() {
  close(m_fd);
}

ProcessHarness::ProcessHarness(uint64_t seed) : m_loop(SharedLoop()), m_client(m_loop), m_random(seed) {
  std::string pattern = (std::filesystem::temp_directory_path() / "quetzalridge-history-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder; set TMPDIR to a writable one");
  }
  m_folder = pattern;
  std::cout << "seed " << seed << std::endl;
}

ProcessHarness::~ProcessHarness() {
  // A test that does not judge its history shows a crash as well.
  for (const std::string& crash : Crashes()) {
    std::cout << crash << std::endl;
  }
  m_daemons.clear();
  m_stand_ins.clear();
  // The logs of a failed run are kept on request.
  if (std::getenv("QUETZALRIDGE_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_folder);
  } else {
    std::cout << "logs and records are in " << m_folder << std::endl;
  }
}

StandInProcess* ProcessHarness::StartPlatform(const std::vector<std::string>& arguments) {
  m_platform = StartStandIn("standin_platform", "platform", "", arguments);
  return m_platform;
}

StandInProcess* ProcessHarness::StartEngine(const std::string& id, const std::string& zone,
                                            const std::vector<std::string>& arguments) {
  return StartStandIn("standin_engine", id, zone, arguments);
}

StandInProcess* ProcessHarness::StartPlainService(const std::string& id, const std::string& zone,
                                                  const std::vector<std::string>& arguments) {
  return StartStandIn("standin_plain_service", id, zone, arguments);
}

StandInProcess* ProcessHarness::StartStandIn(const std::string& program, const std::string& id, const std::string& zone,
                                             std::vector<std::string> arguments) {
  auto stand_in = std::make_unique<StandInProcess>();
  stand_in->id = id;
  stand_in->zone = zone;
  stand_in->port = ReservePort();
  stand_in->record_file = m_folder + "/" + id + ".records";
  arguments.insert(arguments.end(), {"--id", id, "--zone", zone, "--record-file", stand_in->record_file, "--seed",
                                     std::to_string(m_random.Next() >> 1)});
  arguments.insert(arguments.begin(), QUETZALRIDGE_BINARY_DIR "/" + program);
  m_stand_in_commands[id] = arguments;
  m_stand_ins.push_back(std::move(stand_in));
  Restart(m_stand_ins.back().get());
  m_stand_ins.back()->relay = std::make_unique<TcpRelay>(m_stand_ins.back()->port);
  return m_stand_ins.back().get();
}

int ProcessHarness::ReservePort() {
  m_ports.push_back(std::make_unique<ReservedPort>());
  return m_ports.back()->port();
}

void ProcessHarness::Restart(StandInProcess* stand_in) {
  std::vector<std::string> command = m_stand_in_commands[stand_in->id];
  command.insert(command.end(), {"--port", std::to_string(stand_in->port)});
  const std::string program = command.front();
  command.erase(command.begin());
  const std::string log = m_folder + "/" + stand_in->id + ".log";
  stand_in->process.reset();
  std::filesystem::remove(log);
  stand_in->process = std::make_unique<ChildProcess>(program, command, log);
  WaitForPort(stand_in);
}

void ProcessHarness::WaitForPort(StandInProcess* stand_in) {
  const bool started = WaitUntil(
      [stand_in] {
        const std::string log = stand_in->process->ReadLog();
        const size_t at = log.find(kListening);
        if (at == std::string::npos || log.find('\n', at) == std::string::npos) {
          return stand_in->process->HasEnded();
        }
        return true;
      },
      kStartLimit);
  if (!started || stand_in->process->HasEnded()) {
    throw std::runtime_error("the stand-in " + stand_in->id + " did not start: " + stand_in->process->ReadLog());
  }
}

DaemonProcess* ProcessHarness::StartDaemon(const std::string& id, const std::string& zone, const std::string& timing) {
  auto daemon = std::make_unique<DaemonProcess>();
  daemon->id = id;
  daemon->zone = zone;
  daemon->platform_relay = std::make_unique<TcpRelay>(m_platform->port);
  daemon->caller_address = Loopback(ReservePort());
  daemon->admin_address = Loopback(ReservePort());
  daemon->settings_file = m_folder + "/" + id + ".json";
  const nlohmann::json settings = {
      {"instance", {{"id", id}, {"zone", zone}, {"cluster", "history"}}},
      {"listen",
       {{"caller", daemon->caller_address}, {"admin", daemon->admin_address}, {"peer", Loopback(ReservePort())}}},
      {"platform", {{"address", daemon->platform_relay->address()}}},
      {"timing", nlohmann::json::parse(timing)}};
  std::ofstream(daemon->settings_file) << settings.dump(2) << "\n";
  m_daemons.push_back(std::move(daemon));
  Launch(m_daemons.back().get());
  return m_daemons.back().get();
}

void ProcessHarness::Restart(DaemonProcess* daemon) {
  NoteCrash(daemon->id, daemon->process.get());
  daemon->process.reset();
  Launch(daemon);
}

void ProcessHarness::Launch(DaemonProcess* daemon) {
  ++daemon->incarnation;
  std::string program = QUETZALRIDGE_BINARY_DIR "/quetzalridged";
  std::vector<std::string> arguments = {"--settings", daemon->settings_file};
  if (!m_mechanism_off.empty()) {
    program += "_mutant";
    arguments.insert(arguments.end(), {"--off", m_mechanism_off});
  }
  daemon->process = std::make_unique<ChildProcess>(program, arguments, m_folder + "/" + daemon->id + ".log");
}

bool ProcessHarness::WaitUntil(const std::function<bool()>& condition, Duration limit) {
  if (RunUntil(condition, limit)) {
    return true;
  }
  std::cout << "a wait of " << limit.ms() << " ms failed" << std::endl;
  ReportProcesses();
  return false;
}

bool ProcessHarness::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = m_loop->clock().Now() + limit;
  while (!condition()) {
    if (m_loop->clock().Now() > end) {
      return false;
    }
    m_loop->RunOnce(kLoopTurn);
  }
  return true;
}

void ProcessHarness::RunFor(Duration duration) {
  RunUntil([] { return false; }, duration);
}

HttpResponse ProcessHarness::Call(HttpCall call) {
  auto response = std::make_shared<HttpResponse>();
  auto done = std::make_shared<bool>(false);
  m_client.Fetch(std::move(call), [response, done](const HttpResponse& r) {
    *response = r;
    *done = true;
  });
  WaitUntil([done] { return *done; });
  return *response;
}

bool ProcessHarness::IsReady(const DaemonProcess& daemon) {
  HttpCall call;
  call.address = daemon.admin_address;
  call.target = "/readyz";
  call.fresh_connection = true;
  call.head_timeout = Duration::Seconds(2);
  return Call(call).status == 200;
}

bool ProcessHarness::WaitReady() {
  for (const auto& daemon : m_daemons) {
    if (daemon->process->HasEnded()) {
      continue;
    }
    const bool waited = WaitUntil([&] { return daemon->process->HasEnded() || IsReady(*daemon); });
    if (!waited || daemon->process->HasEnded()) {
      std::cout << daemon->id << " is not ready" << std::endl;
      return false;
    }
  }
  return true;
}

void ProcessHarness::ReportProcesses() {
  for (const auto& stand_in : m_stand_ins) {
    Report(stand_in->id, stand_in->process.get());
  }
  for (const auto& daemon : m_daemons) {
    Report(daemon->id, daemon->process.get());
  }
}

void ProcessHarness::Report(const std::string& id, ChildProcess* process) {
  if (process == nullptr) {
    return;
  }
  std::cout << "--- " << id << " " << process->DescribeState() << ", last log lines:\n"
            << process->LastLogLines(kReportedLogLines) << "--- end of " << id << std::endl;
}

void ProcessHarness::NoteCrash(const std::string& id, ChildProcess* process) {
  if (process != nullptr && process->HasCrashed() && m_noted_crashes.insert(process->id()).second) {
    m_crashes.push_back(id + " " + process->DescribeState());
    Report(id, process);
  }
}

std::vector<std::string> ProcessHarness::Crashes() {
  for (const auto& daemon : m_daemons) {
    NoteCrash(daemon->id, daemon->process.get());
  }
  if (m_platform != nullptr) {
    NoteCrash(m_platform->id, m_platform->process.get());
  }
  return std::exchange(m_crashes, {});
}

bool ProcessHarness::WaitEnded(ChildProcess* process, Duration limit) {
  return WaitUntil([process] { return process->HasEnded(); }, limit);
}

void ProcessHarness::SetFaults(const StandInProcess& stand_in, const std::string& json) {
  HttpCall call;
  call.address = stand_in.direct_address();
  call.method = "POST";
  call.target = "/standin/faults";
  call.body = json;
  if (Call(call).status != 200) {
    throw std::runtime_error("the stand-in " + stand_in.id + " did not take the faults " + json);
  }
}

void ProcessHarness::SetInstances(const std::string& json) {
  HttpCall call;
  call.address = m_platform->direct_address();
  call.method = "POST";
  call.target = "/standin/instances";
  call.body = json;
  Call(call);
}

void ProcessHarness::PublishWeights(const std::string& service, int64_t version) {
  HttpCall call;
  call.address = m_platform->direct_address();
  call.method = "POST";
  call.target = "/weights/" + service;
  call.body = nlohmann::json{{"version", version}}.dump();
  Call(call);
}

int64_t ProcessHarness::Change(const DaemonProcess& daemon, const std::string& kind, const std::string& name,
                               const std::string& value_json) {
  int64_t base = 0;
  const int64_t refusals_end_ms = NowMs() + kRefusalLimit.ms();
  for (int attempt = 0; attempt < kMaxChangeAttempts; ++attempt) {
    HttpCall call;
    call.address = daemon.admin_address;
    call.method = "POST";
    call.target = "/admin/change";
    call.body =
        nlohmann::json{
            {"base_version", base}, {"kind", kind}, {"name", name}, {"value", nlohmann::json::parse(value_json)}}
            .dump();
    const HttpResponse response = Call(call);
    const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status == 200) {
      return answer.value("version", int64_t{-1});
    }
    if (response.status == kServiceUnavailable && response.result.outcome == CallOutcome::kWhole &&
        NowMs() < refusals_end_ms) {
      // Refused as not run, with the remedy to send the change again: an instance may not have heard all others yet.
      --attempt;
      RunFor(kChangeRetry);
      continue;
    }
    if (response.status != 409 || !answer.is_object()) {
      std::cout << "change of " << kind << " " << name << " refused: " << response.status << " " << response.body
                << std::endl;
      return -1;
    }
    base = answer.value("version", int64_t{0});
  }
  return -1;
}

std::vector<DaemonProcess*> ProcessHarness::daemons() {
  std::vector<DaemonProcess*> result;
  for (const auto& daemon : m_daemons) {
    result.push_back(daemon.get());
  }
  return result;
}

std::vector<StandInProcess*> ProcessHarness::endpoints() {
  std::vector<StandInProcess*> result;
  for (const auto& stand_in : m_stand_ins) {
    if (stand_in.get() != m_platform) {
      result.push_back(stand_in.get());
    }
  }
  return result;
}

void ProcessHarness::ReadRecords(History* history) const {
  for (const auto& stand_in : m_stand_ins) {
    if (stand_in.get() == m_platform) {
      ReadPlatformRecords(stand_in->record_file, history);
    } else {
      ReadEndpointRecords(stand_in->record_file, stand_in->id, history);
    }
  }
}

}  // namespace quetzalridge::history
