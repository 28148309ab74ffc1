#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

// Retries transactions until their outcome is known. A retry of a transaction that was already applied fails with a
// conflict; to tell this from a real conflict, the retrier reads a row that shows which transaction wrote it last.
class TransactionRetrier {
 public:
  // Receives kCommitted, kConflict or kUnavailable. kUnavailable means that no attempt was applied.
  using Callback = TableStore::TransactCallback;

  TransactionRetrier(TableStore* store, Scheduler* scheduler);
  ~TransactionRetrier();
  TransactionRetrier(const TransactionRetrier&) = delete;
  TransactionRetrier& operator=(const TransactionRetrier&) = delete;

  // `outcome_key` names a row that the transaction writes and that no other transaction overwrites or deletes while the
  // outcome of this one is unknown. If it is empty, a conflict of a retried transaction is reported as kConflict, even
  // though an earlier attempt of the same transaction may have caused it. A transaction without an id gets a random
  // one. After an unknown outcome, the callback does not run until the store is reachable again. It never runs once
  // this object is destroyed.
  void Transact(TableTransaction transaction, std::string outcome_key, Callback callback);
  // Returns the number of transactions that are being retried and may already have been applied.
  int maybe_applied_count() const { return m_maybe_applied_count; }

 private:
  struct PendingTransaction;

  void Send(uint64_t id);
  void OnResponse(uint64_t id, const TransactResult& result);
  void ScheduleResend(uint64_t id);
  void ReadOutcomeRow(uint64_t id, const TransactResult& conflict);
  void Finish(uint64_t id, const TransactResult& result);

  TableStore* m_store;
  Scheduler* m_scheduler;
  std::map<uint64_t, std::unique_ptr<PendingTransaction>> m_pending;
  uint64_t m_next_id = 0;
  int m_maybe_applied_count = 0;
  // Callbacks hold a weak pointer to it, which shows whether this object still exists.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
