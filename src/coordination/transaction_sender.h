#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "coordination/callback_guard.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

// Sends transactions until their outcome is known.
class TransactionSender {
 public:
  TransactionSender(TableStore* store, Scheduler* scheduler) : m_store(store), m_scheduler(scheduler) {}

  // The callback gets kCommitted, kConflict or kUnavailable. After an unknown outcome the same transaction is sent
  // again until it is answered, so a conflict may then be the transaction's own effect.
  void Send(TableTransaction transaction, TableStore::TransactCallback callback);

 private:
  static constexpr Duration kRetryDelay = Duration::Milliseconds(250);

  struct Pending {
    TableTransaction transaction;
    TableStore::TransactCallback callback;
    bool may_be_applied = false;
    std::unique_ptr<Timer> timer;
  };

  void Attempt(uint64_t id);
  void OnResult(uint64_t id, const TransactResult& result);

  TableStore* m_store;
  Scheduler* m_scheduler;
  std::map<uint64_t, Pending> m_pending;
  uint64_t m_next_id = 0;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
