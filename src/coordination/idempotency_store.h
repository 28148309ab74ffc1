#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/resolving_store.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

enum class IdempotencyOutcome {
  // This call owns the row and may be dispatched.
  kRun,
  // The call finished earlier; its answer is stored unless it was too large.
  kFinished,
  // The call was dispatched earlier, and its end is not known.
  kUnknown,
  // The identity was used for another request.
  kKeyReused,
  // The row could not be written in time; the call must not be dispatched.
  kStoreUnavailable,
};

struct IdempotencyResult {
  IdempotencyOutcome outcome = IdempotencyOutcome::kStoreUnavailable;
  // For kRun: names the call in Finish and MarkNotRun.
  std::string row_key;
  std::optional<StoredResponse> response;
};

// Rows once/<workspace>/<request id>, which make a non-idempotent call run at most once on all instances.
class IdempotencyStore {
 public:
  IdempotencyStore(TableStore* store, Scheduler* scheduler, std::string instance_id);
  ~IdempotencyStore();
  IdempotencyStore(const IdempotencyStore&) = delete;
  IdempotencyStore& operator=(const IdempotencyStore&) = delete;

  // Writes the row before the dispatch. The callback comes later than the call, and within the timeout.
  void Begin(const std::string& workspace, const std::string& idempotency_key, uint64_t fingerprint,
             std::function<void(const IdempotencyResult&)> callback);
  // The call ended with a whole answer; absent when it is not kept, as for streams.
  void Finish(const std::string& row_key, const std::optional<StoredResponse>& response);
  // The call's end is not known, which is what the row says until it expires.
  void Forget(const std::string& row_key) { m_owned.erase(row_key); }
  // The call was certainly not run. When the callback runs, its identity may be used again, unless the store did not
  // answer in time.
  void MarkNotRun(const std::string& row_key, std::function<void()> callback);
  // Rows that are still being written.
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
  ResolvingStore m_store;
  std::map<std::string, OwnedRow> m_owned;
  size_t m_pending = 0;
};

// True for 1 to 128 characters that can stand in a row key.
bool IsValidIdempotencyKey(const std::string& idempotency_key);

}  // namespace quetzalridge
