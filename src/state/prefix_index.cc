#include "state/prefix_index.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace quetzalridge {

uint32_t PrefixIndex::NumberOf(const std::string& endpoint_id) {
  const auto [it, added] = m_numbers.try_emplace(endpoint_id, static_cast<uint32_t>(m_endpoints.size()));
  if (added) {
    m_endpoints.push_back({Hash64(endpoint_id), 0});
  }
  return it->second;
}

std::vector<PrefixIndex::Holder>& PrefixIndex::FindOrAdd(uint64_t prefix_hash) {
  const auto recent = m_recent.find(prefix_hash);
  if (recent != m_recent.end()) {
    return recent->second;
  }
  std::vector<Holder> holders;
  const auto old = m_old.find(prefix_hash);
  if (old != m_old.end()) {
    holders = std::move(old->second);
    m_old.erase(old);
  }
  if (m_recent.size() >= m_max_prefixes / 2) {
    m_old = std::move(m_recent);
    m_recent = Map();
  }
  return m_recent.emplace(prefix_hash, std::move(holders)).first->second;
}

void PrefixIndex::Add(uint64_t prefix_hash, uint32_t endpoint) {
  std::vector<Holder>& holders = FindOrAdd(prefix_hash);
  for (Holder& holder : holders) {
    if (holder.endpoint == endpoint) {
      holder.loss_count = m_endpoints[endpoint].loss_count;
      return;
    }
  }
  holders.push_back({endpoint, m_endpoints[endpoint].loss_count});
}

void PrefixIndex::Remove(uint64_t prefix_hash, uint32_t endpoint) {
  for (Map* map : {&m_recent, &m_old}) {
    const auto it = map->find(prefix_hash);
    if (it == map->end()) {
      continue;
    }
    std::vector<Holder>& holders = it->second;
    holders.erase(
        std::remove_if(holders.begin(), holders.end(), [&](const Holder& h) { return h.endpoint == endpoint; }),
        holders.end());
    if (holders.empty()) {
      map->erase(it);
    }
  }
}

void PrefixIndex::MarkEventsLost(uint32_t endpoint) {
  ++m_endpoints[endpoint].loss_count;
}

const std::vector<PrefixIndex::Holder>& PrefixIndex::Holders(uint64_t prefix_hash) const {
  static const std::vector<Holder> kNone;
  for (const Map* map : {&m_recent, &m_old}) {
    const auto it = map->find(prefix_hash);
    if (it != map->end()) {
      return it->second;
    }
  }
  return kNone;
}

}  // namespace quetzalridge
