#include "state/batch_progress.h"

#include <algorithm>
#include <numeric>

namespace quetzalridge {

namespace {

bool HasResult(ItemPhase phase) {
  return phase == ItemPhase::kFinished || phase == ItemPhase::kStored;
}

}  // namespace

BatchProgress::BatchProgress(const BatchSpec* spec)
    : m_items(spec->items.size()), m_order(spec->items.size()), m_desired_groups(spec->desired_groups) {
  std::map<std::string, size_t> group_by_name;
  for (size_t i = 0; i < spec->items.size(); ++i) {
    m_index_by_id[spec->items[i].id] = i;
    const auto [group, is_new] = group_by_name.try_emplace(spec->items[i].group, group_by_name.size());
    m_group_of.push_back(group->second);
    if (is_new) {
      m_unfinished_in_group.push_back(0);
    }
    ++m_unfinished_in_group[group->second];
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

// An interrupted item may have to wait for an endpoint with the software version of its text, so it must not keep the
// others from starting.
std::vector<size_t> BatchProgress::NextItems(TimePoint now) const {
  std::vector<size_t> next;
  if (CountIn(ItemPhase::kWaiting) == 0) {
    return next;
  }
  std::optional<size_t> first_without_text;
  for (const size_t index : m_order) {
    const ItemProgress& item = m_items[index];
    if (item.phase != ItemPhase::kWaiting || now < item.not_before) {
      continue;
    }
    if (!item.transcript.empty()) {
      next.push_back(index);
    } else if (!first_without_text.has_value()) {
      first_without_text = index;
    }
  }
  if (first_without_text.has_value()) {
    next.push_back(*first_without_text);
  }
  return next;
}

void BatchProgress::SetExpectedLengths(const std::vector<double>& lengths) {
  std::stable_sort(m_order.begin(), m_order.end(), [&lengths](size_t a, size_t b) { return lengths[a] > lengths[b]; });
}

int BatchProgress::MissingGroups() const {
  const auto complete = std::count(m_unfinished_in_group.begin(), m_unfinished_in_group.end(), 0);
  return std::max(m_desired_groups - static_cast<int>(complete), 0);
}

void BatchProgress::SetPhase(size_t index, ItemPhase phase) {
  --m_counts[static_cast<size_t>(m_items[index].phase)];
  m_unfinished_in_group[m_group_of[index]] += (HasResult(phase) ? 0 : 1) - (HasResult(m_items[index].phase) ? 0 : 1);
  ++m_counts[static_cast<size_t>(phase)];
  m_items[index].phase = phase;
}

}  // namespace quetzalridge
