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

struct DeliveryContext {
  TableStore* table = nullptr;
  ObjectStore* objects = nullptr;
  Platform* platform = nullptr;
  Scheduler* scheduler = nullptr;
};

struct DeliveryOptions {
  std::string queue;
  std::string service;
  int64_t staleness_bound = 2;
  // Longest time between reading the newest version and handing over.
  Duration version_freshness = Duration::Milliseconds(500);
  // A submission that is repeated while fewer batches than this were confirmed has no effect. 1,024 batches have at
  // most 64,512 groups, which take about 6 MB of the table.
  int64_t remembered_batches = 1024;
};

struct FetchRequest {
  // The batch to confirm first; 0 confirms nothing.
  int64_t confirm = 0;
  int64_t max_samples = 0;
  Duration wait;
};

struct DeliveryStatus {
  // False when the store did not answer.
  bool known = false;
  DeliveryCursor cursor;
  // At most 128 are counted.
  size_t ready_groups = 0;
};

struct FetchResult {
  DeliveryOutcome outcome = DeliveryOutcome::kStoreUnavailable;
  int64_t batch = 0;
  // {"batch":n,"samples":[…]}
  std::string body;
};

// Hands finished groups of one queue to its trainer, each once. Any instance can serve any request; the state is in
// the table.
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
  // Follows a change of the configuration.
  void SetService(const std::string& service, int64_t staleness_bound);
  // Lets waiting fetches look again.
  void OnGroupReady();
  // Runs when groups were returned to be generated again.
  void SetRegenerateListener(std::function<void()> listener) { m_regenerate_listener = std::move(listener); }

 private:
  struct Operation;

  void ReadVersion(uint64_t id);
  void ReadCursor(uint64_t id);
  void OnCursor(uint64_t id, const TableRow& row);
  void LoadObjects(uint64_t id);
  void HandOver(uint64_t id);
  void ScanReady(uint64_t id);
  void OnReadyRows(uint64_t id, const std::vector<TableRow>& rows);
  void Form(uint64_t id, std::vector<TableRow> rows);
  void VoidBatch(uint64_t id);
  void CommitVoid(uint64_t id, const std::vector<TableRow>& group_rows);
  void ReturnStale(uint64_t id, const std::vector<TableRow>& ready_rows);
  void CommitReturn(uint64_t id, const std::vector<TableRow>& ready_rows, const std::vector<TableRow>& group_rows);
  // Sends the transaction; after it, the operation reads the cursor again.
  void CommitAndReread(uint64_t id, TableTransaction transaction, bool regenerates);

  void RetryLater(uint64_t id, DeliveryOutcome reason);
  void Finish(uint64_t id, const FetchResult& result);
  Operation* Find(uint64_t id);
  bool IsFresh(const FinishedGroup& group, const Operation& operation) const;

  DeliveryContext m_context;
  DeliveryOptions m_options;
  RolloutRows m_rows;
  FreshnessRule m_rule;
  TransactionSender m_sender;
  DeliveryConfirmation m_confirmation;
  std::map<uint64_t, std::unique_ptr<Operation>> m_operations;
  uint64_t m_next_operation = 0;
  std::function<void()> m_regenerate_listener;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
