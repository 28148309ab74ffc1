#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/heap_optional.h"
#include "state/batch_job.h"
#include "state/event_transcript.h"

namespace quetzalridge {

enum class ItemPhase {
  kWaiting,
  kRunning,
  // The text is complete, and the response to the reward call is missing.
  kAwaitingScore,
  // The item has its result, which is not stored yet.
  kFinished,
  // The result is stored and in the job's result list.
  kStored,
};

struct ItemProgress {
  ItemPhase phase = ItemPhase::kWaiting;
  EventTranscript transcript;
  // Number of runs that an endpoint reported as failed.
  int failed_runs = 0;
  // Number of runs in a row that ended without a complete response or a new event.
  int runs_without_progress = 0;
  // When the latest run ended without a complete text.
  TimePoint interrupted_at;
  // The item is not started before this time.
  TimePoint not_before;
  HeapOptional<BatchResult> result;
};

// The progress of the items of one job, and the order in which they start.
//
// The trainer waits for nearly all groups, and a few items generate several times as many tokens as the others, so the
// last long item determines when the training step ends. Interrupted items therefore start first, then those with the
// highest token estimate. If there are more items than free slots, the short items wait.
class BatchProgress {
 public:
  // The memory that the progress of an item takes, without its text and result: its state, its place in the order, in a
  // queue and in its group, and its entry in the index.
  static constexpr size_t kBytesPerItem = sizeof(ItemProgress) + 256;

  explicit BatchProgress(const BatchSpec* spec);

  size_t size() const { return m_items.size(); }
  ItemProgress& item(size_t index) { return m_items[index]; }
  const ItemProgress& item(size_t index) const { return m_items[index]; }
  std::optional<size_t> FindItem(const std::string& id) const;

  // Assigns the items to queues, by item index. Items of one queue wait for the same endpoints, and do not keep those
  // of other queues from starting. At first, all items are in one queue.
  void SetQueues(std::vector<size_t> queues);
  // The waiting items that may start next, the first choice first: the interrupted items, then one without a text from
  // each queue.
  std::vector<size_t> NextItems(TimePoint now) const;
  // Must be called when a waiting item gets a text or loses it.
  void OnTextChanged(size_t index);
  // Replaces the token estimates by expected lengths, by item index, for the order in which items start.
  void SetExpectedLengths(const std::vector<double>& lengths);
  void SetPhase(size_t index, ItemPhase phase);
  int CountIn(ItemPhase phase) const { return m_counts[static_cast<size_t>(phase)]; }
  // Number of items in the item's group that have no result yet.
  int UnfinishedInGroupOf(size_t index) const { return m_unfinished_in_group[m_group_of[index]]; }
  // Number of further groups that must be complete before the trainer continues.
  int MissingGroups() const;
  bool AllStored() const { return CountIn(ItemPhase::kStored) == static_cast<int>(m_items.size()); }

 private:
  static constexpr size_t kPhaseCount = 5;

  void OrderWaiting();
  void AddWaiting(size_t index);
  void RemoveWaiting(size_t index);

  std::vector<ItemProgress> m_items;
  // Indices of the items in the order in which they start, highest token estimate first.
  std::vector<size_t> m_order;
  // The position of each item in that order.
  std::vector<size_t> m_position;
  std::vector<size_t> m_queue_of;
  // The positions of the waiting items: those with a text, and the others by queue.
  std::set<size_t> m_waiting_with_text;
  std::vector<std::set<size_t>> m_waiting;
  std::map<std::string, size_t> m_index_by_id;
  int m_counts[kPhaseCount] = {};
  int m_desired_groups = 0;
  // The group of each item, as an index into m_unfinished_in_group.
  std::vector<size_t> m_group_of;
  std::vector<int> m_unfinished_in_group;
};

// The memory that a job with these items takes, without texts and results.
size_t JobMemoryBytes(const std::vector<BatchItem>& items);

}  // namespace quetzalridge
