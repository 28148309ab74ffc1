#include "standins/engine/prefix_cache.h"

#include <nlohmann/json.hpp>

#include "base/hash.h"

namespace quetzalridge {

namespace {

constexpr size_t kMaxEvents = 4096;

}  // namespace

size_t PrefixCache::Use(const std::string& prompt, TimePoint now) {
  size_t cached = 0;
  uint64_t hash = 0;
  for (size_t end = kBlockBytes; end <= prompt.size(); end += kBlockBytes) {
    hash = Hash64(std::string_view(prompt).substr(end - kBlockBytes, kBlockBytes), hash);
    const auto it = m_blocks.find(hash);
    if (it != m_blocks.end()) {
      cached = cached + kBlockBytes == end ? end : cached;
      m_order.splice(m_order.begin(), m_order, it->second);
      continue;
    }
    m_order.push_front(hash);
    m_blocks[hash] = m_order.begin();
    AddEvent(true, hash, now);
    while (m_order.size() > m_max_blocks) {
      AddEvent(false, m_order.back(), now);
      m_blocks.erase(m_order.back());
      m_order.pop_back();
    }
  }
  return cached;
}

nlohmann::json PrefixCache::Events(int64_t since, TimePoint now) const {
  nlohmann::json events = nlohmann::json::array();
  int64_t next = m_events.empty() ? m_next_seq : m_events.front().seq;
  for (const Event& event : m_events) {
    if (event.visible > now) {
      break;
    }
    next = event.seq + 1;
    if (event.seq >= since) {
      events.push_back(
          {{"seq", event.seq}, {"op", event.stored ? "stored" : "evicted"}, {"prefix_hash", event.prefix_hash}});
    }
  }
  return {{"first", m_events.empty() ? m_next_seq : m_events.front().seq}, {"next", next}, {"events", events}};
}

void PrefixCache::AddEvent(bool stored, uint64_t prefix_hash, TimePoint now) {
  const int64_t seq = m_next_seq++;
  // A missing event leaves a gap in the sequence numbers.
  if (m_faults->Chance("cache_gap_percent")) {
    return;
  }
  const Duration lag = Duration::Milliseconds(m_faults->Number("cache_event_lag_ms", m_event_lag.ms()));
  m_events.push_back({seq, stored, prefix_hash, now + lag});
  if (m_events.size() > kMaxEvents) {
    m_events.pop_front();
  }
}

}  // namespace quetzalridge
