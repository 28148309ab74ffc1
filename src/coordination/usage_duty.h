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
  // From the end of a window until it is closed.
  Duration grace = Duration::Seconds(10);
  Duration request_timeout = Duration::Seconds(5);
  Duration poll_interval = Duration::Seconds(1);
};

// Closes each window after its end, records the sums once, and reports them to the platform.
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
  // The next window to report, once it is known.
  bool m_next_window_known = false;
  int64_t m_next_window = 0;
  int64_t m_progress_version = 0;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
