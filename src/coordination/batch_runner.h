#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/batch_records.h"
#include "coordination/callback_guard.h"
#include "coordination/endpoint_caller.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "state/batch_progress.h"
#include "state/endpoint_choice.h"
#include "state/endpoint_directory.h"
#include "state/serving_config.h"

namespace quetzalridge {

// What the batch jobs of one instance share. All pointers outlive the jobs.
struct BatchContext {
  TableStore* store = nullptr;
  Scheduler* scheduler = nullptr;
  const RouteTable* routes = nullptr;
  EndpointDirectory* endpoints = nullptr;
  EndpointCaller* caller = nullptr;
  std::function<int64_t()> wall_ms;
  // This process.
  std::string instance;
  std::string incarnation;
  std::string zone;
};

// The rows of a job as read from the table.
struct BatchRows {
  BatchHead head;
  BatchOwner owner;
  int64_t owner_version = 0;
  BatchResultList result_list;
  int64_t result_list_version = 0;
  bool ended = false;
};

// Nothing when the head is missing or a row is malformed; `malformed` tells which.
std::optional<BatchRows> ReadBatchRows(const std::vector<TableRow>& rows, bool* malformed);

// Runs the items of one job and stores their results, as long as this process is the job's owner.
class BatchRunner {
 public:
  // `rows` name this process as the owner. `confirmed_at` is when the read or write that told so began.
  BatchRunner(const BatchContext* context, BatchRows rows, std::vector<BatchItem> items, TimePoint confirmed_at);
  ~BatchRunner();
  BatchRunner(const BatchRunner&) = delete;
  BatchRunner& operator=(const BatchRunner&) = delete;

  // Items go on after what an earlier job generated of them, where its versions fit.
  void RestorePartialTexts(const std::vector<PartialText>& texts);
  // Starts the next item if one is waiting and an endpoint has a free place for it.
  bool StartNextItem();
  // Moves running items from slow endpoints to fast ones that have a free place.
  void MoveStragglers();
  // Stores the texts of long items now and then, so that another owner goes on after them.
  void CheckpointTexts();
  // Stores the texts of all unfinished items, before the job is given up. The callback runs after that, also when it
  // failed.
  void StorePartialTexts(std::function<void()> callback) { StoreTexts(kMinStoredEvents, std::move(callback)); }
  // The rows as read again; `read_at` is when that read began.
  void OnRows(const BatchRows& rows, TimePoint read_at);
  // The rows could not be read, by any way to the table; `asked_at` is when that attempt began.
  void OnTableUnreachable(TimePoint asked_at) { m_unreachable_at = asked_at; }
  // A caller ended the job: no further item runs.
  void End();
  // Stops all runs; finished items are still stored. Called before the job is given up.
  void Stop();

  const BatchSpec& spec() const { return m_spec; }
  const BatchProgress& progress() const { return m_progress; }
  bool ended() const { return m_ended; }
  // Another process owns the job.
  bool ownership_lost() const { return m_ownership_lost; }
  // Nothing is left to run or to store.
  bool IsDone() const { return m_ended || m_ownership_lost || m_progress.AllStored(); }
  // No append is under way whose outcome is open, and none is about to begin.
  bool HasNoPendingAppend() const { return !m_appending && m_append_timer == nullptr; }
  int64_t owner_version() const { return m_rows.owner_version; }
  const BatchOwner& owner() const { return m_rows.owner; }
  const BatchResultList& result_list() const { return m_rows.result_list; }
  size_t stored_count() const { return m_rows.result_list.item_indices.size(); }
  // The stored result at a position, or nullptr when it is not in memory.
  const BatchResult* StoredResultAt(size_t position) const;
  // Runs once when more results than `position` are listed, or the job is done here.
  void WaitForResult(size_t position, std::function<void()> callback);
  // Runs after a change that may let items start.
  void SetItemsReadyCallback(std::function<void()> callback) { m_items_ready = std::move(callback); }
  int running() const { return static_cast<int>(m_runs.size()); }

 private:
  class ItemRun;
  friend class ItemRun;

  // What the table holds of an unfinished item.
  struct StoredText {
    int64_t events = 0;
    size_t rows = 0;
  };

  // Shorter texts are generated again faster than they are read.
  static constexpr int64_t kMinStoredEvents = 8;

  TimePoint Now() const { return m_context->scheduler->clock().Now(); }
  const ServiceRoute* Route() const;
  bool MayStartItems() const;
  void FailExpiredItems();
  std::vector<ItemCandidate> CandidatesFor(const std::string& service) const;
  ItemPlacement PlacementOf(size_t index) const;
  bool StartItem(size_t index, const ServiceRoute& route);
  void MoveItem(size_t index, const DirectoryEndpoint& target);
  void StartItemAt(size_t index, const DirectoryEndpoint& endpoint);
  void OnRunEnded(size_t index, const std::string& endpoint, const EndpointCallResult& result);
  void Retry(size_t index, Duration delay);
  void FinishItem(size_t index, BatchResultState state, const std::string& reason);
  void CancelRuns();
  void StoreTexts(int64_t min_new_events, std::function<void()> callback);
  void ScheduleAppend(Duration delay);
  void Append();
  void OnAppended(const std::vector<size_t>& appended, const TransactResult& result);
  void ApplyResultList(const BatchResultList& result_list, int64_t version);
  void NotifyWaiters();

  const BatchContext* m_context;
  BatchRows m_rows;
  BatchSpec m_spec;
  BatchProgress m_progress;
  TimePoint m_confirmed_at;
  TimePoint m_unreachable_at;
  std::map<size_t, std::unique_ptr<ItemRun>> m_runs;
  // The endpoint that read the shared prompt of a group last.
  std::map<std::string, std::string> m_group_endpoints;
  std::map<size_t, std::string> m_last_endpoints;
  std::vector<std::pair<size_t, std::function<void()>>> m_waiters;
  std::function<void()> m_items_ready;
  std::unique_ptr<Timer> m_append_timer;
  TimePoint m_checkpoint_at;
  std::map<size_t, StoredText> m_stored_texts;
  bool m_appending = false;
  bool m_stopped = false;
  bool m_ended = false;
  bool m_ownership_lost = false;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
