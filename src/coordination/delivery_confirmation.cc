#include "coordination/delivery_confirmation.h"

#include <optional>
#include <utility>

namespace quetzalridge {

namespace {

// Larger than kMaxGroupsPerBatch, the most rows that a confirmation adds, so that deletion keeps up with additions.
constexpr int kDoneRowsPerScan = 100;

}  // namespace

DeliveryConfirmation::DeliveryConfirmation(TableStore* table, Scheduler* scheduler, const std::string& queue,
                                           int64_t remembered_batches)
    : m_table(table), m_rows(queue), m_remembered_batches(remembered_batches), m_sender(table, scheduler) {}

void DeliveryConfirmation::Confirm(int64_t batch, ConfirmCallback callback) {
  m_table->Read({m_rows.CursorKey()},
                m_guard.Wrap([this, batch, callback = std::move(callback)](const ReadResult& result) {
                  if (!result.ok) {
                    callback(DeliveryOutcome::kStoreUnavailable);
                    return;
                  }
                  const TableRow& row = result.rows.at(0);
                  std::optional<DeliveryCursor> cursor = TryDecodeCursorRow(row);
                  if (!cursor.has_value()) {
                    callback(DeliveryOutcome::kStoreUnavailable);
                    return;
                  }
                  switch (cursor->StateOf(batch)) {
                    case BatchState::kOpen:
                      CommitConfirmation(row, std::move(*cursor), callback);
                      return;
                    case BatchState::kConfirmed:
                      callback(DeliveryOutcome::kOk);
                      return;
                    case BatchState::kVoid:
                      callback(DeliveryOutcome::kBatchVoid);
                      return;
                    case BatchState::kUnknown:
                      callback(DeliveryOutcome::kNoSuchBatch);
                      return;
                  }
                }));
}

void DeliveryConfirmation::CommitConfirmation(const TableRow& row, DeliveryCursor cursor, ConfirmCallback callback) {
  const int64_t batch = cursor.open()->number;
  TableTransaction transaction;
  transaction.checks = {{row.key, row.version}};
  for (const FinishedGroup& group : cursor.open()->groups) {
    transaction.writes.push_back({m_rows.GroupKey(group.id), std::nullopt});
    transaction.writes.push_back({m_rows.DoneKey(group.id), EncodeDoneRow({group.spec_digest, batch})});
  }
  cursor.ConfirmOpen();
  transaction.writes.push_back({row.key, cursor.Encode()});
  m_sender.Send(std::move(transaction),
                m_guard.Wrap([this, batch, callback = std::move(callback)](const TransactResult& result) {
                  switch (result.outcome) {
                    case TransactOutcome::kCommitted:
                      DeleteOldDoneRows(batch);
                      callback(DeliveryOutcome::kOk);
                      return;
                    case TransactOutcome::kConflict:
                      Confirm(batch, callback);
                      return;
                    case TransactOutcome::kUnavailable:
                    case TransactOutcome::kUnknown:
                      callback(DeliveryOutcome::kStoreUnavailable);
                      return;
                  }
                }));
}

void DeliveryConfirmation::DeleteOldDoneRows(int64_t confirmed) {
  if (confirmed <= m_remembered_batches) {
    return;
  }
  m_table->Scan(m_rows.DonePrefix(), m_done_scan_position, kDoneRowsPerScan,
                m_guard.Wrap([this, confirmed](const ReadResult& result) {
                  if (!result.ok) {
                    return;
                  }
                  const bool is_last = result.rows.size() < kDoneRowsPerScan;
                  m_done_scan_position = is_last ? "" : result.rows.back().key;
                  CommitDeletion(result.rows, confirmed);
                }));
}

// A failed deletion is not retried at once: a later scan returns the same rows again.
void DeliveryConfirmation::CommitDeletion(const std::vector<TableRow>& rows, int64_t confirmed) {
  TableTransaction transaction;
  for (const TableRow& row : rows) {
    const std::optional<DoneRow> done = TryDecodeDoneRow(row);
    const bool is_old = done.has_value() && done->batch <= confirmed - m_remembered_batches;
    if (is_old && transaction.checks.size() < kMaxGroupsPerBatch) {
      transaction.checks.push_back({row.key, row.version});
      transaction.writes.push_back({row.key, std::nullopt});
    }
  }
  if (transaction.checks.empty()) {
    return;
  }
  transaction.writes.push_back({m_rows.CleanupKey(), std::to_string(confirmed)});
  m_sender.Send(std::move(transaction), [](const TransactResult&) {});
}

}  // namespace quetzalridge
