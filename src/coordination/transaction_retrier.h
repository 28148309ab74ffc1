#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

// Turns unknown outcomes into known ones: sends the same transaction again until it is answered, and resolves a
// conflict of a repeated transaction by reading a row that only this transaction can have written.
class TransactionRetrier {
 public:
  // kCommitted, kConflict or kUnavailable; kUnavailable only when no attempt can have been applied.
  using Callback = TableStore::TransactCallback;

  TransactionRetrier(TableStore* store, Scheduler* scheduler);
  ~TransactionRetrier();
  TransactionRetrier(const TransactionRetrier&) = delete;
  TransactionRetrier& operator=(const TransactionRetrier&) = delete;

  // `outcome_key` names a row that the transaction writes and that no other transaction overwrites or deletes while
  // this one is unanswered. The callback waits as long as the store is unreachable after an unknown outcome, and is
  // dropped when this object is destroyed. Without a witness, a conflict of a repeated transaction is reported as it is
  // and may be the transaction's own effect. A transaction without an identity gets one.
  void Transact(TableTransaction transaction, std::string outcome_key, Callback callback);
  // Transactions whose outcome is not known yet, because an attempt was not answered.
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
  // Expires with this object; answers that come later find it gone.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
