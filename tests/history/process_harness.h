#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "tests/history/child_process.h"
#include "tests/history/history.h"
#include "tests/history/tcp_relay.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace quetzalridge::history {

// A stand-in with a relay in front of it; callers use the relay's address.
struct StandInProcess {
  std::string id;
  std::string zone;
  std::string record_file;
  std::unique_ptr<ChildProcess> process;
  int port = 0;
  std::unique_ptr<TcpRelay> relay;

  // The way around the relay, for faults and records.
  std::string direct_address() const { return "127.0.0.1:" + std::to_string(port); }
};

struct DaemonProcess {
  std::string id;
  std::string zone;
  // Counts the starts.
  int incarnation = 0;
  std::string settings_file;
  std::string caller_address;
  std::string admin_address;
  std::unique_ptr<ChildProcess> process;
  // Between this instance and the platform.
  std::unique_ptr<TcpRelay> platform_relay;
};

// A loopback port that no other test program and no outgoing connection gets while this lives: the socket is bound and
// does not listen, which lets a server with SO_REUSEADDR listen on the port, also again after a restart. The UDP port
// of the same number is free too, since all test programs reserve their ports in this way.
class ReservedPort {
 public:
  ReservedPort();
  ~ReservedPort();
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  int port() const { return m_port; }

 private:
  int m_fd = -1;
  int m_port = 0;
};

// Starts and ends the project's own processes. Everything that runs on the test's side runs on one event loop.
class ProcessHarness {
 public:
  explicit ProcessHarness(uint64_t seed);
  ~ProcessHarness();
  ProcessHarness(const ProcessHarness&) = delete;
  ProcessHarness& operator=(const ProcessHarness&) = delete;

  EventLoop* loop() { return m_loop; }
  HttpClient* client() { return &m_client; }
  Random* random() { return &m_random; }
  int64_t NowMs() const { return m_loop->clock().Now().ms(); }
  const std::string& folder() const { return m_folder; }

  StandInProcess* StartPlatform(const std::vector<std::string>& arguments = {});
  StandInProcess* StartEngine(const std::string& id, const std::string& zone,
                              const std::vector<std::string>& arguments = {});
  StandInProcess* StartPlainService(const std::string& id, const std::string& zone,
                                    const std::vector<std::string>& arguments = {});
  // Starts a stand-in again under its port, for example after a crash. Its records go on in the same file.
  void Restart(StandInProcess* stand_in);
  // `timing` is the settings section of that name, as JSON. Does not wait.
  DaemonProcess* StartDaemon(const std::string& id, const std::string& zone, const std::string& timing = "{}");
  void Restart(DaemonProcess* daemon);
  // Daemons that start from now on run without the mechanism, see tests/mutants.
  void SetMechanismOff(const std::string& mechanism) { m_mechanism_off = mechanism; }

  // Runs the loop until the condition holds; false after a generous limit, with a report of all processes.
  bool WaitUntil(const std::function<bool()>& condition, Duration limit = Duration::Seconds(60));
  void RunFor(Duration duration);
  HttpResponse Call(HttpCall call);
  bool IsReady(const DaemonProcess& daemon);
  // Waits for /readyz of every daemon that runs.
  bool WaitReady();
  bool WaitEnded(ChildProcess* process, Duration limit = Duration::Seconds(60));
  // Prints how each process ended, or what it does, and its last log lines.
  void ReportProcesses();
  // Instances and the platform that ended although the test neither killed nor stopped them, restarted ones included.
  std::vector<std::string> Crashes();

  void SetFaults(const StandInProcess& stand_in, const std::string& json);
  void SetInstances(const std::string& json);
  void PublishWeights(const std::string& service, int64_t version);
  // One configuration change through an instance, repeated after a lost race; the version, or -1 when it was refused.
  int64_t Change(const DaemonProcess& daemon, const std::string& kind, const std::string& name,
                 const std::string& value_json);

  StandInProcess* platform() { return m_platform; }
  std::vector<DaemonProcess*> daemons();
  std::vector<StandInProcess*> endpoints();
  // Adds what the stand-ins recorded.
  void ReadRecords(History* history) const;

 private:
  StandInProcess* StartStandIn(const std::string& program, const std::string& id, const std::string& zone,
                               std::vector<std::string> arguments);
  int ReservePort();
  void WaitForPort(StandInProcess* stand_in);
  void Launch(DaemonProcess* daemon);
  void Report(const std::string& id, ChildProcess* process);
  void NoteCrash(const std::string& id, ChildProcess* process);
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  EventLoop* m_loop;
  HttpClient m_client;
  Random m_random;
  std::string m_folder;
  StandInProcess* m_platform = nullptr;
  std::map<std::string, std::vector<std::string>> m_stand_in_commands;
  std::vector<std::unique_ptr<StandInProcess>> m_stand_ins;
  std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
  std::string m_mechanism_off;
  std::vector<std::unique_ptr<ReservedPort>> m_ports;
  std::vector<std::string> m_crashes;
  std::set<pid_t> m_noted_crashes;
};

}  // namespace quetzalridge::history
