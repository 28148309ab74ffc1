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

enum class DeliveryOutcome {
  // A batch was handed over, or the confirmation took effect.
  kOk,
  kNothingReady,
  // Nothing is handed over while the newest version cannot be known.
  kVersionUnknown,
  // The batch to confirm is void; its samples are regenerated.
  kBatchVoid,
  // The batch to confirm was never formed.
  kNoSuchBatch,
  // The store did not answer; a confirmation may have taken effect. Asking again is safe.
  kStoreUnavailable,
};

// Confirms the open batch of one queue, and keeps what tells a repeated submission of a delivered group from a new one.
class DeliveryConfirmation {
 public:
  using ConfirmCallback = std::function<void(DeliveryOutcome)>;

  DeliveryConfirmation(TableStore* table, Scheduler* scheduler, const std::string& queue, int64_t remembered_batches);

  // The callback gets kOk, kBatchVoid, kNoSuchBatch or kStoreUnavailable.
  void Confirm(int64_t batch, ConfirmCallback callback);

 private:
  void CommitConfirmation(const TableRow& row, DeliveryCursor cursor, ConfirmCallback callback);

  // Looks at one page of the rows of delivered groups and deletes the old ones.
  void DeleteOldDoneRows(int64_t confirmed);
  void CommitDeletion(const std::vector<TableRow>& rows, int64_t confirmed);

  TableStore* m_table;
  RolloutRows m_rows;
  int64_t m_remembered_batches;
  TransactionSender m_sender;
  // Where the next page of done rows begins.
  std::string m_done_scan_position;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
