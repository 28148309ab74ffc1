#pragma once

namespace quetzalridge {

// Exit codes of quetzalridgectl; documented in docs/operations/command_line.md.
enum class ExitCode {
  kOk = 0,
  kRefused = 1,
  kUsage = 2,
  kUnreachable = 3,
  // The change was sent, but no answer came: it may be in force.
  kOutcomeUnknown = 4,
  // Another operator changed the configuration first.
  kConflict = 5,
};

}  // namespace quetzalridge
