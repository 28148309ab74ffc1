#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "state/usage_counters.h"

namespace quetzalridge {

// The usage of one workspace in one window.
struct WorkspaceUsage {
  UsageCounters counters;
  // Usage that belongs to earlier windows and was counted after those windows were closed.
  UsageCounters late_counters;
};

using UsageByWorkspace = std::map<std::string, WorkspaceUsage>;

enum class UsageWindowState {
  // No instance can add usage to the window any more. The rows of the instances are final.
  kClosed,
  // The sums over all instances are stored.
  kFrozen,
};

// The contents of the row `usage-frozen/<window>`.
struct UsageWindowRecord {
  UsageWindowState state = UsageWindowState::kClosed;
  UsageByWorkspace usage;
};

// The key of the row with the number of the first window to which usage may be added. At first it is the window with
// which the reports began, later the one after the windows whose rows may be deleted. Usage of earlier windows is
// counted as late, since these windows are not reported any more.
extern const char kFirstOpenUsageWindowKey[];
// The key of the row with the number of the last window that was reported completely.
extern const char kLastReportedUsageWindowKey[];

std::string UsagePrefix(int64_t window);
std::string FrozenUsageKey(int64_t window);

int64_t ParseUsageWindow(const std::string& text);
std::string EncodeUsage(const UsageByWorkspace& usage);
std::optional<UsageByWorkspace> DecodeUsage(const std::string& value);
std::string EncodeUsageWindowRecord(const UsageWindowRecord& record);
std::optional<UsageWindowRecord> DecodeUsageWindowRecord(const std::string& value);

// Returns `a` minus `b`, where `b` is an earlier state of the same counters. Workspaces without a difference are left
// out.
UsageByWorkspace SubtractUsage(const UsageByWorkspace& a, const UsageByWorkspace& b);
bool IsZero(const UsageCounters& counters);

}  // namespace quetzalridge
