#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace quetzalridge {

// Admitted requests that wait on this instance until an endpoint has a free slot. They are ordered by engine priority,
// so that requests within their workspace's share come first, and then by arrival.
class SlotWaitQueue {
 public:
  // Does nothing if the request is already in the queue, so that it keeps its position.
  void Add(uint64_t id, int engine_priority);
  void Remove(uint64_t id);
  // Returns the ids of the requests in the order in which they may take a free slot.
  std::vector<uint64_t> InOrder() const;
  size_t size() const { return m_keys.size(); }

 private:
  // Engine priority and arrival number.
  using Key = std::pair<int, uint64_t>;

  uint64_t m_last_arrival = 0;
  std::map<Key, uint64_t> m_order;
  std::map<uint64_t, Key> m_keys;
};

}  // namespace quetzalridge
