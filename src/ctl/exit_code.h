#pragma once

namespace quetzalridge {

// Exit codes of quetzalridgectl; documented in docs/operations/command_line.md.
enum class ExitCode {
  kOk = 0,
  // The instance or the tool rejected the command, for example because an entry does not exist.
  kRefused = 1,
  // Wrong arguments or options.
  kUsage = 2,
  // The request could not be sent, or some instances did not contribute to a report.
  kUnreachable = 3,
  // The request was sent but its outcome is not known, so a change may be in force.
  kOutcomeUnknown = 4,
  // The configuration has changed since the version that the change was based on.
  kConflict = 5,
};

}  // namespace quetzalridge
