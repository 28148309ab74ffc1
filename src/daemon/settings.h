#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"
#include "state/client_limits.h"

namespace quetzalridge {

// The settings of one instance, read from a file at start. Everything that all instances share is in the configuration
// document instead (see ConfigDocument).
struct Settings {
  struct Instance {
    std::string id;
    std::string zone;
    std::string cluster = "default";
    // In degrees. The demand forecast computes the time of sunset from them.
    double latitude = 0.0;
    double longitude = 0.0;
  } instance;

  // Addresses have the form "ip:port".
  struct Listen {
    std::string caller;
    std::string admin;
    std::string peer;
    // PEM files. Either both are given or neither.
    std::string tls_certificate;
    std::string tls_key;
  } listen;

  struct PlatformService {
    std::string address;
  } platform;

  struct Admin {
    // The bearer token of operators. If it is empty, all requests at the admin address are accepted.
    std::string token;
  } admin;

  struct Limits {
    int max_body_bytes = 1 << 20;
    int max_head_bytes = 32 << 10;
    // Of the process. They bound what all clients together can make it hold.
    int memory_mb = 256;
    int max_descriptors = 1024;
    Duration request_read_timeout = Duration::Seconds(10);
    Duration response_piece_timeout = Duration::Seconds(30);
    Duration connect_timeout = Duration::Seconds(1);
    Duration first_token_timeout = Duration::Seconds(30);
    Duration token_gap_timeout = Duration::Seconds(10);
    Duration total_timeout = Duration::Seconds(600);
    Duration drain_timeout = Duration::Seconds(600);
  } limits;

  // Intervals, timeouts and validity periods. The documented guarantees hold for the default values. Tests use shorter
  // ones.
  struct Timing {
    Duration config_poll = Duration::Milliseconds(1000);
    // How long a confirmation that the configuration is current allows this instance to serve keyed routes (routes that
    // need an API key).
    Duration permission = Duration::Milliseconds(3000);
    // How long streams on keyed routes are held after that permission has expired, before they are ended.
    Duration stream_hold = Duration::Milliseconds(1000);
    // How long a configuration change waits for instances that have not reported it as applied. After permission plus
    // stream_hold, such an instance serves no keyed route any more.
    Duration accept_wait = Duration::Milliseconds(4000);
    Duration lease_ttl = Duration::Milliseconds(10000);
    Duration lease_renewal = Duration::Milliseconds(3000);
    Duration platform_request_timeout = Duration::Milliseconds(5000);
    Duration peer_interval = Duration::Milliseconds(1000);
    Duration usage_window = Duration::Milliseconds(60000);
    Duration usage_flush = Duration::Milliseconds(5000);
    Duration usage_grace = Duration::Milliseconds(10000);
    Duration load_poll = Duration::Milliseconds(500);
    // The greatest age of the newest known weight version when samples are delivered to a trainer.
    Duration version_freshness = Duration::Milliseconds(500);
  } timing;

  // Deletion of rows and objects that are no longer needed.
  struct Cleanup {
    // Age from which a row may be deleted.
    Duration retention = Duration::Seconds(86'400);
    int rows_per_second = 10;
  } cleanup;

  struct Logging {
    LogSeverity level = LogSeverity::kInfo;
  } log;
};

// The description of one settings key. A test compares it with the reference page.
struct SettingsKey {
  std::string path;
  std::string type;
  std::string default_value;
};

// Reads settings from JSON with comments. Throws Error(kInvalidSettings) with a message that lists all errors, each
// with the path of its key and how to correct it.
Settings ParseSettings(const std::string& text);
Settings LoadSettings(const std::string& file);
std::vector<SettingsKey> SettingsKeys();

// Number of times that a body is held while it is handled: by the caller's request with its priority, by the run that
// dispatches it, by the call to the endpoint, and as a document while it is decoded.
constexpr size_t kDaemonBodyCopies = 4;

// What clients can make the process hold, from the limits of the process.
ClientLimits MakeClientLimits(const Settings& settings);

}  // namespace quetzalridge
