#include "state/batch_progress.h"

#include <algorithm>
#include <numeric>

namespace quetzalridge {

BatchProgress::BatchProgress(const BatchSpec* spec) : m_items(spec->items.size()), m_order(spec->items.size()) {
  for (size_t i = 0; i < spec->items.size(); ++i) {
    m_index_by_id[spec->items[i].id] = i;
  }
  std::iota(m_order.begin(), m_order.end(), size_t{0});
  std::stable_sort(m_order.begin(), m_order.end(),
                   [spec](size_t a, size_t b) { return spec->items[a].length_hint > spec->items[b].length_hint; });
  m_counts[static_cast<size_t>(ItemPhase::kWaiting)] = static_cast<int>(m_items.size());
}

std::optional<size_t> BatchProgress::FindItem(const std::string& id) const {
  const auto found = m_index_by_id.find(id);
  return found == m_index_by_id.end() ? std::nullopt : std::optional<size_t>(found->second);
}

std::optional<size_t> BatchProgress::NextItem(TimePoint now) const {
  if (CountIn(ItemPhase::kWaiting) == 0) {
    return std::nullopt;
  }
  std::optional<size_t> first;
  for (const size_t index : m_order) {
    const ItemProgress& item = m_items[index];
    if (item.phase != ItemPhase::kWaiting || now < item.not_before) {
      continue;
    }
    if (!item.transcript.empty()) {
      return index;
    }
    if (!first.has_value()) {
      first = index;
    }
  }
  return first;
}

void BatchProgress::SetPhase(size_t index, ItemPhase phase) {
  --m_counts[static_cast<size_t>(m_items[index].phase)];
  ++m_counts[static_cast<size_t>(phase)];
  m_items[index].phase = phase;
}

}  // namespace quetzalridge
