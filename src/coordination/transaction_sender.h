#pragma once

#include <utility>

#include "coordination/transaction_retrier.h"

namespace quetzalridge {

// Sends transactions until their outcome is known, where no row shows whether a transaction was applied.
class TransactionSender {
 public:
  TransactionSender(TableStore* store, Scheduler* scheduler) : m_retrier(store, scheduler) {}

  // The callback gets kCommitted, kConflict or kUnavailable. After an unknown outcome the same transaction is sent
  // again until it is answered, so a conflict may then be the transaction's own effect.
  void Send(TableTransaction transaction, TableStore::TransactCallback callback) {
    m_retrier.Transact(std::move(transaction), "", std::move(callback));
  }

 private:
  TransactionRetrier m_retrier;
};

}  // namespace quetzalridge
