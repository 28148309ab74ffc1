#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/batch_records.h"
#include "coordination/callback_guard.h"
#include "coordination/endpoint_caller.h"
#include "coordination/reward_call_dispatcher.h"
#include "coordination/scheduler.h"
#include "coordination/send_permits.h"
#include "coordination/table_store.h"
#include "placement/job_placer.h"
#include "state/batch_progress.h"
#include "state/endpoint_choice.h"
#include "state/endpoint_directory.h"
#include "state/memory_budget.h"
#include "state/serving_config.h"

namespace quetzalridge {

// What all batch jobs of one instance share. The objects pointed to must outlive the jobs.
struct BatchContext {
  TableStore* store = nullptr;
  Scheduler* scheduler = nullptr;
  const RouteTable* routes = nullptr;
  EndpointDirectory* endpoints = nullptr;
  EndpointCaller* caller = nullptr;
  // Endpoints have no rate limits if null.
  SendPermits* permits = nullptr;
  // Limits the memory of the texts of unfinished items. Not limited if null.
  MemoryBudget* response_memory = nullptr;
  // Charged with the items of the jobs that this instance runs. Not charged if null.
  MemoryBudget* client_memory = nullptr;
  // Decides about the reward calls of all jobs. The BatchCoordinator's own default if null.
  const RewardCallPolicy* reward_call_policy = nullptr;
  // Set by the BatchCoordinator, which owns it.
  RewardCallDispatcher* reward_calls = nullptr;
  // What the jobs learn about the costs of their items.
  std::shared_ptr<PlacementKnowledge> placement = std::make_shared<PlacementKnowledge>();
  // Unix time in milliseconds.
  std::function<int64_t()> wall_ms;
  // Identify this process.
  std::string instance;
  std::string incarnation;
  std::string zone;
};

// The rows of a job as read from the table, with the row versions for conditional writes.
struct BatchRows {
  BatchHead head;
  BatchOwner owner;
  int64_t owner_version = 0;
  BatchResultList result_list;
  int64_t result_list_version = 0;
  // A caller has ended the job.
  bool ended = false;
};

// Decodes the rows of a job. Returns nothing if the head is missing or a row is malformed, and sets `malformed` in the
// second case.
std::optional<BatchRows> ReadBatchRows(const std::vector<TableRow>& rows, bool* malformed);

// Runs the items of one job on endpoints and stores their results, as long as this process owns the job.
class BatchRunner : public RewardCallOwner {
 public:
  // `rows` must name this process as the owner. `confirmed_at` is when the read or write that showed this began.
  BatchRunner(const BatchContext* context, BatchRows rows, std::vector<BatchItem> items, TimePoint confirmed_at);
  ~BatchRunner() override;
  BatchRunner(const BatchRunner&) = delete;
  BatchRunner& operator=(const BatchRunner&) = delete;

  // Lets items continue from stored partial texts whose model versions the job accepts.
  void RestorePartialTexts(const std::vector<PartialText>& texts);
  // Continues with the reward calls of items whose complete texts the previous owner has stored.
  void RestoreCompleteTexts(const std::vector<PartialText>& texts);
  // Starts the next waiting item if an endpoint has a free slot for it. Returns whether an item was started.
  bool StartNextItem();
  // Moves a running item from a slow endpoint to a faster one with a free slot, at most one item per call.
  void MoveStragglers();
  // Stores the partial texts of long items at intervals, so that another owner can continue from them.
  void CheckpointTexts();
  // Stores the partial texts of all unfinished items. Called before the job is handed over. The callback runs after the
  // write, also when the write failed.
  void StorePartialTexts(std::function<void()> callback) { StoreTexts(kMinStoredEvents, std::move(callback)); }
  // Applies rows that were read again; `read_at` is when that read began.
  void OnRows(const BatchRows& rows, TimePoint read_at);
  // Called when the rows could not be read, over any connection to the table; `asked_at` is when the attempt began.
  void OnTableUnreachable(TimePoint asked_at) { m_unreachable_at = asked_at; }
  // Called when a caller has ended the job. Cancels the running items, stores their partial texts, and starts no
  // further items.
  void End();
  // Cancels all runs for good; results of finished items are still stored. Called before the job is handed over.
  void Stop();

  const BatchSpec& spec() const { return m_spec; }
  const BatchProgress& progress() const { return m_progress; }
  bool ended() const { return m_ended; }
  // Another process has taken the job over.
  bool ownership_lost() const { return m_ownership_lost; }
  // A recent read or write has shown that this process is the owner, or the table has been down since one did.
  bool IsOwnershipConfirmed() const;
  // This process has nothing left to run or to store for the job.
  bool IsDone() const { return m_ended || m_ownership_lost || m_progress.AllStored(); }
  // No write of results or complete texts is in flight, and none is scheduled.
  bool HasNoPendingAppend() const { return !m_appending && m_append_timer == nullptr && !m_storing_complete_texts; }
  int64_t owner_version() const { return m_rows.owner_version; }
  const BatchOwner& owner() const { return m_rows.owner; }
  const BatchResultList& result_list() const { return m_rows.result_list; }
  size_t stored_count() const { return m_rows.result_list.item_indices.size(); }
  // The stored result at a position, or nullptr if it is not in memory. Only results that this runner has stored are.
  const BatchResult* StoredResultAt(size_t position) const;
  // The callback runs once, when the result at `position` is stored, or IsDone() becomes true.
  void WaitForResult(size_t position, std::function<void()> callback);
  // The callback runs after a change that may allow waiting items to start.
  void SetItemsReadyCallback(std::function<void()> callback) { m_items_ready = std::move(callback); }
  int running() const { return static_cast<int>(m_runs.size()); }

