#include "standins/common/program_options.h"

#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace quetzalridge {

namespace {

void PrintUsage(std::FILE* out, const char* program, const std::vector<ProgramOption>& options) {
  std::fprintf(out, "usage: %s [options]\n", program);
  for (const ProgramOption& option : options) {
    std::fprintf(out, "  --%-20s %s (default: '%s')\n", option.name.c_str(), option.help.c_str(),
                 option.default_value.c_str());
  }
}

}  // namespace

ProgramOptions::ProgramOptions(int argc, char** argv, const std::vector<ProgramOption>& options) {
  constexpr int kHelp = 1;
  constexpr int kFirstOption = 256;
  std::vector<option> table;
  for (size_t i = 0; i < options.size(); ++i) {
    table.push_back({options[i].name.c_str(), required_argument, nullptr, kFirstOption + static_cast<int>(i)});
    m_values[options[i].name] = options[i].default_value;
  }
  table.push_back({"help", no_argument, nullptr, kHelp});
  table.push_back({nullptr, 0, nullptr, 0});
  for (int chosen = 0; (chosen = getopt_long(argc, argv, "", table.data(), nullptr)) != -1;) {
    if (chosen == kHelp) {
      PrintUsage(stdout, argv[0], options);
      std::exit(0);
    }
    if (chosen < kFirstOption) {
      PrintUsage(stderr, argv[0], options);
      std::exit(2);
    }
    m_values[options[chosen - kFirstOption].name] = optarg;
  }
}

const std::string& ProgramOptions::Text(const std::string& name) const {
  return m_values.at(name);
}

int64_t ProgramOptions::Number(const std::string& name) const {
  const std::string& text = m_values.at(name);
  char* end = nullptr;
  const int64_t value = std::strtoll(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0') {
    std::fprintf(stderr, "option --%s is '%s'; give a whole number\n", name.c_str(), text.c_str());
    std::exit(2);
  }
  return value;
}

std::vector<std::string> ProgramOptions::List(const std::string& name) const {
  std::vector<std::string> parts;
  std::istringstream stream(m_values.at(name));
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

}  // namespace quetzalridge
