#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/delivery_confirmation.h"
#include "coordination/object_store.h"
#include "coordination/platform.h"
#include "coordination/rollout_rows.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "coordination/transaction_sender.h"
#include "state/delivery_cursor.h"
#include "state/freshness_rule.h"

namespace quetzalridge {

// The services that SampleDelivery uses.
struct DeliveryContext {
  TableStore* table = nullptr;
  ObjectStore* objects = nullptr;
  Platform* platform = nullptr;
  Scheduler* scheduler = nullptr;
};

struct DeliveryOptions {
  std::string queue;
  std::string service;
  // The most weight versions by which a delivered sample may be older than the newest version.
  int64_t staleness_bound = 2;
  // A batch is returned only within this time after the newest weight version was read.
  Duration version_freshness = Duration::Milliseconds(500);
  // The number of confirmed batches after which the rows of their groups are deleted. Until then, a repeated submission
  // of these groups has no effect. 1,024 batches have at most 64,512 groups, which take about 6 MB of the table.
  int64_t remembered_batches = 1024;
};

// A trainer's request for the next batch.
struct FetchRequest {
  // The number of the batch that is confirmed first, or 0 for none.
  int64_t confirm = 0;
  int64_t max_samples = 0;
  // How long the request waits for a group if none is ready.
  Duration wait;
};

struct DeliveryStatus {
  // False if the store did not respond.
  bool known = false;
  DeliveryCursor cursor;
  // Counted up to 128.
  size_t ready_groups = 0;
};

struct FetchResult {
  DeliveryOutcome outcome = DeliveryOutcome::kStoreUnavailable;
  int64_t batch = 0;
  // {"batch":n,"samples":[…]}
  std::string body;
};

// Delivers the finished groups of one queue to its trainer in batches, each group once. At most one batch is open: each
// fetch returns this batch, until the trainer confirms it or it becomes void because a sample is too old. A void batch
// is taken apart, and its stale groups are generated again. The state is in the table, so that any instance can serve
// any request.
class SampleDelivery {
 public:
  using FetchCallback = std::function<void(const FetchResult&)>;
  using ConfirmCallback = DeliveryConfirmation::ConfirmCallback;

  SampleDelivery(DeliveryContext context, DeliveryOptions options);
  ~SampleDelivery();
  SampleDelivery(const SampleDelivery&) = delete;
  SampleDelivery& operator=(const SampleDelivery&) = delete;

  void Fetch(const FetchRequest& request, FetchCallback callback);
  void Confirm(int64_t batch, const ConfirmCallback& callback);
  void ReadStatus(const std::function<void(const DeliveryStatus&)>& callback);
  // Applies a change of the configuration.
  void SetService(const std::string& service, int64_t staleness_bound);
  // Makes fetches that wait for a ready group try again at once.
  void OnGroupReady();
  // `listener` runs after stale groups may have been released, so that an instance claims them and generates them
  // again.
  void SetRequeueListener(std::function<void()> listener) { m_requeue_listener = std::move(listener); }

 private:
  struct PendingFetch;

  void ReadVersion(uint64_t id);
  void ReadCursor(uint64_t id);
  void OnCursor(uint64_t id, const TableRow& row);
  void LoadObjects(uint64_t id);
  void ReturnBatch(uint64_t id);
  void ScanReady(uint64_t id);
  void OnReadyRows(uint64_t id, const std::vector<TableRow>& rows);
  void OpenBatch(uint64_t id, std::vector<TableRow> rows);
  void VoidBatch(uint64_t id);
  void CommitVoidBatch(uint64_t id, const std::vector<TableRow>& group_rows);
  void RequeueStaleGroups(uint64_t id, const std::vector<TableRow>& ready_rows);
  void CommitRequeue(uint64_t id, const std::vector<TableRow>& ready_rows, const std::vector<TableRow>& group_rows);
  // Sends the transaction. The fetch then reads the cursor again. If `requeues_groups` is set, the requeue listener
  // runs first.
  void CommitAndReread(uint64_t id, TableTransaction transaction, bool requeues_groups);

  void RetryLater(uint64_t id, DeliveryOutcome reason);
  void Finish(uint64_t id, const FetchResult& result);
  PendingFetch* FindFetch(uint64_t id);
  bool IsFresh(const FinishedGroup& group, const PendingFetch& fetch) const;

  DeliveryContext m_context;
  DeliveryOptions m_options;
  RolloutRows m_rows;
  FreshnessRule m_rule;
  TransactionSender m_sender;
  DeliveryConfirmation m_confirmation;
  std::map<uint64_t, std::unique_ptr<PendingFetch>> m_fetches;
  uint64_t m_next_fetch_id = 0;
  std::function<void()> m_requeue_listener;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
