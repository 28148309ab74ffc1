#include "coordination/transaction_retrier.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace quetzalridge {

namespace {

constexpr int kTransactionIdBytes = 16;
constexpr Duration kInitialResendDelay = Duration::Milliseconds(100);
// Retries continue through outages of several minutes. This limit keeps the load low when the store is available again.
constexpr Duration kMaxResendDelay = Duration::Seconds(2);

}  // namespace

struct TransactionRetrier::PendingTransaction {
  TableTransaction transaction;
  std::string outcome_key;
  Callback callback;
  // An earlier attempt got no response and may have been applied.
  bool maybe_applied = false;
  Duration resend_delay = kInitialResendDelay;
  std::unique_ptr<Timer> timer;
};

TransactionRetrier::TransactionRetrier(TableStore* store, Scheduler* scheduler)
    : m_store(store), m_scheduler(scheduler) {}

TransactionRetrier::~TransactionRetrier() = default;

void TransactionRetrier::Transact(TableTransaction transaction, std::string outcome_key, Callback callback) {
  auto pending = std::make_unique<PendingTransaction>();
  pending->transaction = std::move(transaction);
  if (pending->transaction.id.empty()) {
    pending->transaction.id = RandomHex(kTransactionIdBytes);
  }
  pending->outcome_key = std::move(outcome_key);
  pending->callback = std::move(callback);
  const uint64_t id = m_next_id++;
  m_pending[id] = std::move(pending);
  Send(id);
}

void TransactionRetrier::Send(uint64_t id) {
  m_store->Transact(m_pending.at(id)->transaction,
                    [this, id, alive = std::weak_ptr<bool>(m_alive)](const TransactResult& result) {
                      if (!alive.expired()) {
                        OnResponse(id, result);
                      }
                    });
}

void TransactionRetrier::OnResponse(uint64_t id, const TransactResult& result) {
  PendingTransaction& pending = *m_pending.at(id);
  switch (result.outcome) {
    case TransactOutcome::kUnknown:
      if (!pending.maybe_applied) {
        pending.maybe_applied = true;
        ++m_maybe_applied_count;
      }
      ScheduleResend(id);
      return;
    case TransactOutcome::kUnavailable:
      // This attempt was not applied, but an earlier one may have been.
      if (pending.maybe_applied) {
        ScheduleResend(id);
        return;
      }
      break;
    case TransactOutcome::kConflict:
      if (pending.maybe_applied && !pending.outcome_key.empty()) {
        ReadOutcomeRow(id, result);
        return;
      }
      break;
    case TransactOutcome::kCommitted:
      break;
  }
  Finish(id, result);
}

void TransactionRetrier::ScheduleResend(uint64_t id) {
  PendingTransaction& pending = *m_pending.at(id);
  pending.timer = m_scheduler->After(pending.resend_delay, [this, id] { Send(id); });
  pending.resend_delay = std::min(pending.resend_delay * 2, kMaxResendDelay);
}

void TransactionRetrier::ReadOutcomeRow(uint64_t id, const TransactResult& conflict) {
  m_store->Read({m_pending.at(id)->outcome_key},
                [this, id, conflict, alive = std::weak_ptr<bool>(m_alive)](const ReadResult& read) {
                  if (alive.expired()) {
                    return;
                  }
                  if (!read.ok) {
                    ScheduleResend(id);
                    return;
                  }
                  const TableRow& outcome_row = read.rows.front();
                  if (outcome_row.version != 0 && outcome_row.transaction_id == m_pending.at(id)->transaction.id) {
                    Finish(id, {TransactOutcome::kCommitted, outcome_row.version, {}});
                  } else {
                    Finish(id, conflict);
                  }
                });
}

void TransactionRetrier::Finish(uint64_t id, const TransactResult& result) {
  const std::unique_ptr<PendingTransaction> pending = std::move(m_pending.at(id));
  m_pending.erase(id);
  if (pending->maybe_applied) {
    --m_maybe_applied_count;
  }
  pending->callback(result);
}

}  // namespace quetzalridge
