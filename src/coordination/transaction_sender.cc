#include "coordination/transaction_sender.h"

#include "base/hash.h"

namespace quetzalridge {

namespace {

constexpr int kIdentityBytes = 16;

}  // namespace

void TransactionSender::Send(TableTransaction transaction, TableStore::TransactCallback callback) {
  if (transaction.id.empty()) {
    transaction.id = RandomHex(kIdentityBytes);
  }
  const uint64_t id = m_next_id++;
  Pending& pending = m_pending[id];
  pending.transaction = std::move(transaction);
  pending.callback = std::move(callback);
  Attempt(id);
}

void TransactionSender::Attempt(uint64_t id) {
  m_store->Transact(m_pending.at(id).transaction,
                    m_guard.Wrap([this, id](const TransactResult& result) { OnResult(id, result); }));
}

void TransactionSender::OnResult(uint64_t id, const TransactResult& result) {
  Pending& pending = m_pending.at(id);
  const bool unanswered = result.outcome == TransactOutcome::kUnknown ||
                          (result.outcome == TransactOutcome::kUnavailable && pending.may_be_applied);
  if (unanswered) {
    pending.may_be_applied = true;
    pending.timer = m_scheduler->After(kRetryDelay, [this, id] { Attempt(id); });
    return;
  }
  const TableStore::TransactCallback callback = std::move(pending.callback);
  m_pending.erase(id);
  callback(result);
}

}  // namespace quetzalridge
