#include <unistd.h>

#include <csignal>
#include <iostream>
#include <map>
#include <string>

#include "base/error.h"
#include "base/log_event.h"
#include "daemon/daemon.h"
#include "daemon/mechanisms.h"
#include "daemon/settings.h"

// The service process with one mechanism switched off. Tests run it to show that the history checks find the violation
// which the mechanism prevents. Usage: quetzalridged_mutant --settings FILE --off MECHANISM

namespace quetzalridge {
namespace {

constexpr int kExitUsage = 2;
constexpr int kArgumentCount = 5;
constexpr Duration kSignalCheckInterval = Duration::Milliseconds(100);

volatile std::sig_atomic_t g_stop_requested = 0;

// Maps the values of --off to members of Mechanisms.
const std::map<std::string, bool Mechanisms::*>& MechanismMembers() {
  static const std::map<std::string, bool Mechanisms::*> kMembers = {
      {"key_check", &Mechanisms::key_check},
      {"key_removal", &Mechanisms::key_removal},
      {"request_id_check", &Mechanisms::request_id_check},
      {"not_run_rule", &Mechanisms::not_run_rule},
      {"once_record", &Mechanisms::idempotency_record},
      {"leaving_mark", &Mechanisms::leaving_endpoint_exclusion},
      {"graceful_shutdown", &Mechanisms::graceful_shutdown},
  };
  return kMembers;
}

void Serve(const Settings& settings, const Mechanisms& mechanisms) {
  EventLoop loop;
  Daemon daemon(&loop, settings, mechanisms);
  while (!daemon.drained()) {
    loop.RunOnce(kSignalCheckInterval);
    if (g_stop_requested != 0) {
      g_stop_requested = 0;
      loop.Post([&daemon] { daemon.BeginDrain(); });
    }
  }
  // As in quetzalridged, sockets of the event loop still refer to objects of the daemon, so the process exits without
  // running the destructors.
  _exit(0);
}

int Main(int argc, char** argv) {
  std::signal(SIGTERM, [](int) { g_stop_requested = 1; });
  const bool is_usage_valid =
      argc == kArgumentCount && std::string(argv[1]) == "--settings" && std::string(argv[3]) == "--off";
  const auto mechanism = is_usage_valid ? MechanismMembers().find(argv[4]) : MechanismMembers().end();
  if (mechanism == MechanismMembers().end()) {
    std::cerr << "usage: quetzalridged_mutant --settings FILE --off MECHANISM\n";
    return kExitUsage;
  }
  Mechanisms mechanisms;
  mechanisms.*(mechanism->second) = false;
  try {
    const Settings settings = LoadSettings(argv[2]);
    ConfigureLogging(settings.log.level, LogStream::kStandardOutput);
    Serve(settings, mechanisms);
    return 0;
  } catch (const Error& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}

}  // namespace
}  // namespace quetzalridge

int main(int argc, char** argv) {
  return quetzalridge::Main(argc, argv);
}
