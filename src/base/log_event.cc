#include "base/log_event.h"

#include <easylogging++.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/clock.h"

INITIALIZE_EASYLOGGINGPP

namespace quetzalridge {

const std::vector<LogEventInfo>& LogEventCatalogue() {
  static const std::vector<LogEventInfo> kCatalogue = {
      {LogEvent::kDaemonStarted, LogSeverity::kInfo, "daemon_started", "The daemon listens on its addresses."},
      {LogEvent::kDaemonDraining, LogSeverity::kInfo, "daemon_draining",
       "A planned stop began; requests in flight finish, new ones are refused."},
      {LogEvent::kDaemonStopped, LogSeverity::kInfo, "daemon_stopped", "The daemon finished its planned stop."},
      {LogEvent::kSettingsRejected, LogSeverity::kError, "settings_rejected",
       "The settings file has errors; correct the listed keys and start again."},
      {LogEvent::kTlsCertificateLoaded, LogSeverity::kInfo, "tls_certificate_loaded",
       "A TLS certificate and key were read and are in use for new connections."},
      {LogEvent::kTlsCertificateRejected, LogSeverity::kError, "tls_certificate_rejected",
       "A TLS certificate or key could not be read; the previous one stays in use. Replace the files."},
      {LogEvent::kConfigLoaded, LogSeverity::kInfo, "config_loaded",
       "The configuration was loaded for the first time since the start."},
      {LogEvent::kConfigChangeAccepted, LogSeverity::kInfo, "config_change_accepted",
       "This instance added a change to the configuration log."},
      {LogEvent::kConfigChangeRejected, LogSeverity::kError, "config_change_rejected",
       "A logged change cannot be applied; this program is older than the one that accepted it. Update it."},
      {LogEvent::kConfigStoreDamaged, LogSeverity::kError, "config_store_damaged",
       "A row or snapshot of the configuration log is malformed or missing; restore it."},
      {LogEvent::kConfigSnapshotFailed, LogSeverity::kWarning, "config_snapshot_failed",
       "A snapshot of the configuration was not written; the next one replaces it."},
      {LogEvent::kStoreReachable, LogSeverity::kInfo, "store_reachable", "The table service answers again."},
      {LogEvent::kStoreUnreachable, LogSeverity::kWarning, "store_unreachable",
       "The table service does not answer; changes and duties wait."},
      {LogEvent::kPermissionLapsed, LogSeverity::kWarning, "permission_lapsed",
       "Keyed routes are refused, since the configuration is not confirmed as current."},
      {LogEvent::kPermissionRegained, LogSeverity::kInfo, "permission_regained", "Keyed routes are served again."},
      {LogEvent::kRolloutRowMalformed, LogSeverity::kError, "rollout_row_malformed",
       "A row of a rollout queue cannot be read and is passed over. Delete the row and submit its group again."},
      {LogEvent::kWeightRolloutStarted, LogSeverity::kInfo, "weight_rollout_started",
       "A new weight version was published; the holder of the roll-out duty orders it."},
      {LogEvent::kWeightSwapSetAside, LogSeverity::kWarning, "weight_swap_set_aside",
       "Repeated weight swaps of an endpoint failed; it is out of use until a swap succeeds. Replace the endpoint."},
      {LogEvent::kLeaseAcquired, LogSeverity::kInfo, "lease_acquired", "This instance holds the lease of a duty."},
      {LogEvent::kLeaseLost, LogSeverity::kInfo, "lease_lost", "This instance no longer holds the lease of a duty."},
      {LogEvent::kInstanceSuperseded, LogSeverity::kError, "instance_superseded",
       "Another process uses the same instance id; stop one of them."},
      {LogEvent::kInstanceSilent, LogSeverity::kWarning, "instance_silent",
       "An instance neither renewed its roster row nor was heard for 30 s."},
      {LogEvent::kInstanceRemoved, LogSeverity::kInfo, "instance_removed",
       "The roster row of an instance that is gone was removed."},
      {LogEvent::kUsageLate, LogSeverity::kInfo, "usage_late",
       "Usage arrived after its window was closed; it is reported as late with the present window."},
      {LogEvent::kUsageDiffers, LogSeverity::kError, "usage_differs",
       "The platform holds other figures for a reported window; compare usage-frozen with the platform."},
      {LogEvent::kUsageDamaged, LogSeverity::kError, "usage_damaged", "A usage row is malformed; restore it."},
      {LogEvent::kOrderStale, LogSeverity::kWarning, "order_stale",
       "The platform refused an order as stale; a newer holder or sequence was seen. The intents are read again."},
      {LogEvent::kNoEndpointsToOrder, LogSeverity::kWarning, "no_endpoints_to_order",
       "The platform has no endpoints of an ordered kind in the availability zone."},
      {LogEvent::kOldStateRemoved, LogSeverity::kInfo, "old_state_removed",
       "Rows whose retention period is over were deleted since the last such event."},
      {LogEvent::kCleanupDamaged, LogSeverity::kError, "cleanup_damaged",
       "A row of the cleanup duty is malformed; nothing is deleted. Delete the row."},
      {LogEvent::kNodeSettingsRead, LogSeverity::kInfo, "node_settings_read",
       "The settings file of the platform was read, at start or after a change."},
      {LogEvent::kLogLinesDropped, LogSeverity::kWarning, "log_lines_dropped",
       "Lines were dropped since the last such event, because their rate was too high or the reader too slow."},
      {LogEvent::kClientMemoryFull, LogSeverity::kWarning, "client_memory_full",
       "Connections were closed or requests refused in the last second, since clients hold all memory for requests."},
      {LogEvent::kConnectionsFull, LogSeverity::kWarning, "connections_full",
       "Connections were closed in the last second so that others could be accepted, or could not be accepted."},
      {LogEvent::kSlowClients, LogSeverity::kInfo, "slow_clients",
       "Requests did not arrive in time, or responses were not read in time, in the last second."},
      {LogEvent::kBodyLimitLowered, LogSeverity::kWarning, "body_limit_lowered",
       "The operator's limit for bodies needs more memory than this machine has; a lower one is in force."},
      {LogEvent::kRowRejected, LogSeverity::kWarning, "row_rejected",
       "A row of another writer cannot be used; it is ignored and the last good one stays in force."},
      {LogEvent::kOperatorConfigApplied, LogSeverity::kInfo, "operator_config_applied",
       "A newer configuration of the operator is in force on this instance."},
      {LogEvent::kModelVersionNamed, LogSeverity::kInfo, "model_version_named",
       "A trainer named a new version of a model."},
      {LogEvent::kStoreCallFailed, LogSeverity::kWarning, "store_call_failed",
       "The metadata store refused a call or gave no answer."},
      {LogEvent::kRouteMalformed, LogSeverity::kError, "route_malformed",
       "A route of the operator's configuration cannot be read; its requests are refused, the other routes are "
       "served."},
      {LogEvent::kTableReadLate, LogSeverity::kInfo, "table_read_late",
       "The copy of a table of other programs was older than planned, or an outage of its reads has ended."},
      {LogEvent::kInstancesLost, LogSeverity::kInfo, "instances_lost",
       "This instance reports others that no longer renew their rows. After several, all read the roster often."},
      {LogEvent::kBatchAccepted, LogSeverity::kInfo, "batch_accepted", "A batch job is stored and was acknowledged."},
      {LogEvent::kBatchRefused, LogSeverity::kWarning, "batch_refused", "A batch job was not accepted."},
      {LogEvent::kBatchOwned, LogSeverity::kInfo, "batch_owned", "This instance runs a batch job from now on."},
      {LogEvent::kBatchOwnerLost, LogSeverity::kInfo, "batch_owner_lost",
       "This instance no longer runs a batch job: another instance took it over, or it has ended."},
      {LogEvent::kBatchAppended, LogSeverity::kInfo, "batch_appended", "Results of a batch job were stored."},
      {LogEvent::kBatchEnded, LogSeverity::kInfo, "batch_ended", "A caller ended a batch job."},
      {LogEvent::kBatchItemSent, LogSeverity::kInfo, "batch_item_sent",
       "An item was sent to an endpoint; `service` and `software` name its service and software version."},
      {LogEvent::kBatchItemInterrupted, LogSeverity::kInfo, "batch_item_interrupted",
       "The run of an item ended before its last event; it is sent again."},
      {LogEvent::kBatchItemDone, LogSeverity::kInfo, "batch_item_done",
       "An item has its result: completed, or failed for good."},
      {LogEvent::kBatchRowMalformed, LogSeverity::kError, "batch_row_malformed",
       "A row of a batch job cannot be read; the job is not run."},
      {LogEvent::kRewardCallSent, LogSeverity::kInfo, "reward_call_sent",
       "The text of an item is complete; the request that scores it was sent to an endpoint."},
      {LogEvent::kRewardCallFailed, LogSeverity::kInfo, "reward_call_failed",
       "An attempt of a reward call gave no score; the line says whether it is repeated."},
      {LogEvent::kBatchTextDiscarded, LogSeverity::kInfo, "batch_text_discarded",
       "An item starts again from the beginning, because its text cannot be continued; the line names the reason."},
      {LogEvent::kRequestAnswered, LogSeverity::kInfo, "request_answered", "A request was answered by an endpoint."},
      {LogEvent::kRequestRefused, LogSeverity::kInfo, "request_refused",
       "A request was answered by this instance with an error."},
      {LogEvent::kRequestAttemptFailed, LogSeverity::kInfo, "request_attempt_failed",
       "An endpoint did not serve a request; the line says whether it may have run."},
      {LogEvent::kRequestAbandoned, LogSeverity::kInfo, "request_abandoned",
       "The caller closed its connection before the answer."},
      {LogEvent::kEndpointListed, LogSeverity::kInfo, "endpoint_listed",
       "An endpoint is new in the registry, or its state there changed."},
      {LogEvent::kEndpointGone, LogSeverity::kInfo, "endpoint_gone", "An endpoint left the registry."},
      {LogEvent::kEndpointAvoided, LogSeverity::kInfo, "endpoint_avoided",
       "An endpoint failed and gets no work for a while."},
      {LogEvent::kEndpointRateLimit, LogSeverity::kInfo, "endpoint_rate_limit",
       "An endpoint has set, changed or lifted its limit of requests per second."},
      {LogEvent::kPermitNotAnswered, LogSeverity::kInfo, "permit_not_answered",
       "The instance that grants permits for an endpoint with a rate limit did not answer; it is asked again."},
      {LogEvent::kCommonVersionSet, LogSeverity::kInfo, "common_version_set",
       "The software version whose streams have no row in the table was set for a service."},
      {LogEvent::kEndpointPathLost, LogSeverity::kWarning, "endpoint_path_lost",
       "This instance no longer reaches an endpoint that others reach; its calls go through other instances."},
      {LogEvent::kEndpointPathsRestored, LogSeverity::kInfo, "endpoint_paths_restored",
       "This instance reaches all endpoints again and calls them over its own connections."},
      {LogEvent::kRelayRefused, LogSeverity::kInfo, "relay_refused",
       "Another instance did not pass a call on to an endpoint; the next one is asked."},
      {LogEvent::kRequestSuspected, LogSeverity::kInfo, "request_suspected",
       "A request was in flight on an endpoint that has crashed; its next runs are alone."},
      {LogEvent::kRequestQuarantined, LogSeverity::kWarning, "request_quarantined",
       "A request has crashed endpoints again and again, and is refused. An operator may clear it; see OPERATIONS."},
      {LogEvent::kRequestCleared, LogSeverity::kInfo, "request_cleared",
       "An operator has cleared a request; it runs again."},
      {LogEvent::kEndpointCold, LogSeverity::kInfo, "endpoint_cold",
       "An endpoint has started and is slow; it gets only the requests per second of its pace, from all instances."},
      {LogEvent::kEndpointWarm, LogSeverity::kInfo, "endpoint_warm",
       "An endpoint is no longer cold and takes requests without permits."},
      {LogEvent::kZoneEvacuated, LogSeverity::kWarning, "zone_evacuated",
       "The operator evacuates a zone: its endpoints get no further requests from this instance."},
      {LogEvent::kZoneDrained, LogSeverity::kInfo, "zone_drained",
       "No request of this instance is left on the endpoints of an evacuated zone."},
      {LogEvent::kZoneInUse, LogSeverity::kInfo, "zone_in_use",
       "The evacuation of a zone has ended, and its endpoints get requests again."},
      {LogEvent::kUsageReported, LogSeverity::kInfo, "usage_reported", "The usage of one window was reported."},
      {LogEvent::kModelOrderSent, LogSeverity::kInfo, "model_order_sent",
       "An endpoint was told to load a version of a model."},
      {LogEvent::kModelOrderAnswered, LogSeverity::kInfo, "model_order_answered",
       "The answer of an endpoint to such an order."},
      {LogEvent::kEndpointsOrdered, LogSeverity::kInfo, "endpoints_ordered",
       "The number of endpoints of a service in an availability zone was ordered."},
  };
  return kCatalogue;
}

const LogEventInfo& FindLogEvent(LogEvent event) {
  for (const LogEventInfo& info : LogEventCatalogue()) {
    if (info.event == event) {
      return info;
    }
  }
  throw std::logic_error("log event without a catalogue entry; add one in base/log_event.cc");
}

namespace {

LogSeverity g_minimum_severity = LogSeverity::kInfo;

// Lines that a slow reader of the log has not taken yet.
constexpr size_t kMaxBufferedBytes = 256 << 10;
// The rate limit and the size of a burst above the limit. The limit allows about five lines for each request at the
// peak load of one instance.
constexpr int64_t kLinesPerSecond = 400;
constexpr int64_t kBurstLines = 2000;
constexpr int64_t kMsPerSecond = 1000;

// Writes whole lines to a file descriptor without blocking. Counts the lines that are dropped because the rate limit is
// reached or the reader is too slow.
class LogWriter {
 public:
  void Open(int fd) {
    m_fd = fd;
    struct stat status {};
    // Writing to a regular file never blocks, and a terminal must stay unchanged because other programs share it.
    if (fstat(fd, &status) == 0 && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode))) {
      fcntl(fd, F_SETFL, fcntl(fd, F_GETFL, 0) | O_NONBLOCK);
    }
  }

