#include "daemon/settings.h"

#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "base/error.h"
#include "base/ip_port.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr std::pair<std::string_view, LogSeverity> kLogLevels[] = {
    {"debug", LogSeverity::kDebug},
    {"info", LogSeverity::kInfo},
    {"warning", LogSeverity::kWarning},
    {"error", LogSeverity::kError},
};

// One settings key. `path` is its section and name, joined by a dot. `type` and `default_value` are texts for the
// reference page. `store` validates a value and stores it in the settings; it returns what is wrong with an invalid
// value, or nothing.
struct Field {
  std::string path;
  std::string type;
  std::string default_value;
  bool required = false;
  std::function<std::optional<std::string>(const Json&)> store;
};

Field StringField(const std::string& path, std::string* target, bool required) {
  return {path, "string", *target, required, [target, required](const Json& value) -> std::optional<std::string> {
            if (!value.is_string()) {
              return "must be a string; put it in quotes";
            }
            if (required && value.get<std::string>().empty()) {
              return "must not be empty; give a value";
            }
            *target = value.get<std::string>();
            return std::nullopt;
          }};
}

Field AddressField(const std::string& path, std::string* target) {
  return {path, "address", "", true, [target](const Json& value) -> std::optional<std::string> {
            if (!value.is_string() || !ParseIpPort(value.get<std::string>()).has_value()) {
              return "must be an IPv4 address and a port; for example \"10.0.0.5:8080\"";
            }
            *target = value.get<std::string>();
            return std::nullopt;
          }};
}

Field IntField(const std::string& path, int* target, int minimum, int maximum) {
  return {path, "whole number", std::to_string(*target), false, [=](const Json& value) -> std::optional<std::string> {
            if (!value.is_number_integer() || value.get<int64_t>() < minimum || value.get<int64_t>() > maximum) {
              return "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
            }
            *target = value.get<int>();
            return std::nullopt;
          }};
}

Field DegreesField(const std::string& path, double* target, double limit) {
  return {path, "degrees", "0", false, [=](const Json& value) -> std::optional<std::string> {
            if (!value.is_number() || value.get<double>() < -limit || value.get<double>() > limit) {
              return "must be degrees from " + Json(-limit).dump() + " to " + Json(limit).dump();
            }
            *target = value.get<double>();
            return std::nullopt;
          }};
}

Field DurationField(const std::string& path, Duration* target, int64_t minimum_ms, int64_t maximum_ms) {
  return {
      path, "milliseconds", std::to_string(target->ms()), false, [=](const Json& value) -> std::optional<std::string> {
        if (!value.is_number_integer() || value.get<int64_t>() < minimum_ms || value.get<int64_t>() > maximum_ms) {
          return "must be whole milliseconds from " + std::to_string(minimum_ms) + " to " + std::to_string(maximum_ms);
        }
        *target = Duration::Milliseconds(value.get<int64_t>());
        return std::nullopt;
      }};
}

Field LogLevelField(const std::string& path, LogSeverity* target) {
  return {path, "debug, info, warning or error", "info", false,
          [target](const Json& value) -> std::optional<std::string> {
            for (const auto& [name, severity] : kLogLevels) {
              if (value.is_string() && value.get<std::string>() == name) {
                *target = severity;
                return std::nullopt;
              }
            }
            return "must be \"debug\", \"info\", \"warning\" or \"error\"";
          }};
}

constexpr int64_t kHourMs = 3'600'000;
constexpr int64_t kMaxRetentionMs = 744 * kHourMs;

