#include <getopt.h>
#include <unistd.h>

#include <csignal>
#include <iostream>

#include "base/error.h"
#include "base/log_event.h"
#include "base/process_memory.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"

namespace quetzalridge {
namespace {

constexpr int kExitUsage = 2;
constexpr Duration kSignalCheckInterval = Duration::Milliseconds(100);

// Set by the signal handlers. The main loop checks them.
volatile std::sig_atomic_t g_stop_requested = 0;
volatile std::sig_atomic_t g_reload_requested = 0;

void InstallSignalHandlers() {
  // Without this, writing to a connection that the other side has closed would end the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { g_stop_requested = 1; });
  std::signal(SIGINT, [](int) { g_stop_requested = 1; });
  std::signal(SIGHUP, [](int) { g_reload_requested = 1; });
}

void PrintHelp() {
  std::cout << "usage: quetzalridged --settings FILE\n\n"
               "  -s, --settings FILE  JSON with comments; see docs/operations/settings.md\n"
               "  -h, --help           this help\n\n"
               "SIGTERM or SIGINT begins a graceful shutdown, SIGHUP reloads the TLS certificate.\n";
}

int Serve(const Settings& settings) {
  SetUpProcessMemory();
  EventLoop loop;
  Daemon daemon(&loop, settings);
  while (!daemon.drained()) {
    loop.RunOnce(kSignalCheckInterval);
    if (g_reload_requested != 0) {
      g_reload_requested = 0;
      daemon.ReloadTls();
    }
    if (g_stop_requested != 0) {
      g_stop_requested = 0;
      loop.Post([&daemon] { daemon.BeginDrain(); });
    }
  }
  // Sockets of the event loop still refer to objects of the daemon, so neither object can be destroyed safely. The
  // process exits without running the destructors.
  std::cout.flush();
  _exit(0);
}

int Main(int argc, char** argv) {
  InstallSignalHandlers();
  std::string settings_file;
  const option long_options[] = {
      {"settings", required_argument, nullptr, 's'}, {"help", no_argument, nullptr, 'h'}, {nullptr, 0, nullptr, 0}};
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "s:h", long_options, nullptr)) != -1) {
    if (flag == 'h') {
      PrintHelp();
      return 0;
    }
    if (flag != 's') {
      return kExitUsage;
    }
    settings_file = optarg;
  }
  if (settings_file.empty() || optind < argc) {
    std::cerr << "quetzalridged: give exactly one settings file with --settings FILE\n";
    return kExitUsage;
  }
  try {
    const Settings settings = LoadSettings(settings_file);
    ConfigureLogging(settings.log.level, LogStream::kStandardOutput);
    return Serve(settings);
  } catch (const Error& error) {
    ConfigureLogging(LogSeverity::kInfo, LogStream::kStandardOutput);
    Log(LogEvent::kSettingsRejected, error.what());
    return 1;
  }
}

}  // namespace
}  // namespace quetzalridge

int main(int argc, char** argv) {
  return quetzalridge::Main(argc, argv);
}
