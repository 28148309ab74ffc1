#include "coordination/once_ledger.h"

#include <algorithm>

#include "base/hash.h"
#include "coordination/once_record.h"

namespace quetzalridge {

namespace {

constexpr size_t kMaxIdLength = 128;
constexpr int kTransactionIdBytes = 16;
// A caller is told within this time that the store cannot be reached.
constexpr Duration kBeginTimeout = Duration::Seconds(5);
// The caller's refusal waits at most this long for its row.
constexpr Duration kAbandonTimeout = Duration::Seconds(2);
// Another call's row changed between two looks at it; more often than this means a fault elsewhere.
constexpr int kMaxConflicts = 3;

}  // namespace

struct OnceLedger::Call {
  std::string row_key;
  uint64_t fingerprint = 0;
  std::function<void(const OnceBegin&)> callback;
  std::unique_ptr<Timer> timer;
  int conflicts = 0;
  bool answered = false;
};

// Runs its callback once: when the row is written, or when the wait is over.
struct OnceLedger::AbandonWait {
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

bool IsValidOnceId(const std::string& request_id) {
  return !request_id.empty() && request_id.size() <= kMaxIdLength &&
         std::all_of(request_id.begin(), request_id.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f && c != '/' && c != '"' && c != '\\'; });
}

OnceLedger::OnceLedger(TableStore* store, Scheduler* scheduler, std::string instance_id)
    : m_scheduler(scheduler), m_instance_id(std::move(instance_id)), m_store(store, scheduler) {}

OnceLedger::~OnceLedger() = default;

void OnceLedger::Begin(const std::string& workspace, const std::string& request_id, uint64_t fingerprint,
                       std::function<void(const OnceBegin&)> callback) {
  auto call = std::make_shared<Call>();
  call->row_key = "once/" + workspace + "/" + request_id;
  call->fingerprint = fingerprint;
  call->callback = std::move(callback);
  call->timer = m_scheduler->After(kBeginTimeout, [this, weak = std::weak_ptr<Call>(call)] {
    if (const std::shared_ptr<Call> late = weak.lock()) {
      Answer(late, {OnceVerdict::kStoreUnavailable, "", std::nullopt});
    }
  });
  WriteStarted(call, 0);
}

void OnceLedger::WriteStarted(const std::shared_ptr<Call>& call, int64_t present_version) {
  OnceRecord record;
  record.fingerprint = call->fingerprint;
  record.instance = m_instance_id;
  record.written_at_ms = WallClockMilliseconds();
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{call->row_key, present_version}};
  transaction.writes = {{call->row_key, EncodeOnceRecord(record)}};
  // Only the owner of a started row writes it again, so the row shows whether this transaction was applied.
  m_store.Transact(std::move(transaction), call->row_key,
                   [this, call](const TransactResult& result) { OnStarted(call, result); });
}

void OnceLedger::OnStarted(const std::shared_ptr<Call>& call, const TransactResult& result) {
  if (result.outcome == TransactOutcome::kConflict) {
    OnConflict(call, result);
    return;
  }
  if (result.outcome != TransactOutcome::kCommitted) {
    Answer(call, {OnceVerdict::kStoreUnavailable, "", std::nullopt});
    return;
  }
  m_owned[call->row_key] = {result.revision, call->fingerprint};
  if (call->answered) {
    // The caller was told "not run" before the row was known to be written, so the identity is free again.
    Abandon(call->row_key, [] {});
    return;
  }
  Answer(call, {OnceVerdict::kRun, call->row_key, std::nullopt});
}

void OnceLedger::OnConflict(const std::shared_ptr<Call>& call, const TransactResult& result) {
  const auto row = std::find_if(result.rows.begin(), result.rows.end(),
                                [&](const TableRow& candidate) { return candidate.key == call->row_key; });
  if (call->answered) {
    return;
  }
  const std::optional<OnceRecord> record =
      row == result.rows.end() || row->version == 0 ? std::nullopt : ParseOnceRecord(row->value);
  const bool free = row != result.rows.end() && (row->version == 0 || (record && record->state == OnceState::kNotRun));
  if (free && ++call->conflicts <= kMaxConflicts) {
    WriteStarted(call, row->version);
  } else if (record.has_value() && record->fingerprint != call->fingerprint) {
    Answer(call, {OnceVerdict::kOtherRequest, "", std::nullopt});
  } else if (record.has_value() && record->state == OnceState::kFinished) {
    Answer(call, {OnceVerdict::kFinished, "", record->answer});
  } else {
    Answer(call, {OnceVerdict::kUnknown, "", std::nullopt});
  }
}

void OnceLedger::Answer(const std::shared_ptr<Call>& call, const OnceBegin& begin) {
  if (call->answered) {
    return;
  }
  call->answered = true;
  call->timer.reset();
  call->callback(begin);
}

void OnceLedger::Finish(const std::string& row_key, const std::optional<OnceAnswer>& answer) {
  const auto owned = m_owned.find(row_key);
  if (owned == m_owned.end()) {
    return;
  }
  OnceRecord record;
  record.state = OnceState::kFinished;
  record.fingerprint = owned->second.fingerprint;
  record.instance = m_instance_id;
  record.written_at_ms = WallClockMilliseconds();
  record.answer = answer;
  WriteEnd(row_key, EncodeOnceRecord(record), [] {});
}

void OnceLedger::Abandon(const std::string& row_key, std::function<void()> callback) {
  const auto owned = m_owned.find(row_key);
  if (owned == m_owned.end()) {
    callback();
    return;
  }
  OnceRecord record;
  record.state = OnceState::kNotRun;
  record.fingerprint = owned->second.fingerprint;
  record.instance = m_instance_id;
  record.written_at_ms = WallClockMilliseconds();
  auto waiting = std::make_shared<AbandonWait>();
  waiting->callback = std::move(callback);
  waiting->timer = m_scheduler->After(kAbandonTimeout, [weak = std::weak_ptr<AbandonWait>(waiting)] {
    if (const std::shared_ptr<AbandonWait> late = weak.lock()) {
      late->Run();
    }
  });
  WriteEnd(row_key, EncodeOnceRecord(record), [waiting] { waiting->Run(); });
}

// A write that the store refuses leaves the row as started, which says "unknown" to a repeated call. That is true.
void OnceLedger::WriteEnd(const std::string& row_key, const std::string& value, std::function<void()> callback) {
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
