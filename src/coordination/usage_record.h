#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "state/usage_counters.h"

namespace quetzalridge {

// Figures of one workspace in one window.
struct WorkspaceUsage {
  UsageCounters counters;
  // Usage of earlier windows that arrived after those were closed.
  UsageCounters late_counters;
};

using UsageByWorkspace = std::map<std::string, WorkspaceUsage>;

enum class UsageWindowState {
  // No instance can add to the window any more; the rows of the instances are final.
  kClosed,
  // The sums are recorded.
  kFrozen,
};

// The contents of the row `usage-frozen/<window>`.
struct UsageWindowRecord {
  UsageWindowState state = UsageWindowState::kClosed;
  UsageByWorkspace usage;
};

// Names the first window that still takes usage: at first the one at which reports began, later the one after those
// whose rows may be deleted. Usage of earlier windows counts as late, since nobody would report them.
extern const char kFirstOpenUsageWindowKey[];
// Names the last window whose figures were all reported.
extern const char kLastReportedUsageWindowKey[];

std::string UsagePrefix(int64_t window);
std::string FrozenUsageKey(int64_t window);

int64_t ParseUsageWindow(const std::string& text);
std::string EncodeUsage(const UsageByWorkspace& usage);
std::optional<UsageByWorkspace> DecodeUsage(const std::string& value);
std::string EncodeUsageWindowRecord(const UsageWindowRecord& record);
std::optional<UsageWindowRecord> DecodeUsageWindowRecord(const std::string& value);

// `a` without `b`, which is an earlier state of the same counters; workspaces without a difference are left out.
UsageByWorkspace SubtractUsage(const UsageByWorkspace& a, const UsageByWorkspace& b);
bool IsZero(const UsageCounters& counters);

}  // namespace quetzalridge