  // Counts a dropped line and returns false when the rate limit is reached.
  bool ConsumeRateToken() {
    const int64_t now_ms = m_clock.Now().ms();
    m_tokens_ms = std::min(m_tokens_ms + (now_ms - m_refilled_ms), kBurstLines * kMsPerSecond / kLinesPerSecond);
    m_refilled_ms = now_ms;
    if (m_tokens_ms < kMsPerSecond / kLinesPerSecond) {
      ++m_dropped;
      return false;
    }
    m_tokens_ms -= kMsPerSecond / kLinesPerSecond;
    return true;
  }

  void Write(const std::string& line) {
    Flush();
    if (m_pending.size() + line.size() > kMaxBufferedBytes) {
      ++m_dropped;
      return;
    }
    m_pending += line;
    Flush();
  }

  int64_t dropped() const { return m_dropped; }
  // Returns the number of lines dropped since the last call.
  int64_t TakeUnreportedDrops() { return m_dropped - std::exchange(m_reported_drops, m_dropped); }

 private:
  void Flush() {
    while (!m_pending.empty()) {
      const ssize_t written = write(m_fd, m_pending.data(), m_pending.size());
      if (written <= 0) {
        return;
      }
      m_pending.erase(0, static_cast<size_t>(written));
    }
  }

