#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"

namespace quetzalridge {

// What one instance reads from its settings file at start. Everything that all instances share is in the configuration
// document instead.
struct Settings {
  struct Instance {
    std::string id;
    std::string zone;
    std::string cluster = "default";
    // Degrees; the demand forecast works out the sunset from them.
    double latitude = 0.0;
    double longitude = 0.0;
  } instance;

  // Addresses are "ip:port".
  struct Listen {
    std::string caller;
    std::string admin;
    std::string peer;
    // PEM files; both or neither.
    std::string tls_certificate;
    std::string tls_key;
  } listen;

  struct PlatformService {
    std::string address;
  } platform;

  struct Admin {
    // Operators send it as a bearer token. Empty accepts everyone who reaches the admin address.
    std::string token;
  } admin;

  struct Limits {
    int max_body_bytes = 1 << 20;
    int max_head_bytes = 32 << 10;
    Duration request_read_timeout = Duration::Seconds(10);
    Duration connect_timeout = Duration::Seconds(1);
    Duration first_token_timeout = Duration::Seconds(30);
    Duration token_gap_timeout = Duration::Seconds(10);
    Duration total_timeout = Duration::Seconds(600);
    Duration drain_timeout = Duration::Seconds(600);
  } limits;

  // Intervals and validity times. Guarantees are stated for the defaults; tests shorten them.
  struct Timing {
    Duration config_poll = Duration::Milliseconds(1000);
    Duration permission = Duration::Milliseconds(3000);
    Duration stream_hold = Duration::Milliseconds(1000);
    Duration accept_wait = Duration::Milliseconds(4000);
    Duration lease_ttl = Duration::Milliseconds(10000);
    Duration lease_renewal = Duration::Milliseconds(3000);
    Duration platform_request_timeout = Duration::Milliseconds(5000);
    Duration peer_interval = Duration::Milliseconds(1000);
    Duration usage_window = Duration::Milliseconds(60000);
    Duration usage_flush = Duration::Milliseconds(5000);
    Duration usage_grace = Duration::Milliseconds(10000);
    Duration load_poll = Duration::Milliseconds(500);
    Duration version_freshness = Duration::Milliseconds(500);
  } timing;

  // Deletion of state that is no longer needed.
  struct Cleanup {
    Duration retention = Duration::Seconds(86'400);
    int rows_per_second = 10;
  } cleanup;

  struct Logging {
    LogSeverity level = LogSeverity::kInfo;
  } log;
};

// Description of one settings key, for the reference page and its test.
struct SettingsKey {
  std::string path;
  std::string type;
  std::string default_value;
};

// Reads JSON with comments. Throws Error(kInvalidSettings) whose message lists every error with the key's path and the
// remedy.
Settings ParseSettings(const std::string& text);
Settings LoadSettings(const std::string& file);
std::vector<SettingsKey> SettingsKeys();

}  // namespace quetzalridge
