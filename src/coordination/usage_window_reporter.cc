#include "coordination/usage_window_reporter.h"

#include <utility>

#include "base/log_event.h"

namespace quetzalridge {

struct PerWorkspaceUsageReporter::Progress {
  UsageWindowReport report;
  Platform::BeforeWrite before_write;
  std::function<void(ReportOutcome)> callback;
  bool has_mismatch = false;
};

void PerWorkspaceUsageReporter::ReportWindow(const UsageWindowReport& report, Platform::BeforeWrite before_write,
                                             std::function<void(ReportOutcome)> callback) {
  SendNext(std::make_shared<Progress>(Progress{report, std::move(before_write), std::move(callback), false}));
}

void PerWorkspaceUsageReporter::SendNext(const std::shared_ptr<Progress>& progress) {
  if (progress->report.usage.empty()) {
    progress->callback(progress->has_mismatch ? ReportOutcome::kMismatch : ReportOutcome::kAccepted);
    return;
  }
  const auto next = std::prev(progress->report.usage.end());
  UsageReport report;
  report.workspace = next->first;
  report.window = progress->report.window;
  report.counters = next->second.counters;
  report.late_counters = next->second.late_counters;
  report.fencing_token = progress->report.fencing_token;
  report.holder = progress->report.holder;
  m_platform->ReportUsage(report, progress->before_write, m_guard.Wrap([this, progress, next](ReportOutcome outcome) {
    if (outcome == ReportOutcome::kUnknown || outcome == ReportOutcome::kNotSent) {
      progress->callback(outcome);
      return;
    }
    progress->has_mismatch = progress->has_mismatch || outcome == ReportOutcome::kMismatch;
    progress->report.usage.erase(next);
    SendNext(progress);
  }));
}

}  // namespace quetzalridge
