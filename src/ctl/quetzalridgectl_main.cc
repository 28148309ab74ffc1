#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "base/ip_port.h"
#include "base/log_event.h"
#include "ctl/commands.h"

namespace quetzalridge {
namespace {

constexpr char kDefaultAddress[] = "127.0.0.1:8081";

void PrintHelp() {
  std::cout << "usage: quetzalridgectl [OPTIONS] COMMAND [ARGUMENTS]\n\noptions:\n"
               "  -a, --address IP:PORT  admin address of an instance (QUETZALRIDGE_ADMIN_ADDRESS; default "
            << kDefaultAddress
            << ");\n"
               "                         repeat it for burn over several instances\n"
               "  -t, --token TOKEN      admin token (QUETZALRIDGE_ADMIN_TOKEN)\n"
               "  -j, --json             print JSON for programs\n"
               "      --html FILE        for burn: write an HTML page\n"
               "  -h, --help             this help, or the help of COMMAND\n\ncommands:\n";
  for (const CommandInfo& info : ListCommands()) {
    std::cout << "  " << info.name << std::string(info.name.size() < 12 ? 12 - info.name.size() : 1, ' ')
              << info.summary << "\n";
  }
  std::cout << "\nexit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 outcome unknown, 5 conflict\n";
}

std::string GetEnvironmentVariable(const char* name, const char* default_value) {
  const char* value = std::getenv(name);
  return value == nullptr ? default_value : value;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  ConfigureLogging(LogSeverity::kError);
  std::vector<std::string> addresses;
  std::string token = GetEnvironmentVariable("QUETZALRIDGE_ADMIN_TOKEN", "");
  CommandOptions options;
  bool help = false;
  // Outside of the range of characters, because --html has no short form.
  constexpr int kHtmlOptionCode = 256;
  const option long_options[] = {
      {"address", required_argument, nullptr, 'a'}, {"token", required_argument, nullptr, 't'},
      {"json", no_argument, nullptr, 'j'},          {"html", required_argument, nullptr, kHtmlOptionCode},
      {"help", no_argument, nullptr, 'h'},          {nullptr, 0, nullptr, 0}};
  int option_code = 0;
  while ((option_code = getopt_long(argc, argv, "a:t:jh", long_options, nullptr)) != -1) {
    switch (option_code) {
      case 'a':
        addresses.push_back(optarg);
        break;
      case 't':
        token = optarg;
        break;
      case 'j':
        options.json = true;
        break;
      case kHtmlOptionCode:
        options.html_file = optarg;
        break;
      case 'h':
        help = true;
        break;
      default:
        std::cerr << "see: quetzalridgectl --help\n";
        return static_cast<int>(ExitCode::kUsage);
    }
  }
  const std::vector<std::string> arguments(argv + optind, argv + argc);
  if (help && !arguments.empty()) {
    const std::string text = CommandHelp(arguments[0]);
    if (text.empty()) {
      std::cerr << "quetzalridgectl: unknown command '" << arguments[0] << "'; see: quetzalridgectl --help\n";
      return static_cast<int>(ExitCode::kUsage);
    }
    std::cout << text;
    return 0;
  }
  if (help || arguments.empty()) {
    PrintHelp();
    return help ? 0 : static_cast<int>(ExitCode::kUsage);
  }
  if (addresses.empty()) {
    addresses.push_back(GetEnvironmentVariable("QUETZALRIDGE_ADMIN_ADDRESS", kDefaultAddress));
  }
  std::vector<std::unique_ptr<HttpAdminClient>> clients;
  for (const std::string& address : addresses) {
    const std::optional<IpPort> ip_port = ParseIpPort(address);
    if (!ip_port.has_value() || ip_port->port == 0) {
      std::cerr << "quetzalridgectl: '" << address
                << "' is not an address; give --address an IPv4 number and a port, such as " << kDefaultAddress << "\n";
      return static_cast<int>(ExitCode::kUsage);
    }
    clients.push_back(std::make_unique<HttpAdminClient>(address, token));
    if (clients.size() > 1) {
      options.other_instances.push_back(clients.back().get());
    }
  }
  return static_cast<int>(RunCommand(arguments, options, clients.front().get(), std::cout, std::cerr));
}

}  // namespace
}  // namespace quetzalridge

int main(int argc, char** argv) {
  return quetzalridge::Main(argc, argv);
}
