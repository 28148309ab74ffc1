#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace quetzalridge {

// Admitted requests that wait at the instance for a free slot of an endpoint. Those within their workspace's share come
// first, and then the order of arrival decides.
class SlotWaitQueue {
 public:
  void Add(uint64_t id, int engine_priority);
  void Remove(uint64_t id);
  // Requests in the order in which they may try.
  std::vector<uint64_t> InOrder() const;
  size_t size() const { return m_keys.size(); }

 private:
  using Key = std::pair<int, uint64_t>;

  uint64_t m_last_arrival = 0;
  std::map<Key, uint64_t> m_order;
  std::map<uint64_t, Key> m_keys;
};

}  // namespace quetzalridge
