#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/rollout_rows.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "coordination/transaction_sender.h"
#include "state/delivery_cursor.h"

namespace quetzalridge {

// Outcome of a trainer's request to fetch or to confirm a batch of finished groups.
enum class DeliveryOutcome {
  // A batch was returned, or the confirmation was stored.
  kOk,
  // No finished group is ready for delivery.
  kNothingReady,
  // The newest weight version cannot be determined; no batch is returned until it is known.
  kVersionUnknown,
  // The batch to confirm was declared void; its samples are generated again.
  kBatchVoid,
  // The batch to confirm was never formed.
  kNoSuchBatch,
  // The store did not respond; a confirmation may have been stored nevertheless. A retry is safe.
  kStoreUnavailable,
};

// Confirms the open batch of one rollout queue. For each delivered group it stores a row that identifies a repeated
// submission of the group, and deletes the row after `remembered_batches` further batches.
class DeliveryConfirmation {
 public:
  using ConfirmCallback = std::function<void(DeliveryOutcome)>;

  DeliveryConfirmation(TableStore* table, Scheduler* scheduler, const std::string& queue, int64_t remembered_batches);

  // The callback receives kOk, kBatchVoid, kNoSuchBatch or kStoreUnavailable.
  void Confirm(int64_t batch, ConfirmCallback callback);

 private:
  void CommitConfirmation(const TableRow& row, DeliveryCursor cursor, ConfirmCallback callback);

  // Scans one page of the rows of delivered groups and deletes the old ones among them.
  void DeleteOldDoneRows(int64_t confirmed);
  void CommitDeletion(const std::vector<TableRow>& rows, int64_t confirmed);

  TableStore* m_table;
  RolloutRows m_rows;
  int64_t m_remembered_batches;
  TransactionSender m_sender;
  // Key after which the next page of the scan begins; empty to begin with the first row.
  std::string m_done_scan_position;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
