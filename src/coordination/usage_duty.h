#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/platform.h"
#include "coordination/platform_duty.h"
#include "coordination/resolving_store.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "coordination/usage_record.h"

namespace quetzalridge {

struct UsageDutyOptions {
  Duration window = Duration::Seconds(60);
  // From the end of a window until it is closed.
  Duration grace = Duration::Seconds(10);
  Duration request_timeout = Duration::Seconds(5);
  Duration poll = Duration::Seconds(1);
};

// Closes each window after its end, records the sums once, and reports them to the platform.
class UsageDuty : public PlatformDuty {
 public:
  UsageDuty(TableStore* store, Scheduler* scheduler, Platform* platform, std::function<int64_t()> wall_ms,
            UsageDutyOptions options);

  // Reports that the platform refused because it holds other figures; each one is a fault.
  int differing_reports() const { return m_differing; }

 private:
  struct Report {
    std::string workspace;
    WorkspaceUsage usage;
  };

  void ForgetState() override;
  void BeginStep() override;
  void ReadProgress();
  void FindFirstWindow(const TableRow& first);
  void RecordFirstWindow(int64_t window);
  void ReviewWindow();
  void OnWindowRecord(const ReadResult& read);
  void Close();
  void Sum(const std::string& after, int64_t row_version, const std::shared_ptr<UsageByWorkspace>& sum);
  void Freeze(int64_t row_version, const UsageByWorkspace& sum);
  void BeginReports(const UsageByWorkspace& usage);
  void SendReport();
  void OnReported(ReportOutcome outcome);
  void RecordProgress();

  TableStore* m_store;
  Platform* m_platform;
  std::function<int64_t()> m_wall_ms;
  UsageDutyOptions m_options;
  ResolvingStore m_resolving_store;
  // The next window to report, once it is known.
  bool m_next_known = false;
  int64_t m_next_window = 0;
  int64_t m_progress_version = 0;
  std::vector<Report> m_reports;
  int m_differing = 0;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
