#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "state/batch_job.h"
#include "state/event_transcript.h"

namespace quetzalridge {

enum class ItemPhase {
  kWaiting,
  kRunning,
  // Has its result; not in the stored list yet.
  kFinished,
  kStored,
};

struct ItemProgress {
  ItemPhase phase = ItemPhase::kWaiting;
  EventTranscript transcript;
  // Runs that the endpoint itself reported as failed.
  int failed_runs = 0;
  // Runs in a row that ended without an answer or a new event.
  int runs_without_progress = 0;
  // Not started before.
  TimePoint not_before;
  std::optional<BatchResult> result;
};

// The items of one job and which of them comes next.
//
// The trainer waits for nearly all groups, and a few items generate several times as many tokens as the rest, so the
// last long item decides when the step ends. Items that were interrupted come first, then those with the highest
// estimate; with more items than places, short ones wait and not long ones.
class BatchProgress {
 public:
  explicit BatchProgress(const BatchSpec* spec);

  size_t size() const { return m_items.size(); }
  ItemProgress& item(size_t index) { return m_items[index]; }
  const ItemProgress& item(size_t index) const { return m_items[index]; }
  std::optional<size_t> FindItem(const std::string& id) const;

  // The waiting item that starts next, or nothing.
  std::optional<size_t> NextItem(TimePoint now) const;
  void SetPhase(size_t index, ItemPhase phase);
  int CountIn(ItemPhase phase) const { return m_counts[static_cast<size_t>(phase)]; }
  bool AllStored() const { return CountIn(ItemPhase::kStored) == static_cast<int>(m_items.size()); }

 private:
  static constexpr size_t kPhaseCount = 4;

  std::vector<ItemProgress> m_items;
  // Indices of items, those that start first at the front.
  std::vector<size_t> m_order;
  std::map<std::string, size_t> m_index_by_id;
  int m_counts[kPhaseCount] = {};
};

}  // namespace quetzalridge
