#pragma once

#include <cstdint>
#include <list>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "standins/common/fault_table.h"

namespace quetzalridge {

// A cache of prompt prefixes in limited memory, least recently used first out. The name of a prefix is the Hash64
// of its last block, with the name of the prefix before it as the seed. Its events become visible late, and some are
// missing.
class PrefixCache {
 public:
  static constexpr size_t kBlockBytes = 256;

  PrefixCache(size_t max_blocks, Duration event_lag, FaultTable* faults)
      : m_max_blocks(max_blocks), m_event_lag(event_lag), m_faults(faults) {}

  // Bytes of the prompt that were cached; afterwards all its whole blocks are.
  size_t Use(const std::string& prompt, TimePoint now);
  size_t blocks() const { return m_order.size(); }
  // {"first","next","events":[…]} from sequence number `since` on.
  nlohmann::json Events(int64_t since, TimePoint now) const;

 private:
  struct Event {
    int64_t seq = 0;
    bool stored = false;
    uint64_t prefix_hash = 0;
    TimePoint visible;
  };

  void AddEvent(bool stored, uint64_t prefix_hash, TimePoint now);

  const size_t m_max_blocks;
  const Duration m_event_lag;
  FaultTable* m_faults;
  // Most recently used first.
  std::list<uint64_t> m_order;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
  std::list<Event> m_events;
  int64_t m_next_seq = 1;
};

}  // namespace quetzalridge
