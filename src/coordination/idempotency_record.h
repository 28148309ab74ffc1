#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/idempotency_store.h"

namespace quetzalridge {

enum class RecordedCallState {
  kStarted,
  kFinished,
  // Certainly not run; the identity is free again.
  kNotRun,
};

// The value of a row once/<workspace>/<request id>.
struct IdempotencyRecord {
  RecordedCallState state = RecordedCallState::kStarted;
  uint64_t fingerprint = 0;
  std::string instance;
  // Wall clock; rows are kept for 24 h.
  int64_t written_at_ms = 0;
  std::optional<StoredResponse> response;
};

// An answer that is too large for a row, or that is not text, is left out.
std::string EncodeIdempotencyRecord(const IdempotencyRecord& record);
// Nothing when the text is malformed.
std::optional<IdempotencyRecord> ParseIdempotencyRecord(const std::string& text);

}  // namespace quetzalridge
