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

// What each component takes from the settings of the instance.

PlatformClientOptions PlatformOptions(const Settings& settings);
ConfigLogOptions ConfigOptions(const Settings& settings, const std::string& incarnation);
DispatcherOptions DispatchOptions(const Settings& settings, const Mechanisms& mechanisms);
Location LocationOf(const Settings& settings);
HttpServerOptions CallerListenOptions(const Settings& settings);
RosterOptions RosterOptionsOf(const Settings& settings, const std::string& incarnation);
MembershipOptions MemberOptions(const Settings& settings, const std::string& incarnation);
DutyManagerOptions DutyOptions(const Settings& settings, const std::string& incarnation);
OrderDutyOptions OrderOptions(const Settings& settings);
UsageDutyOptions UsageOptions(const Settings& settings);
CleanupOptions CleanupOptionsOf(const Settings& settings);
UsageRecorderOptions RecorderOptions(const Settings& settings, const std::string& incarnation);
HttpServerOptions AdminListenOptions(const Settings& settings);

}  // namespace quetzalridge
