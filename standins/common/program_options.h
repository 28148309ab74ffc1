#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalridge {

struct ProgramOption {
  std::string name;
  std::string default_value;
  std::string help;
};

// Values of a program's long options, `--name value`. Each option has a default.
class ProgramOptions {
 public:
  // Prints the usage and ends the process on --help (status 0) or on an unknown option (status 2).
  ProgramOptions(int argc, char** argv, const std::vector<ProgramOption>& options);

  const std::string& Text(const std::string& name) const;
  int64_t Number(const std::string& name) const;
  bool Flag(const std::string& name) const { return Number(name) != 0; }
  // The parts of a comma-separated value.
  std::vector<std::string> List(const std::string& name) const;

 private:
  std::map<std::string, std::string> m_values;
};

}  // namespace quetzalridge
