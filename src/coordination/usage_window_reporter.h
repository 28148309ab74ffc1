#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coordination/callback_guard.h"
#include "coordination/platform.h"
#include "coordination/usage_record.h"

namespace quetzalridge {

// The final counters of one window, for all workspaces.
struct UsageWindowReport {
  int64_t window = 0;
  UsageByWorkspace usage;
  int64_t fencing_token = 0;
  std::string holder;
};

// Reports the usage of a window to the platform. Callbacks run on the event loop, after the call has returned.
class UsageWindowReporter {
 public:
  virtual ~UsageWindowReporter() = default;
  // `before_write` is called immediately before each request of the report is written. After kAccepted or kMismatch,
  // the report is complete. After kNotSent or kUnknown, the caller must send it again with the same counters.
  virtual void ReportWindow(const UsageWindowReport& report, Platform::BeforeWrite before_write,
                            std::function<void(ReportOutcome)> callback) = 0;
};

// Reports each workspace with a separate request, one after the other.
class PerWorkspaceUsageReporter : public UsageWindowReporter {
 public:
  explicit PerWorkspaceUsageReporter(Platform* platform) : m_platform(platform) {}

  void ReportWindow(const UsageWindowReport& report, Platform::BeforeWrite before_write,
                    std::function<void(ReportOutcome)> callback) override;

 private:
  struct Progress;

  void SendNext(const std::shared_ptr<Progress>& progress);

  Platform* m_platform;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
