#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/once_ledger.h"

namespace quetzalridge {

enum class OnceState {
  kStarted,
  kFinished,
  // Certainly not run; the identity is free again.
  kNotRun,
};

// The value of a row once/<workspace>/<request id>.
struct OnceRecord {
  OnceState state = OnceState::kStarted;
  uint64_t fingerprint = 0;
  std::string instance;
  // Wall clock; rows are kept for 24 h.
  int64_t written_at_ms = 0;
  std::optional<OnceAnswer> answer;
};

// An answer that is too large for a row, or that is not text, is left out.
std::string EncodeOnceRecord(const OnceRecord& record);
// Nothing when the text is malformed.
std::optional<OnceRecord> ParseOnceRecord(const std::string& text);

}  // namespace quetzalridge
