#include "coordination/window_reporter.h"

#include <utility>

#include "base/log_event.h"

namespace quetzalridge {

struct PerWorkspaceReporter::Progress {
  WindowReport report;
  Platform::BeforeWrite before_write;
  std::function<void(ReportOutcome)> callback;
  bool differs = false;
};

void PerWorkspaceReporter::ReportWindow(const WindowReport& report, Platform::BeforeWrite before_write,
                                        std::function<void(ReportOutcome)> callback) {
  SendNext(std::make_shared<Progress>(Progress{report, std::move(before_write), std::move(callback), false}));
}

void PerWorkspaceReporter::SendNext(const std::shared_ptr<Progress>& progress) {
  if (progress->report.usage.empty()) {
    progress->callback(progress->differs ? ReportOutcome::kDiffers : ReportOutcome::kAccepted);
    return;
  }
  const auto next = std::prev(progress->report.usage.end());
  UsageReport report;
  report.workspace = next->first;
  report.window = progress->report.window;
  report.figures = next->second.figures;
  report.late_figures = next->second.late;
  report.fence = progress->report.fence;
  report.holder = progress->report.holder;
  m_platform->ReportUsage(report, progress->before_write, m_guard.Wrap([this, progress, next](ReportOutcome outcome) {
    if (outcome == ReportOutcome::kUnknown || outcome == ReportOutcome::kNotSent) {
      progress->callback(outcome);
      return;
    }
    progress->differs = progress->differs || outcome == ReportOutcome::kDiffers;
    progress->report.usage.erase(next);
    SendNext(progress);
  }));
}

}  // namespace quetzalridge
