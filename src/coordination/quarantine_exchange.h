#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/notices.h"
#include "coordination/scheduler.h"
#include "coordination/table_follower.h"
#include "coordination/table_store.h"
#include "state/quarantine.h"

namespace quetzalridge {

// In the table of notices, each instance has a row with this prefix and its name. An operator's row has the other
// prefix and a fingerprint.
inline constexpr char kQuarantinePrefix[] = "quarantine.";
inline constexpr char kQuarantineClearPrefix[] = "clear.";

// The crashes that one instance has counted, as stored in its row of the table.
struct QuarantineRecord {
  // Unix time in milliseconds at which the row was written.
  int64_t written_at_ms = 0;
  std::vector<FingerprintCount> counts;
};

std::string EncodeQuarantineRecord(const QuarantineRecord& record);
// Nothing if the value is malformed. Ignores unknown fields.
std::optional<QuarantineRecord> DecodeQuarantineRecord(const std::string& value);

struct QuarantineExchangeContext {
  TableStore* store = nullptr;
  Scheduler* scheduler = nullptr;
  Quarantine* quarantine = nullptr;
  std::string instance;
  // Unix time in milliseconds.
  std::function<int64_t()> wall_ms;
};

// Passes the crashes that this instance has counted on to the other instances, over the table of notices, and adds
// theirs. An operator clears a request with a row whose key is `clear.` and the fingerprint.
class QuarantineExchange {
 public:
  explicit QuarantineExchange(QuarantineExchangeContext context) : m_context(std::move(context)) {}

  // Called when this instance has counted a crash.
  void OnCrashCounted();
  // Called with all rows of the table of notices when some have changed.
  void OnRows(const TableFollower::Rows& rows);

 private:
  void ScheduleWrite(Duration delay);
  void Write();
  // The row of an earlier process of this instance, or of another instance.
  void ApplyRow(const std::string& writer, const RawRow& row);

  QuarantineExchangeContext m_context;
  // Row versions of the operator's rows that were applied, by fingerprint.
  std::map<uint64_t, int64_t> m_cleared;
  // Row versions of the other instances that were applied, by instance.
  std::map<std::string, int64_t> m_applied;
  // The counts of the last row that this process has written.
  std::vector<FingerprintCount> m_written;
  // The counts of an earlier process of this instance, which stay in its row.
  std::vector<FingerprintCount> m_inherited;
  std::unique_ptr<Timer> m_timer;
  TimePoint m_write_at;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
