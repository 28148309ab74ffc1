#pragma once

#include <cstdint>
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

// Numbered log events. Numbers are never reused. The page docs/operations/log_events.md lists all of them. Ranges: 1000
// daemon, 2000 transport, 3000 coordination, 4000 samples and batch jobs, 5000 routing and limits, 6000 duties.
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
  kNodeSettingsRead = 1004,
  kLogLinesDropped = 1005,
  kClientMemoryFull = 2002,
  kConnectionsFull = 2003,
  kSlowClients = 2004,
  kBodyLimitLowered = 2005,
  kRowRejected = 3013,
  kOperatorConfigApplied = 3014,
  kModelVersionNamed = 3015,
  kStoreCallFailed = 3016,
  kRouteMalformed = 3017,
  kTableReadLate = 3018,
  kInstancesLost = 3019,
  kBatchAccepted = 4003,
  kBatchRefused = 4004,
  kBatchOwned = 4005,
  kBatchOwnerLost = 4006,
  kBatchAppended = 4007,
  kBatchEnded = 4008,
  kBatchItemSent = 4009,
  kBatchItemInterrupted = 4010,
  kBatchItemDone = 4011,
  kBatchRowMalformed = 4012,
  kRewardCallSent = 4013,
  kRewardCallFailed = 4014,
  kBatchTextDiscarded = 4015,
  kRequestAnswered = 5000,
  kRequestRefused = 5001,
  kRequestAttemptFailed = 5002,
  kRequestAbandoned = 5003,
  kEndpointListed = 5004,
  kEndpointGone = 5005,
  kEndpointAvoided = 5006,
  kEndpointRateLimit = 5007,
  kPermitNotAnswered = 5008,
  kCommonVersionSet = 5009,
  kEndpointPathLost = 5010,
  kEndpointPathsRestored = 5011,
  kRelayRefused = 5012,
  kRequestSuspected = 5013,
  kRequestQuarantined = 5014,
  kRequestCleared = 5015,
  kEndpointCold = 5016,
  kEndpointWarm = 5017,
  kZoneEvacuated = 5018,
  kZoneDrained = 5019,
  kZoneInUse = 5020,
  kUsageReported = 6009,
  kModelOrderSent = 6010,
  kModelOrderAnswered = 6011,
  kEndpointsOrdered = 6012,
};

// How an event is logged, and what it means to an operator.
struct LogEventInfo {
  LogEvent event;
  LogSeverity severity;
  std::string_view name;
  std::string_view meaning;
};

const std::vector<LogEventInfo>& LogEventCatalogue();
// Throws std::logic_error when the event is not in the catalogue.
const LogEventInfo& FindLogEvent(LogEvent event);

// Where log lines are written. Writing never blocks: lines that the reader does not take in time are buffered up to a
// limit, and then dropped and counted.
enum class LogStream {
  kStandardOutput,
  kStandardError,
};

// Sets where lines are written and drops lines below `minimum`. Call once, before the first line is logged.
void ConfigureLogging(LogSeverity minimum, LogStream stream = LogStream::kStandardError);

// Writes "E<number> <name>: <details>".
void Log(LogEvent event, const std::string& details);

struct LogField {
  std::string_view name;
  std::string value;
};

// Writes "E<number> <name>: <field>=<value> ...". Values that are empty or hold spaces, quotes or "=" are quoted.
void Log(LogEvent event, const std::vector<LogField>& fields);

// Returns the number of lines that were not written because the reader was too slow or the rate limit was reached.
int64_t DroppedLogLines();

}  // namespace quetzalridge
