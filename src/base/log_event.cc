#include "base/log_event.h"

#include <easylogging++.h>

#include <stdexcept>

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

// The library itself prints to standard output or files only; this sends each line to standard error.
class StandardErrorDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const std::string line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog);
    std::fwrite(line.data(), 1, line.size(), stderr);
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

// Instances have no disk, and the library's default configuration writes a file.
void ConfigureLogging(LogSeverity minimum) {
  g_minimum_severity = minimum;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format, "%datetime %level %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<StandardErrorDispatch>("standard_error");
}

void Log(LogEvent event, const std::string& details) {
  const LogEventInfo& info = FindLogEvent(event);
  if (info.severity < g_minimum_severity) {
    return;
  }
  std::string line = "E" + std::to_string(static_cast<int>(event)) + " " + std::string(info.name);
  if (!details.empty()) {
    line += ": " + details;
  }
  el::base::Writer(ToLibraryLevel(info.severity), "", 0, "").construct(1, "default") << line;
}

}  // namespace quetzalridge