std::vector<Field> FieldsOf(Settings* s) {
  return {
      StringField("instance.id", &s->instance.id, true),
      StringField("instance.zone", &s->instance.zone, true),
      StringField("instance.cluster", &s->instance.cluster, false),
      DegreesField("instance.latitude", &s->instance.latitude, 90),
      DegreesField("instance.longitude", &s->instance.longitude, 180),
      AddressField("listen.caller", &s->listen.caller),
      AddressField("listen.admin", &s->listen.admin),
      AddressField("listen.peer", &s->listen.peer),
      StringField("listen.tls_certificate", &s->listen.tls_certificate, false),
      StringField("listen.tls_key", &s->listen.tls_key, false),
      AddressField("platform.address", &s->platform.address),
      StringField("admin.token", &s->admin.token, false),
      IntField("limits.max_body_bytes", &s->limits.max_body_bytes, 1024, 64 << 20),
      IntField("limits.max_head_bytes", &s->limits.max_head_bytes, 1024, 256 << 10),
      IntField("limits.memory_mb", &s->limits.memory_mb, 64, 1 << 20),
      IntField("limits.max_descriptors", &s->limits.max_descriptors, 256, 1 << 20),
      DurationField("limits.response_piece_timeout_ms", &s->limits.response_piece_timeout, 100, kHourMs),
      DurationField("limits.request_read_timeout_ms", &s->limits.request_read_timeout, 100, kHourMs),
      DurationField("limits.connect_timeout_ms", &s->limits.connect_timeout, 10, kHourMs),
      DurationField("limits.first_token_timeout_ms", &s->limits.first_token_timeout, 10, kHourMs),
      DurationField("limits.token_gap_timeout_ms", &s->limits.token_gap_timeout, 10, kHourMs),
      DurationField("limits.total_timeout_ms", &s->limits.total_timeout, 10, 24 * kHourMs),
      DurationField("limits.drain_timeout_ms", &s->limits.drain_timeout, 10, 24 * kHourMs),
      DurationField("timing.config_poll_ms", &s->timing.config_poll, 10, 1000),
      DurationField("timing.permission_ms", &s->timing.permission, 100, 3000),
      DurationField("timing.stream_hold_ms", &s->timing.stream_hold, 0, 1000),
      DurationField("timing.accept_wait_ms", &s->timing.accept_wait, 100, 60000),
      DurationField("timing.lease_ttl_ms", &s->timing.lease_ttl, 100, kHourMs),
      DurationField("timing.lease_renewal_ms", &s->timing.lease_renewal, 10, kHourMs),
      DurationField("timing.platform_request_timeout_ms", &s->timing.platform_request_timeout, 50, 60000),
      DurationField("timing.peer_interval_ms", &s->timing.peer_interval, 10, 1000),
      DurationField("timing.usage_window_ms", &s->timing.usage_window, 100, 24 * kHourMs),
      DurationField("timing.usage_flush_ms", &s->timing.usage_flush, 10, kHourMs),
      DurationField("timing.usage_grace_ms", &s->timing.usage_grace, 10, kHourMs),
      DurationField("timing.load_poll_ms", &s->timing.load_poll, 10, 60000),
      DurationField("timing.version_freshness_ms", &s->timing.version_freshness, 10, 5000),
      DurationField("cleanup.retention_ms", &s->cleanup.retention, 1000, kMaxRetentionMs),
      IntField("cleanup.rows_per_second", &s->cleanup.rows_per_second, 1, 10),
      LogLevelField("log.level", &s->log.level),
  };
}

// Checks the rules that apply to the values of several keys together.
void CheckCombinations(const Settings& s, std::vector<std::string>* errors) {
  if (s.listen.tls_certificate.empty() != s.listen.tls_key.empty()) {
    errors->push_back("listen.tls_certificate and listen.tls_key go together; give both or neither");
  }
  const ClientLimits client_limits = MakeClientLimits(s);
  const size_t max_body_bytes = client_limits.memory_bytes / kDaemonBodyCopies - kMaxRequestHeadBytes;
  if (static_cast<size_t>(s.limits.max_body_bytes) > max_body_bytes) {
    errors->push_back("limits.max_body_bytes must be at most " + std::to_string(max_body_bytes) +
                      " with this limits.memory_mb, since a body is held " + std::to_string(kDaemonBodyCopies) +
                      " times; lower it or raise limits.memory_mb");
  }
  if (s.timing.lease_renewal * 2 > s.timing.lease_ttl) {
    errors->push_back("timing.lease_renewal_ms must be at most half of timing.lease_ttl_ms; lower it");
  }
  if (s.timing.accept_wait < s.timing.permission + s.timing.stream_hold) {
    errors->push_back(
        "timing.accept_wait_ms must be at least timing.permission_ms plus timing.stream_hold_ms, or a change would be "
        "acknowledged before every instance obeys it; raise it");
  }
  if (s.cleanup.retention <= s.limits.total_timeout) {
    errors->push_back(
        "cleanup.retention_ms must exceed limits.total_timeout_ms, or the record of a call that still runs would be "
        "deleted and a repeated call would run twice; raise it");
  }
  if (s.timing.lease_ttl <= s.timing.platform_request_timeout) {
    errors->push_back(
        "timing.lease_ttl_ms must exceed timing.platform_request_timeout_ms, or no order could be sent; raise it");
  }
}

