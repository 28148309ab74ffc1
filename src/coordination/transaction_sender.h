#pragma once

#include <utility>

#include "coordination/transaction_retrier.h"

namespace quetzalridge {

// Retries transactions that write no row from which the outcome could be read afterwards.
class TransactionSender {
 public:
  TransactionSender(TableStore* store, Scheduler* scheduler) : m_retrier(store, scheduler) {}

  // The callback receives kCommitted, kConflict or kUnavailable. After an unknown outcome, the same transaction is
  // retried until a response arrives. A conflict may then come from an earlier attempt of the same transaction.
  void Send(TableTransaction transaction, TableStore::TransactCallback callback) {
    m_retrier.Transact(std::move(transaction), "", std::move(callback));
  }

 private:
  TransactionRetrier m_retrier;
};

}  // namespace quetzalridge
