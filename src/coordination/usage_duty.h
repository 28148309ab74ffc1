#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coordination/callback_guard.h"
#include "coordination/platform_duty.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "coordination/transaction_retrier.h"
#include "coordination/usage_record.h"
#include "coordination/usage_window_reporter.h"

namespace quetzalridge {

struct UsageDutyOptions {
  Duration window_length = Duration::Seconds(60);
  // Time from the end of a window until it is closed.
  Duration grace = Duration::Seconds(10);
  // How long a request to the platform may be in flight.
  Duration request_timeout = Duration::Seconds(5);
  Duration poll_interval = Duration::Seconds(1);
};

// Reports the usage of each time window to the platform. After the end of a window, it closes the window, so that no
// instance can add usage to it, sums up the counters of all instances, stores the sums, and reports them. A new holder
// continues from the stored state and reports the same sums.
class UsageDuty : public PlatformDuty {
 public:
  UsageDuty(TableStore* store, Scheduler* scheduler, UsageWindowReporter* reporter, std::function<int64_t()> wall_ms,
            UsageDutyOptions options);

 private:
  void ResetState() override;
  void BeginStep() override;
  void ReadProgress();
  void FindFirstWindow(const TableRow& first);
  void RecordFirstWindow(int64_t window);
  void ProcessWindow();
  void OnWindowRecord(const ReadResult& read);
  void CloseWindow();
  void SumCounters(const std::string& after, int64_t row_version, const std::shared_ptr<UsageByWorkspace>& sum);
  void FreezeWindow(int64_t row_version, const UsageByWorkspace& sum);
  void SendReport(const UsageByWorkspace& usage);
  void OnReported(ReportOutcome outcome);
  void RecordProgress();

  TableStore* m_store;
  UsageWindowReporter* m_reporter;
  std::function<int64_t()> m_wall_ms;
  UsageDutyOptions m_options;
  TransactionRetrier m_retrier;
  // The next window to report; valid when `m_next_window_known` is set.
  bool m_next_window_known = false;
  int64_t m_next_window = 0;
  int64_t m_progress_version = 0;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
