#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/admin_client.h"
#include "ctl/exit_code.h"

namespace quetzalridge {

struct CommandOptions {
  bool json = false;
  // For `burn`: write an HTML page to this file.
  std::string html_file;
  // For `burn`: the instances whose reports are added to that of the first one.
  std::vector<AdminClient*> other_instances;
};

struct CommandInfo {
  std::string name;
  std::string argument_syntax;
  std::string summary;
  std::string details;
};

const std::vector<CommandInfo>& ListCommands();
std::string CommandHelp(const std::string& name);
std::string BashCompletion();

// Runs one command; `words` are the command and its arguments.
ExitCode RunCommand(const std::vector<std::string>& arguments, const CommandOptions& options, AdminClient* client,
                    std::ostream& out, std::ostream& err);

}  // namespace quetzalridge
