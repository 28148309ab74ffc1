#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

// An engine's answer to GET /load. The figures describe the engine as it was `age_ms` ago.
struct EngineLoad {
  int running = 0;
  int queued = 0;
  int64_t kv_used = 0;
  int64_t kv_total = 0;
  int64_t weight_version = 0;
  int64_t age_ms = 0;
  std::string role;
};

struct CacheEvent {
  int64_t sequence = 0;
  bool stored = false;
  uint64_t prefix_hash = 0;
};

// An engine's answer to GET /cache_events. `first` is the oldest event that it still has, `next` the one to ask for.
struct CacheEventBatch {
  int64_t oldest_sequence = 0;
  int64_t next_sequence = 0;
  std::vector<CacheEvent> events;
};

// Nothing when the text is malformed or a figure is out of range.
std::optional<EngineLoad> ParseEngineLoad(std::string_view json);
std::optional<CacheEventBatch> ParseCacheEvents(std::string_view json);

}  // namespace quetzalridge