// Stores the values of a JSON object and of its nested sections in the settings. `prefix` is the path of the object.
void ReadSection(const std::string& prefix, const Json& json, std::vector<Field>* fields,
                 std::vector<std::string>* errors) {
  for (const auto& [key, value] : json.items()) {
    const std::string path = prefix.empty() ? key : prefix + "." + key;
    bool is_section = false;
    Field* field = nullptr;
    for (Field& candidate : *fields) {
      if (candidate.path == path) {
        field = &candidate;
      }
      is_section = is_section || candidate.path.rfind(path + ".", 0) == 0;
    }
    if (is_section && value.is_object()) {
      ReadSection(path, value, fields, errors);
    } else if (is_section) {
      errors->push_back(path + " must be an object; put its keys in braces");
    } else if (field == nullptr) {
      errors->push_back(path + " is not a known key; remove it or correct its spelling");
    } else if (const std::optional<std::string> problem = field->store(value)) {
      errors->push_back(path + " " + *problem);
    }
  }
}

bool HasPath(const Json& json, const std::string& path) {
  const size_t dot = path.find('.');
  const Json* section = &json;
  if (dot != std::string::npos) {
    const auto it = json.find(path.substr(0, dot));
    if (it == json.end() || !it->is_object()) {
      return false;
    }
    section = &*it;
  }
  return section->contains(path.substr(dot + 1));
}

}  // namespace

ClientLimits MakeClientLimits(const Settings& settings) {
  constexpr size_t kBytesPerMb = 1 << 20;
  const size_t memory_bytes = static_cast<size_t>(settings.limits.memory_mb) * kBytesPerMb;
  return DivideResources(memory_bytes, memory_bytes / kResponseMemoryFraction, settings.limits.max_descriptors);
}

Settings ParseSettings(const std::string& text) {
  Json json;
  try {
    json = Json::parse(text, nullptr, true, /*ignore_comments=*/true);
  } catch (const Json::parse_error& error) {
    throw Error(ErrorCode::kInvalidSettings,
                std::string("the settings are not valid JSON with comments; correct: ") + error.what());
  }
  if (!json.is_object()) {
    throw Error(ErrorCode::kInvalidSettings, "the settings must be a JSON object; put the sections in braces");
  }
  Settings settings;
  std::vector<Field> fields = FieldsOf(&settings);
  std::vector<std::string> errors;
  ReadSection("", json, &fields, &errors);
  for (const Field& field : fields) {
    if (field.required && !HasPath(json, field.path)) {
      errors.push_back(field.path + " is missing; add it");
    }
  }
  if (errors.empty()) {
    CheckCombinations(settings, &errors);
  }
  if (!errors.empty()) {
    std::string message = std::to_string(errors.size()) + " error(s) in the settings:";
    for (const std::string& error : errors) {
      message += "\n  " + error;
    }
    throw Error(ErrorCode::kInvalidSettings, message);
  }
  return settings;
}

Settings LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    throw Error(ErrorCode::kInvalidSettings, "cannot read " + file + "; check its name and permissions");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str());
}

std::vector<SettingsKey> SettingsKeys() {
  Settings settings;
  std::vector<SettingsKey> keys;
  for (const Field& field : FieldsOf(&settings)) {
    keys.push_back({field.path, field.type, field.required ? "(required)" : field.default_value});
  }
  return keys;
}

}  // namespace quetzalridge
