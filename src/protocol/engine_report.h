#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

// An engine's response to GET /load. The values describe the engine as it was `age_ms` ago.
struct EngineLoad {
  // Numbers of requests.
  int running = 0;
  int queued = 0;
  int64_t kv_used = 0;
  int64_t kv_total = 0;
  int64_t weight_version = 0;
  int64_t age_ms = 0;
  std::string role;
};

// A change of an engine's prefix cache.
struct CacheEvent {
  int64_t sequence = 0;
  // False when the prefix was evicted.
  bool stored = false;
  uint64_t prefix_hash = 0;
};

// An engine's response to GET /cache_events. `oldest_sequence` belongs to the oldest event that the engine still has,
// `next_sequence` to the event to ask for in the next request.
struct CacheEventBatch {
  int64_t oldest_sequence = 0;
  int64_t next_sequence = 0;
  std::vector<CacheEvent> events;
};

// Both functions return nothing when `json` is malformed or a value is out of range.
std::optional<EngineLoad> ParseEngineLoad(std::string_view json);
std::optional<CacheEventBatch> ParseCacheEvents(std::string_view json);

}  // namespace quetzalridge
