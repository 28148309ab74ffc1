#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalridge {

// Tracks which endpoints are assumed to have which prompt prefixes in their cache. The size is bounded: prefixes that
// were not added again for a long time are removed.
class PrefixIndex {
 public:
  // An endpoint that is assumed to have a prefix in its cache.
  struct Holder {
    // Number of the endpoint; see NumberOf.
    uint32_t endpoint = 0;
    // The endpoint's loss count when the entry was last confirmed. The loss count says how often cache events were
    // lost.
    uint32_t loss_count = 0;
  };

  explicit PrefixIndex(size_t max_prefixes) : m_max_prefixes(max_prefixes) {}

  // Returns a small number for the endpoint, which the first call assigns.
  uint32_t NumberOf(const std::string& endpoint_id);
  // Returns a hash of the endpoint's id, which is the same on all instances.
  uint64_t StableHash(uint32_t endpoint) const { return m_endpoints[endpoint].stable_hash; }
  void Add(uint64_t prefix_hash, uint32_t endpoint);
  void Remove(uint64_t prefix_hash, uint32_t endpoint);
  // Records that cache events of the endpoint were lost, so that all its entries become unreliable.
  void MarkEventsLost(uint32_t endpoint);

  // Returns the holders of the prefix; empty if none is known.
  const std::vector<Holder>& Holders(uint64_t prefix_hash) const;
  // True if no cache events of the endpoint were lost since the entry was confirmed.
  bool IsReliable(const Holder& holder) const { return holder.loss_count == m_endpoints[holder.endpoint].loss_count; }
  // True if cache events were lost at most once since the entry was confirmed. Older entries count as evicted.
  bool IsUsable(const Holder& holder) const { return m_endpoints[holder.endpoint].loss_count - holder.loss_count <= 1; }

  size_t size() const { return m_recent.size() + m_old.size(); }

 private:
  struct Endpoint {
    uint64_t stable_hash = 0;
    uint32_t loss_count = 0;
  };
  using Map = std::unordered_map<uint64_t, std::vector<Holder>>;
  // Returns the holders of the prefix and moves its entry to the recent generation.
  std::vector<Holder>& FindOrAdd(uint64_t prefix_hash);

  size_t m_max_prefixes;
  std::unordered_map<std::string, uint32_t> m_numbers;
  std::vector<Endpoint> m_endpoints;
  // Two generations approximate the removal of the least recently used entries: when the recent one is full, it becomes
  // the old one, and the previous old one is dropped.
  Map m_recent;
  Map m_old;
};

}  // namespace quetzalridge
