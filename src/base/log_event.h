#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

enum class LogSeverity {
  kDebug,
  kInfo,
  kWarning,
  kError,
};

// Numbered log events. Numbers are never reused; the catalogue page docs/operations/log_events.md lists each of them.
// Ranges: 1000 daemon, 2000 transport, 3000 coordination, 4000 samples, 5000 routing and limits, 6000 duties.
enum class LogEvent : int {
  kDaemonStarted = 1000,
  kDaemonDraining = 1001,
  kDaemonStopped = 1002,
  kSettingsRejected = 1003,
  kTlsCertificateLoaded = 2000,
  kTlsCertificateRejected = 2001,
  kConfigLoaded = 3000,
  kConfigChangeAccepted = 3001,
  kConfigChangeRejected = 3002,
  kConfigStoreDamaged = 3003,
  kConfigSnapshotFailed = 3004,
  kStoreReachable = 3005,
  kStoreUnreachable = 3006,
  kPermissionLapsed = 3007,
  kPermissionRegained = 3008,
  kRolloutRowMalformed = 4000,
  kWeightRolloutStarted = 4001,
  kWeightSwapSetAside = 4002,
  kLeaseAcquired = 6000,
  kLeaseLost = 6001,
  kInstanceSuperseded = 3009,
  kInstanceSilent = 3010,
  kInstanceRemoved = 3011,
  kUsageLate = 6002,
  kUsageDiffers = 6003,
  kUsageDamaged = 6004,
  kOrderStale = 6005,
  kNoEndpointsToOrder = 6006,
  kOldStateRemoved = 6007,
  kCleanupDamaged = 6008,
};

struct LogEventInfo {
  LogEvent event;
  LogSeverity severity;
  std::string_view name;
  std::string_view meaning;
};

const std::vector<LogEventInfo>& LogEventCatalogue();
const LogEventInfo& FindLogEvent(LogEvent event);

// Sends log lines to standard error only and drops those below `minimum`. Call once, before the first line.
void ConfigureLogging(LogSeverity minimum);

// Writes "E<number> <name> <details>".
void Log(LogEvent event, const std::string& details);

}  // namespace quetzalridge
