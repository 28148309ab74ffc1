#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/admin_client.h"
#include "ctl/exit_code.h"

namespace quetzalridge {

// Options that apply to a command besides its arguments.
struct CommandOptions {
  // Print JSON instead of text for people.
  bool json = false;
  // Only for `burn`: path of the HTML page to write; empty to print a table.
  std::string html_file;
  // Only for `burn`: clients of the instances whose reports are merged with the report of the first instance.
  std::vector<AdminClient*> other_instances;
};

// Help texts of one command.
struct CommandInfo {
  std::string name;
  // Empty if the command takes no arguments.
  std::string argument_syntax;
  std::string summary;
  std::string details;
};

const std::vector<CommandInfo>& ListCommands();
// Returns the help text of one command, or an empty string if the command does not exist.
std::string CommandHelp(const std::string& name);
// Returns a script for tab completion in bash.
std::string BashCompletion();

// Runs one command against the instance of `client`. `arguments` begins with the name of the command.
ExitCode RunCommand(const std::vector<std::string>& arguments, const CommandOptions& options, AdminClient* client,
                    std::ostream& out, std::ostream& err);

}  // namespace quetzalridge
