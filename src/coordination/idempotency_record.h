#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/idempotency_store.h"

namespace quetzalridge {

// The state of a call in its row.
enum class RecordedCallState {
  // Dispatched or about to be. If the row stays in this state, the result of the call is not known.
  kStarted,
  kFinished,
  // Certainly not run. The idempotency key may be used again.
  kNotRun,
};

// The value of a row once/<workspace>/<idempotency key>.
struct IdempotencyRecord {
  RecordedCallState state = RecordedCallState::kStarted;
  uint64_t fingerprint = 0;
  std::string instance;
  // Wall-clock time. Rows are kept for 24 h after it.
  int64_t written_at_ms = 0;
  std::optional<StoredResponse> response;
};

// Leaves out a response that is too large for a row or that is not valid UTF-8.
std::string EncodeIdempotencyRecord(const IdempotencyRecord& record);
// Returns nothing if the text is malformed.
std::optional<IdempotencyRecord> ParseIdempotencyRecord(const std::string& text);

}  // namespace quetzalridge