  const std::string& job() const override { return m_spec.id; }
  const std::string& workspace() const override { return m_spec.workspace; }
  bool MayStartRewardCalls() const override { return MayStartItems(); }
  WaitingRewardCall UrgencyOf(size_t item) const override;
  int MinFailedResponses() const override;
  void OnScore(size_t item, const std::string& score) override;
  void OnRewardCallFailed(size_t item, const std::string& reason) override;

 private:
  class ItemRun;
  friend class ItemRun;

  // The size of the partial text that the table holds for an unfinished item.
  struct StoredText {
    int64_t events = 0;
    size_t rows = 0;
  };

  // Shorter texts are not stored: generating them again is faster than reading them.
  static constexpr int64_t kMinStoredEvents = 8;

  TimePoint Now() const { return m_context->scheduler->clock().Now(); }
  const ServiceRoute* Route() const;
  bool MayStartItems() const;
  // Returns whether the items of the job have waited for too long, so that no further one starts.
  bool FailExpiredItems();
  HomeRegions Regions() const;
  // The services, with a software version if one is needed, that have no endpoint for an item at the moment.
  using UnmetNeeds = std::set<std::pair<std::string, std::optional<std::string>>>;

  // Puts the items into queues by the service that the weights of the route give them.
  void UpdateQueues(const ServiceRoute& route);
  // `waited` is how long the item has waited for its own service, as far as that counts.
  bool StartItem(size_t index, const ServiceRoute& route, Duration waited, UnmetNeeds* unmet);
  // Returns the endpoint of the service for the item, or nullptr, which it adds to `unmet`.
  const DirectoryEndpoint* ChooseEndpoint(const std::string& service, size_t index, const ItemPlacement& placement,
                                          UnmetNeeds* unmet) const;
  // Only endpoints with the software version of the item's text may continue it. Whether the item may start again from
  // the beginning on another endpoint, because none of them serves or has taken it for a while.
  bool MayRestart(size_t index, const std::string& service) const;
  void DiscardText(size_t index, const std::string& reason);
  void ClearText(size_t index);
  // Returns nothing for a stored text that the job may not use.
  std::optional<EventTranscript> RestoredText(const PartialText& text) const;
  // Takes a stored text over, unless it takes too much memory.
  bool TakeText(size_t index, EventTranscript transcript);
  // Records the size of the item's text. Returns false if the text must be discarded.
  bool RecordTextMemory(size_t index);
  void MoveItem(size_t index, const DirectoryEndpoint& target);
  void StartItemAt(size_t index, const DirectoryEndpoint& endpoint);
  void OnRunEnded(size_t index, const std::string& endpoint, const EndpointCallResult& result);
  void OnEndpointResponse(const std::string& endpoint);
  void Retry(size_t index, Duration delay);
  // Returns whether the job may use a text that one or more runs have completed.
  bool IsUsable(const EventTranscript& transcript) const;
  // Finishes an item whose text is complete, or starts to obtain its score.
  void OnTextComplete(size_t index);
  // Stores the complete texts of items without a score, then requests the scores.
  void StoreCompleteTexts();
  void OnCompleteTextsStored(const std::vector<size_t>& indices, const TransactResult& result);
  void RequestScore(size_t index);
  void FinishItem(size_t index, BatchResultState state, const std::string& reason, const std::string& score = "");
  void CancelRuns();
  void StoreTexts(int64_t min_new_events, std::function<void()> callback);
  void ScheduleAppend(Duration delay);
  void Append();
  void OnAppended(const std::vector<size_t>& appended, const TransactResult& result);
  // `written` has the items whose results are known to be stored by a write of this runner.
  void ApplyResultList(const BatchResultList& result_list, int64_t version, const std::set<size_t>& written);
  // Whether a result that the table has may stay in memory, too.
  bool HasRoomForResult(size_t index) const;
  void OnOwnershipLost();
  void NotifyWaiters();

  const BatchContext* m_context;
  BatchRows m_rows;
  BatchSpec m_spec;
  // The memory of the items.
  MemoryBudget::ReclaimableShare m_item_memory;
  BatchProgress m_progress;
  JobPlacer m_placer;
  // The services by which the items are in queues.
  std::vector<ServiceShare> m_queued_services;
  TimePoint m_started_at;
  // When the latest read or write that showed this process as the owner began.
  TimePoint m_confirmed_at;
  // When the latest failed read of the rows began.
  TimePoint m_unreachable_at;
  std::map<size_t, std::unique_ptr<ItemRun>> m_runs;
  // The memory of the texts of unfinished items, by item index.
  std::map<size_t, MemoryBudget::Share> m_text_memory;
  // Callbacks of WaitForResult, with their positions.
  std::vector<std::pair<size_t, std::function<void()>>> m_waiters;
  std::function<void()> m_items_ready;
  std::unique_ptr<Timer> m_append_timer;
  // When CheckpointTexts last stored texts.
  TimePoint m_checkpoint_at;
  // By item index.
  std::map<size_t, StoredText> m_stored_texts;
  // Items whose complete text is not stored yet.
  std::vector<size_t> m_complete_texts_to_store;
  std::unique_ptr<Timer> m_store_texts_timer;
  // Number of rows that hold the complete text of an item, by item index. They are removed with the write of its
  // result.
  std::map<size_t, size_t> m_complete_text_rows;
  bool m_storing_complete_texts = false;
  // A write of results is in flight.
  bool m_appending = false;
  // Stop was called.
  bool m_stopped = false;
  bool m_ended = false;
  bool m_ownership_lost = false;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
