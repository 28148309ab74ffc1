#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "coordination/transaction_retrier.h"

namespace quetzalridge {

// The response of a call, as it is kept for repeated calls.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

// What Begin found out about a call.
enum class IdempotencyOutcome {
  // The row now belongs to this call, which may be dispatched.
  kRun,
  // The call finished earlier. Its response is stored unless the response was too large or was not text.
  kFinished,
  // The call was dispatched earlier, and its result is not known.
  kUnknown,
  // The idempotency key was used for a different request.
  kKeyReused,
  // The row could not be written in time. The call must not be dispatched.
  kStoreUnavailable,
};

// The result of IdempotencyStore::Begin.
struct IdempotencyResult {
  IdempotencyOutcome outcome = IdempotencyOutcome::kStoreUnavailable;
  // For kRun: identifies the call in Finish, Forget and MarkNotRun.
  std::string row_key;
  std::optional<StoredResponse> response;
};

// Makes a non-idempotent call run at most once on all instances together. Each call has a row
// once/<workspace>/<idempotency key>, which is created with a conditional write before the call is dispatched. A
// repeated call finds this row and is not dispatched.
class IdempotencyStore {
 public:
  IdempotencyStore(TableStore* store, Scheduler* scheduler, std::string instance_id);
  ~IdempotencyStore();
  IdempotencyStore(const IdempotencyStore&) = delete;
  IdempotencyStore& operator=(const IdempotencyStore&) = delete;

  // Writes the row of a call that is about to be dispatched. `fingerprint` identifies the content of the request. The
  // callback runs after Begin has returned, and within kBeginTimeout.
  void Begin(const std::string& workspace, const std::string& idempotency_key, uint64_t fingerprint,
             std::function<void(const IdempotencyResult&)> callback);
  // Records that the call ended with a complete response. `response` is empty if the response is not kept, as for
  // streams.
  void Finish(const std::string& row_key, const std::optional<StoredResponse>& response);
  // Leaves the row as it is, because the result of the call is not known: repeated calls get kUnknown until the row
  // expires.
  void Forget(const std::string& row_key) { m_owned.erase(row_key); }
  // Records that the call was certainly not run. Once the callback runs, the idempotency key may be used again, unless
  // the store did not respond in time.
  void MarkNotRun(const std::string& row_key, std::function<void()> callback);
  // Number of final rows that are still being written.
  size_t pending() const { return m_pending; }

 private:
  struct Call;
  struct PendingCallback;
  struct OwnedRow {
    int64_t version = 0;
    uint64_t fingerprint = 0;
  };

  void WriteStartedRow(const std::shared_ptr<Call>& call, int64_t expected_version);
  void OnStartedRowResult(const std::shared_ptr<Call>& call, const TransactResult& result);
  void OnConflict(const std::shared_ptr<Call>& call, const TransactResult& result);
  void Report(const std::shared_ptr<Call>& call, const IdempotencyResult& begin);
  void WriteFinalRow(const std::string& row_key, const std::string& value, std::function<void()> callback);

  Scheduler* m_scheduler;
  std::string m_instance_id;
  TransactionRetrier m_store;
  std::map<std::string, OwnedRow> m_owned;
  size_t m_pending = 0;
};

// True for 1 to 128 characters that are allowed in a row key.
bool IsValidIdempotencyKey(const std::string& idempotency_key);

}  // namespace quetzalridge
