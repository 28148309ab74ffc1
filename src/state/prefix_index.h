#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalridge {

// Which endpoints are believed to hold which prompt prefixes in their cache. The memory is bounded: prefixes that were
// not touched for long are forgotten.
class PrefixIndex {
 public:
  struct Holder {
    uint32_t endpoint = 0;
    // The endpoint's gap count when the entry was last confirmed.
    uint32_t loss_count = 0;
  };

  explicit PrefixIndex(size_t max_prefixes) : m_max_prefixes(max_prefixes) {}

  // A small number for the endpoint, drawn at the first call.
  uint32_t NumberOf(const std::string& endpoint_id);
  // A hash of the endpoint's identity that is the same on all instances.
  uint64_t StableHash(uint32_t endpoint) const { return m_endpoints[endpoint].stable_hash; }
  void Add(uint64_t prefix_hash, uint32_t endpoint);
  void Remove(uint64_t prefix_hash, uint32_t endpoint);
  void MarkEventsLost(uint32_t endpoint);

  // Empty when no endpoint is known to hold the prefix.
  const std::vector<Holder>& Holders(uint64_t prefix_hash) const;
  // No event of the endpoint was lost since the entry was confirmed.
  bool IsReliable(const Holder& holder) const { return holder.loss_count == m_endpoints[holder.endpoint].loss_count; }
  // At most one gap since the entry was confirmed; older entries count as evicted.
  bool IsUsable(const Holder& holder) const { return m_endpoints[holder.endpoint].loss_count - holder.loss_count <= 1; }

  size_t size() const { return m_recent.size() + m_old.size(); }

 private:
  struct Endpoint {
    uint64_t stable_hash = 0;
    uint32_t loss_count = 0;
  };
  using Map = std::unordered_map<uint64_t, std::vector<Holder>>;
  std::vector<Holder>& FindOrAdd(uint64_t prefix_hash);

  size_t m_max_prefixes;
  std::unordered_map<std::string, uint32_t> m_numbers;
  std::vector<Endpoint> m_endpoints;
  // Two generations in place of a list in order of use: when the recent one is full, the old one is dropped.
  Map m_recent;
  Map m_old;
};

}  // namespace quetzalridge
