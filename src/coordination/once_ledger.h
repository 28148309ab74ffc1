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

struct OnceAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

enum class OnceVerdict {
  // This call owns the row and may be dispatched.
  kRun,
  // The call finished earlier; its answer is stored unless it was too large.
  kFinished,
  // The call was dispatched earlier, and its end is not known.
  kUnknown,
  // The identity was used for another request.
  kOtherRequest,
  // The row could not be written in time; the call must not be dispatched.
  kStoreUnavailable,
};

struct OnceBegin {
  OnceVerdict verdict = OnceVerdict::kStoreUnavailable;
  // For kRun: names the call in Finish and Abandon.
  std::string row_key;
  std::optional<OnceAnswer> answer;
};

// Rows once/<workspace>/<request id>, which make a non-idempotent call run at most once on all instances.
class OnceLedger {
 public:
  OnceLedger(TableStore* store, Scheduler* scheduler, std::string instance_id);
  ~OnceLedger();
  OnceLedger(const OnceLedger&) = delete;
  OnceLedger& operator=(const OnceLedger&) = delete;

  // Writes the row before the dispatch. The callback comes later than the call, and within the timeout.
  void Begin(const std::string& workspace, const std::string& request_id, uint64_t fingerprint,
             std::function<void(const OnceBegin&)> callback);
  // The call ended with a whole answer; absent when it is not kept, as for streams.
  void Finish(const std::string& row_key, const std::optional<OnceAnswer>& answer);
  // The call's end is not known, which is what the row says until it expires.
  void Forget(const std::string& row_key) { m_owned.erase(row_key); }
  // The call was certainly not run. When the callback runs, its identity may be used again, unless the store did not
  // answer in time.
  void Abandon(const std::string& row_key, std::function<void()> callback);
  // Rows that are still being written.
  size_t pending() const { return m_pending; }

 private:
  struct Call;
  struct AbandonWait;
  struct OwnedRow {
    int64_t version = 0;
    uint64_t fingerprint = 0;
  };

  void WriteStarted(const std::shared_ptr<Call>& call, int64_t present_version);
  void OnStarted(const std::shared_ptr<Call>& call, const TransactResult& result);
  void OnConflict(const std::shared_ptr<Call>& call, const TransactResult& result);
  void Answer(const std::shared_ptr<Call>& call, const OnceBegin& begin);
  void WriteEnd(const std::string& row_key, const std::string& value, std::function<void()> callback);

  Scheduler* m_scheduler;
  std::string m_instance_id;
  TransactionRetrier m_store;
  std::map<std::string, OwnedRow> m_owned;
  size_t m_pending = 0;
};

// True for 1 to 128 characters that can stand in a row key.
bool IsValidOnceId(const std::string& request_id);

}  // namespace quetzalridge
