#include "state/slot_wait_queue.h"

namespace quetzalridge {

void SlotWaitQueue::Add(uint64_t id, int engine_priority) {
  const Key key{engine_priority, ++m_last_arrival};
  if (m_keys.emplace(id, key).second) {
    m_order.emplace(key, id);
  }
}

void SlotWaitQueue::Remove(uint64_t id) {
  const auto it = m_keys.find(id);
  if (it != m_keys.end()) {
    m_order.erase(it->second);
    m_keys.erase(it);
  }
}

std::vector<uint64_t> SlotWaitQueue::InOrder() const {
  std::vector<uint64_t> ids;
  ids.reserve(m_order.size());
  for (const auto& [key, id] : m_order) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace quetzalridge
