#include "coordination/idempotency_store.h"

#include <algorithm>

#include "base/hash.h"
#include "coordination/idempotency_record.h"

namespace quetzalridge {

namespace {

constexpr size_t kMaxKeyLength = 128;
constexpr int kTransactionIdBytes = 16;
// If the store does not respond within this time, the caller gets kStoreUnavailable.
constexpr Duration kBeginTimeout = Duration::Seconds(5);
// The longest time for which the error response to the caller waits until the row is written.
constexpr Duration kMarkNotRunTimeout = Duration::Seconds(2);
// How often Begin repeats a write that conflicts although the row is free. The row was then changed by another call
// with the same key between reading and writing it; more conflicts than this point to a fault elsewhere.
constexpr int kMaxConflicts = 3;

}  // namespace

struct IdempotencyStore::Call {
  std::string row_key;
  uint64_t fingerprint = 0;
  std::function<void(const IdempotencyResult&)> callback;
  std::unique_ptr<Timer> timer;
  int conflicts = 0;
  bool reported = false;
};

// Runs its callback once: when the row is written, or when the time is up.
struct IdempotencyStore::PendingCallback {
  std::function<void()> callback;
  std::unique_ptr<Timer> timer;

  void Run() {
    timer.reset();
    const std::function<void()> function = std::move(callback);
    callback = nullptr;
    if (function) {
      function();
    }
  }
};

bool IsValidIdempotencyKey(const std::string& idempotency_key) {
  return !idempotency_key.empty() && idempotency_key.size() <= kMaxKeyLength &&
         std::all_of(idempotency_key.begin(), idempotency_key.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f && c != '/' && c != '"' && c != '\\'; });
}

IdempotencyStore::IdempotencyStore(TableStore* store, Scheduler* scheduler, std::string instance_id)
    : m_scheduler(scheduler), m_instance_id(std::move(instance_id)), m_store(store, scheduler) {}

IdempotencyStore::~IdempotencyStore() = default;

void IdempotencyStore::Begin(const std::string& workspace, const std::string& idempotency_key, uint64_t fingerprint,
                             std::function<void(const IdempotencyResult&)> callback) {
  auto call = std::make_shared<Call>();
  call->row_key = "once/" + workspace + "/" + idempotency_key;
  call->fingerprint = fingerprint;
  call->callback = std::move(callback);
  call->timer = m_scheduler->After(kBeginTimeout, [this, weak = std::weak_ptr<Call>(call)] {
    if (const std::shared_ptr<Call> locked = weak.lock()) {
      Report(locked, {IdempotencyOutcome::kStoreUnavailable, "", std::nullopt});
    }
  });
  WriteStartedRow(call, 0);
}

void IdempotencyStore::WriteStartedRow(const std::shared_ptr<Call>& call, int64_t expected_version) {
  IdempotencyRecord record;
  record.fingerprint = call->fingerprint;
  record.instance = m_instance_id;
  record.written_at_ms = WallClockMilliseconds();
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{call->row_key, expected_version}};
  transaction.writes = {{call->row_key, EncodeIdempotencyRecord(record)}};
  // Only the owner of a started row writes the row again, so reading the row shows whether this transaction was
  // applied.
  m_store.Transact(std::move(transaction), call->row_key,
                   [this, call](const TransactResult& result) { OnStartedRowResult(call, result); });
}

void IdempotencyStore::OnStartedRowResult(const std::shared_ptr<Call>& call, const TransactResult& result) {
  if (result.outcome == TransactOutcome::kConflict) {
    OnConflict(call, result);
    return;
  }
  if (result.outcome != TransactOutcome::kCommitted) {
    Report(call, {IdempotencyOutcome::kStoreUnavailable, "", std::nullopt});
    return;
  }
  m_owned[call->row_key] = {result.revision, call->fingerprint};
  if (call->reported) {
    // The caller has already been told that the call was not run, so the idempotency key must become free again.
    MarkNotRun(call->row_key, [] {});
    return;
  }
  Report(call, {IdempotencyOutcome::kRun, call->row_key, std::nullopt});
}

void IdempotencyStore::OnConflict(const std::shared_ptr<Call>& call, const TransactResult& result) {
  const auto row = std::find_if(result.rows.begin(), result.rows.end(),
                                [&](const TableRow& candidate) { return candidate.key == call->row_key; });
  if (call->reported) {
    return;
  }
  const std::optional<IdempotencyRecord> record =
      row == result.rows.end() || row->version == 0 ? std::nullopt : ParseIdempotencyRecord(row->value);
  const bool key_is_free =
      row != result.rows.end() && (row->version == 0 || (record && record->state == RecordedCallState::kNotRun));
  if (key_is_free && ++call->conflicts <= kMaxConflicts) {
    WriteStartedRow(call, row->version);
  } else if (record.has_value() && record->fingerprint != call->fingerprint) {
    Report(call, {IdempotencyOutcome::kKeyReused, "", std::nullopt});
  } else if (record.has_value() && record->state == RecordedCallState::kFinished) {
    Report(call, {IdempotencyOutcome::kFinished, "", record->response});
  } else {
    Report(call, {IdempotencyOutcome::kUnknown, "", std::nullopt});
  }
}

void IdempotencyStore::Report(const std::shared_ptr<Call>& call, const IdempotencyResult& begin) {
  if (call->reported) {
    return;
  }
  call->reported = true;
  call->timer.reset();
  call->callback(begin);
}

void IdempotencyStore::Finish(const std::string& row_key, const std::optional<StoredResponse>& response) {
  const auto owned = m_owned.find(row_key);
  if (owned == m_owned.end()) {
    return;
  }
  IdempotencyRecord record;
  record.state = RecordedCallState::kFinished;
  record.fingerprint = owned->second.fingerprint;
  record.instance = m_instance_id;
  record.written_at_ms = WallClockMilliseconds();
  record.response = response;
  WriteFinalRow(row_key, EncodeIdempotencyRecord(record), [] {});
}

void IdempotencyStore::MarkNotRun(const std::string& row_key, std::function<void()> callback) {
  const auto owned = m_owned.find(row_key);
  if (owned == m_owned.end()) {
    callback();
    return;
  }
  IdempotencyRecord record;
  record.state = RecordedCallState::kNotRun;
  record.fingerprint = owned->second.fingerprint;
  record.instance = m_instance_id;
  record.written_at_ms = WallClockMilliseconds();
  auto pending = std::make_shared<PendingCallback>();
  pending->callback = std::move(callback);
  pending->timer = m_scheduler->After(kMarkNotRunTimeout, [weak = std::weak_ptr<PendingCallback>(pending)] {
    if (const std::shared_ptr<PendingCallback> locked = weak.lock()) {
      locked->Run();
    }
  });
  WriteFinalRow(row_key, EncodeIdempotencyRecord(record), [pending] { pending->Run(); });
}

// If the store refuses the write, the row stays in the state kStarted and a repeated call gets kUnknown, which is
// correct: the result is not known.
void IdempotencyStore::WriteFinalRow(const std::string& row_key, const std::string& value,
                                     std::function<void()> callback) {
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{row_key, m_owned.at(row_key).version}};
  transaction.writes = {{row_key, value}};
  m_owned.erase(row_key);
  ++m_pending;
  m_store.Transact(std::move(transaction), row_key, [this, callback = std::move(callback)](const TransactResult&) {
    --m_pending;
    callback();
  });
}

}  // namespace quetzalridge