  BootClock m_clock;
  int m_fd = STDERR_FILENO;
  std::string m_pending;
  // What is left of the rate limit, as the time in which it refills.
  int64_t m_tokens_ms = kBurstLines * kMsPerSecond / kLinesPerSecond;
  int64_t m_refilled_ms = 0;
  int64_t m_dropped = 0;
  int64_t m_reported_drops = 0;
};

LogWriter g_writer;

// Passes each line from the logging library to g_writer. The library itself can write only to standard output or files,
// and blocks while the reader is slow.
class WriterDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    g_writer.Write(data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog));
  }
};

el::Level ToLibraryLevel(LogSeverity severity) {
  switch (severity) {
    case LogSeverity::kDebug:
      return el::Level::Debug;
    case LogSeverity::kInfo:
      return el::Level::Info;
    case LogSeverity::kWarning:
      return el::Level::Warning;
    case LogSeverity::kError:
      return el::Level::Error;
  }
  return el::Level::Error;
}

}  // namespace

// Turns off the outputs of the logging library. Its default configuration writes a file, but instances have no disk.
void ConfigureLogging(LogSeverity minimum, LogStream stream) {
  g_minimum_severity = minimum;
  g_writer.Open(stream == LogStream::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format, "%datetime %level %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<WriterDispatch>("writer");
}

namespace {

void WriteLine(const LogEventInfo& info, const std::string& details) {
  std::string line = "E" + std::to_string(static_cast<int>(info.event)) + " " + std::string(info.name);
  if (!details.empty()) {
    line += ": " + details;
  }
  el::base::Writer(ToLibraryLevel(info.severity), "", 0, "").construct(1, "default") << line;
}

std::string QuoteIfNeeded(const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"=\n\r") == std::string::npos) {
    return value;
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted.push_back('\\');
    }
    quoted.push_back(c == '\n' || c == '\r' ? ' ' : c);
  }
  return quoted + "\"";
}

}  // namespace

void Log(LogEvent event, const std::string& details) {
  const LogEventInfo& info = FindLogEvent(event);
  if (info.severity < g_minimum_severity || !g_writer.ConsumeRateToken()) {
    return;
  }
  const int64_t dropped = g_writer.TakeUnreportedDrops();
  if (dropped > 0) {
    WriteLine(FindLogEvent(LogEvent::kLogLinesDropped), "lines=" + std::to_string(dropped));
  }
  WriteLine(info, details);
}

void Log(LogEvent event, const std::vector<LogField>& fields) {
  if (FindLogEvent(event).severity < g_minimum_severity) {
    return;
  }
  std::string details;
  for (const LogField& field : fields) {
    details += (details.empty() ? "" : " ") + std::string(field.name) + "=" + QuoteIfNeeded(field.value);
  }
  Log(event, details);
}

int64_t DroppedLogLines() {
  return g_writer.dropped();
}

}  // namespace quetzalridge
