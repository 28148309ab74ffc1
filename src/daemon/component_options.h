#pragma once

#include <string>

#include "coordination/config_log.h"
#include "coordination/duty_manager.h"
#include "coordination/membership.h"
#include "coordination/roster.h"
#include "coordination/usage_recorder.h"
#include "daemon/dispatcher.h"
#include "daemon/duty_set.h"
#include "daemon/mechanisms.h"
#include "daemon/settings.h"
#include "state/sunset_planner.h"
#include "transport/http_platform.h"
#include "transport/http_server.h"

namespace quetzalridge {

// These functions derive the options of each component from the settings of the instance. `incarnation` is the random
// identity of this process, generated at each start.

PlatformClientOptions MakePlatformClientOptions(const Settings& settings);
ConfigLogOptions MakeConfigLogOptions(const Settings& settings, const std::string& incarnation);
DispatcherOptions MakeDispatcherOptions(const Settings& settings, const Mechanisms& mechanisms);
Location MakeLocation(const Settings& settings);
HttpServerOptions MakeCallerServerOptions(const Settings& settings, const ClientLimits& limits, MemoryBudget* memory);
RosterOptions MakeRosterOptions(const Settings& settings, const std::string& incarnation);
MembershipOptions MakeMembershipOptions(const Settings& settings, const std::string& incarnation);
DutyManagerOptions MakeDutyManagerOptions(const Settings& settings, const std::string& incarnation);
OrderDutyOptions MakeOrderDutyOptions(const Settings& settings);
UsageDutyOptions MakeUsageDutyOptions(const Settings& settings);
CleanupOptions MakeCleanupOptions(const Settings& settings);
UsageRecorderOptions MakeUsageRecorderOptions(const Settings& settings, const std::string& incarnation);
HttpServerOptions MakeAdminServerOptions(const Settings& settings, const ClientLimits& limits, MemoryBudget* memory);

}  // namespace quetzalridge
