#pragma once

#include <string>

#include "state/usage_counters.h"

namespace quetzalridge {

// Receives the usage of workspaces as it occurs.
class UsageSink {
 public:
  virtual ~UsageSink() = default;
  virtual void Add(const std::string& workspace, const UsageCounters& counters) = 0;
};

}  // namespace quetzalridge
