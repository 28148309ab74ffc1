#include "coordination/transaction_retrier.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace quetzalridge {

namespace {

constexpr int kIdentityBytes = 16;
constexpr Duration kFirstResend = Duration::Milliseconds(100);
// An outage may last minutes; this bounds the load on a store that comes back.
constexpr Duration kLongestResend = Duration::Seconds(2);

}  // namespace

struct TransactionRetrier::Attempt {
  TableTransaction transaction;
  std::string witness_key;
  Callback callback;
  // An earlier attempt may have been applied.
  bool uncertain = false;
  Duration resend_delay = kFirstResend;
  std::unique_ptr<Timer> timer;
};

TransactionRetrier::TransactionRetrier(TableStore* store, Scheduler* scheduler)
    : m_store(store), m_scheduler(scheduler) {}

TransactionRetrier::~TransactionRetrier() = default;

void TransactionRetrier::Transact(TableTransaction transaction, std::string witness_key, Callback callback) {
  auto attempt = std::make_unique<Attempt>();
  attempt->transaction = std::move(transaction);
  if (attempt->transaction.id.empty()) {
    attempt->transaction.id = RandomHex(kIdentityBytes);
  }
  attempt->witness_key = std::move(witness_key);
  attempt->callback = std::move(callback);
  const uint64_t id = m_next_id++;
  m_attempts[id] = std::move(attempt);
  Send(id);
}

void TransactionRetrier::Send(uint64_t id) {
  m_store->Transact(m_attempts.at(id)->transaction,
                    [this, id, alive = std::weak_ptr<bool>(m_alive)](const TransactResult& result) {
                      if (!alive.expired()) {
                        OnAnswer(id, result);
                      }
                    });
}

void TransactionRetrier::OnAnswer(uint64_t id, const TransactResult& result) {
  Attempt& attempt = *m_attempts.at(id);
  switch (result.outcome) {
    case TransactOutcome::kUnknown:
      if (!attempt.uncertain) {
        attempt.uncertain = true;
        ++m_unresolved;
      }
      SendLater(id);
      return;
    case TransactOutcome::kUnavailable:
      // This attempt was not applied, but an earlier one may have been.
      if (attempt.uncertain) {
        SendLater(id);
        return;
      }
      break;
    case TransactOutcome::kConflict:
      if (attempt.uncertain && !attempt.witness_key.empty()) {
        ReadWitness(id, result);
        return;
      }
      break;
    case TransactOutcome::kCommitted:
      break;
  }
  Finish(id, result);
}

void TransactionRetrier::SendLater(uint64_t id) {
  Attempt& attempt = *m_attempts.at(id);
  attempt.timer = m_scheduler->After(attempt.resend_delay, [this, id] { Send(id); });
  attempt.resend_delay = std::min(attempt.resend_delay * 2, kLongestResend);
}

void TransactionRetrier::ReadWitness(uint64_t id, const TransactResult& conflict) {
  m_store->Read({m_attempts.at(id)->witness_key},
                [this, id, conflict, alive = std::weak_ptr<bool>(m_alive)](const ReadResult& read) {
                  if (alive.expired()) {
                    return;
                  }
                  if (!read.ok) {
                    SendLater(id);
                    return;
                  }
                  const TableRow& witness = read.rows.front();
                  if (witness.version != 0 && witness.transaction_id == m_attempts.at(id)->transaction.id) {
                    Finish(id, {TransactOutcome::kCommitted, witness.version, {}});
                  } else {
                    Finish(id, conflict);
                  }
                });
}

void TransactionRetrier::Finish(uint64_t id, const TransactResult& result) {
  const std::unique_ptr<Attempt> attempt = std::move(m_attempts.at(id));
  m_attempts.erase(id);
  if (attempt->uncertain) {
    --m_unresolved;
  }
  attempt->callback(result);
}

}  // namespace quetzalridge
