#include "state/batch_progress.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <numeric>
#include <utility>

namespace quetzalridge {

namespace {

bool HasResult(ItemPhase phase) {
  return phase == ItemPhase::kFinished || phase == ItemPhase::kStored;
}

}  // namespace

BatchProgress::BatchProgress(const BatchSpec* spec)
    : m_items(spec->items.size()),
      m_order(spec->items.size()),
      m_position(spec->items.size()),
      m_queue_of(spec->items.size()),
      m_desired_groups(spec->desired_groups) {
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
  OrderWaiting();
}

std::optional<size_t> BatchProgress::FindItem(const std::string& id) const {
  const auto found = m_index_by_id.find(id);
  return found == m_index_by_id.end() ? std::nullopt : std::optional<size_t>(found->second);
}

void BatchProgress::OrderWaiting() {
  m_waiting_with_text.clear();
  m_waiting.assign(m_queue_of.empty() ? 0 : *std::max_element(m_queue_of.begin(), m_queue_of.end()) + 1, {});
  for (size_t position = 0; position < m_order.size(); ++position) {
    m_position[m_order[position]] = position;
    if (m_items[m_order[position]].phase == ItemPhase::kWaiting) {
      AddWaiting(m_order[position]);
    }
  }
}

void BatchProgress::AddWaiting(size_t index) {
  std::set<size_t>& queue = m_items[index].transcript.empty() ? m_waiting[m_queue_of[index]] : m_waiting_with_text;
  // OrderWaiting adds the positions in ascending order, for which this hint saves the search.
  queue.insert(queue.end(), m_position[index]);
}

void BatchProgress::RemoveWaiting(size_t index) {
  m_waiting_with_text.erase(m_position[index]);
  m_waiting[m_queue_of[index]].erase(m_position[index]);
}

void BatchProgress::OnTextChanged(size_t index) {
  if (m_items[index].phase == ItemPhase::kWaiting) {
    RemoveWaiting(index);
    AddWaiting(index);
  }
}

void BatchProgress::SetQueues(std::vector<size_t> queues) {
  m_queue_of = std::move(queues);
  OrderWaiting();
}

// An interrupted item may have to wait for an endpoint with the software version of its text, and the items of a queue
// for an endpoint of their service, so these must not keep the others from starting. A job may have thousands of
// waiting items, and this runs for each free slot, so only the first ones are looked at.
std::vector<size_t> BatchProgress::NextItems(TimePoint now) const {
  const auto may_start = [this, now](size_t position) { return now >= m_items[m_order[position]].not_before; };
  std::vector<size_t> positions;
  std::copy_if(m_waiting_with_text.begin(), m_waiting_with_text.end(), std::back_inserter(positions), may_start);
  const auto with_text = static_cast<std::ptrdiff_t>(positions.size());
  for (const std::set<size_t>& queue : m_waiting) {
    const auto first = std::find_if(queue.begin(), queue.end(), may_start);
    if (first != queue.end()) {
      positions.push_back(*first);
    }
  }
  std::sort(positions.begin() + with_text, positions.end());
  std::transform(positions.begin(), positions.end(), positions.begin(),
                 [this](size_t position) { return m_order[position]; });
  return positions;
}

void BatchProgress::SetExpectedLengths(const std::vector<double>& lengths) {
  std::stable_sort(m_order.begin(), m_order.end(), [&lengths](size_t a, size_t b) { return lengths[a] > lengths[b]; });
  OrderWaiting();
}

int BatchProgress::MissingGroups() const {
  const auto complete = std::count(m_unfinished_in_group.begin(), m_unfinished_in_group.end(), 0);
  return std::max(m_desired_groups - static_cast<int>(complete), 0);
}

void BatchProgress::SetPhase(size_t index, ItemPhase phase) {
  --m_counts[static_cast<size_t>(m_items[index].phase)];
  m_unfinished_in_group[m_group_of[index]] += (HasResult(phase) ? 0 : 1) - (HasResult(m_items[index].phase) ? 0 : 1);
  ++m_counts[static_cast<size_t>(phase)];
  RemoveWaiting(index);
  m_items[index].phase = phase;
  if (phase == ItemPhase::kWaiting) {
    AddWaiting(index);
  }
}

size_t JobMemoryBytes(const std::vector<BatchItem>& items) {
  return std::accumulate(items.begin(), items.end(), items.size() * BatchProgress::kBytesPerItem,
                         [](size_t bytes, const BatchItem& item) { return bytes + MemoryBytes(item); });
}

}  // namespace quetzalridge
