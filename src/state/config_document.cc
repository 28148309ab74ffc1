#include "state/config_document.h"

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "base/error.h"
#include "base/ip_port.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr std::pair<ConfigKind, std::string_view> kKindNames[] = {
    {ConfigKind::kWorkspace, "workspace"}, {ConfigKind::kProfile, "profile"}, {ConfigKind::kService, "service"},
    {ConfigKind::kRoute, "route"},         {ConfigKind::kQueue, "queue"},     {ConfigKind::kEndpoint, "endpoint"},
    {ConfigKind::kZone, "zone"},           {ConfigKind::kKey, "key"},
};

constexpr std::pair<StragglerHandling, std::string_view> kStragglerHandlingNames[] = {
    {StragglerHandling::kResume, "resume"},
    {StragglerHandling::kSecondCopy, "second_copy"},
    {StragglerHandling::kSurplus, "surplus"},
};

// Reads the members of one JSON entry. Throws Error(kInvalidRequest) with the path of the entry for an unknown key, a
// wrong type or a value out of range.
class EntryReader {
 public:
  EntryReader(std::string path, const Json& json) : m_path(std::move(path)), m_json(json) {
    if (!json.is_object()) {
      Fail("", "must be a JSON object");
    }
  }

  // The Read functions leave `value` unchanged when the key is absent.
  template <typename Value>
  void ReadNumber(const char* key, Value* value, double minimum, double maximum) {
    m_known_keys.insert(key);
    const auto it = m_json.find(key);
    if (it == m_json.end()) {
      return;
    }
    if (!it->is_number() || (std::is_integral_v<Value> && !it->is_number_integer())) {
      Fail(key, std::is_integral_v<Value> ? "must be a whole number" : "must be a number");
    }
    const double number = it->template get<double>();
    if (!(number >= minimum && number <= maximum)) {
      Fail(key, "must be from " + Json(minimum).dump() + " to " + Json(maximum).dump());
    }
    *value = it->template get<Value>();
  }

  void ReadBool(const char* key, bool* value) {
    m_known_keys.insert(key);
    const auto it = m_json.find(key);
    if (it == m_json.end()) {
      return;
    }
    if (!it->is_boolean()) {
      Fail(key, "must be true or false");
    }
    *value = it->get<bool>();
  }

  void ReadString(const char* key, std::string* value, bool required) {
    m_known_keys.insert(key);
    const auto it = m_json.find(key);
    if (it == m_json.end()) {
      if (required) {
        Fail(key, "is missing; add it");
      }
      return;
    }
    if (!it->is_string()) {
      Fail(key, "must be a string");
    }
    *value = it->get<std::string>();
  }

  // Must be called after all keys of the entry have been read.
  void RejectUnknownKeys() const {
    for (const auto& [key, value] : m_json.items()) {
      if (m_known_keys.count(key) == 0) {
        Fail(key, "is not known; remove it or correct its spelling");
      }
    }
  }

  [[noreturn]] void Fail(const std::string& key, const std::string& problem) const {
    throw Error(ErrorCode::kInvalidRequest, m_path + (key.empty() ? "" : "." + key) + " " + problem);
  }

 private:
  std::string m_path;
  const Json& m_json;
  // The keys that Read functions were called for.
  std::set<std::string> m_known_keys;
};

// The error message for a longer name states this number.
constexpr size_t kMaxNameLength = 128;
constexpr double kMaxCount = 1e6;
constexpr double kMaxAmountPerHour = 1e9;

WorkspaceConfig ReadWorkspace(EntryReader* reader) {
  WorkspaceConfig config;
  reader->ReadNumber("share", &config.share, 0.001, 1000);
  reader->ReadNumber("max_concurrent", &config.max_concurrent, 1, kMaxCount);
  return config;
}

ProfileConfig ReadProfile(EntryReader* reader) {
  ProfileConfig config;
  reader->ReadNumber("staleness_bound", &config.staleness_bound, 0, 1000);
  reader->ReadNumber("rollout_share_max", &config.rollout_share_max, 0, 1);
  reader->ReadNumber("cheap_share_max", &config.cheap_share_max, 0, 1);
  reader->ReadNumber("spend_limit_per_hour", &config.spend_limit_per_hour, 0, kMaxAmountPerHour);
  reader->ReadNumber("objective_latency_ms", &config.objective_latency_ms, 1, 3'600'000);
  reader->ReadNumber("objective_target", &config.objective_target, 0.5, 0.99999);
  std::string stragglers(StragglerHandlingName(config.stragglers));
  reader->ReadString("stragglers", &stragglers, false);
  bool known = false;
  for (const auto& [value, name] : kStragglerHandlingNames) {
    if (name == stragglers) {
      config.stragglers = value;
      known = true;
    }
  }
  if (!known) {
    reader->Fail("stragglers", "must be \"resume\", \"second_copy\" or \"surplus\"");
  }
  reader->ReadNumber("straggler_factor", &config.straggler_factor, 1, 100);
  return config;
}

ServiceConfig ReadService(EntryReader* reader) {
  ServiceConfig config;
  std::string kind = "inference";
  reader->ReadString("kind", &kind, false);
  if (kind != "inference" && kind != "plain") {
    reader->Fail("kind", "must be \"inference\" or \"plain\"");
  }
  config.kind = kind == "plain" ? ServiceKind::kPlain : ServiceKind::kInference;
  reader->ReadString("profile", &config.profile, true);
  reader->ReadNumber("min_replicas", &config.min_replicas, 0, kMaxCount);
  reader->ReadNumber("max_replicas", &config.max_replicas, config.min_replicas, kMaxCount);
  reader->ReadNumber("slots_per_replica", &config.slots_per_replica, 1, 4096);
  reader->ReadNumber("weight_loads_per_second", &config.weight_loads_per_second, 0.1, 10'000);
  return config;
}

RouteConfig ReadRoute(EntryReader* reader) {
  RouteConfig config;
  reader->ReadString("service", &config.service, true);
  reader->ReadBool("open", &config.open);
  reader->ReadBool("idempotent", &config.idempotent);
  return config;
}

QueueConfig ReadQueue(EntryReader* reader) {
  QueueConfig config;
  reader->ReadString("workspace", &config.workspace, true);
  reader->ReadString("service", &config.service, true);
  return config;
}

EndpointConfig ReadEndpoint(EntryReader* reader) {
  EndpointConfig config;
  reader->ReadString("service", &config.service, true);
  reader->ReadString("address", &config.address, true);
  if (const std::optional<IpPort> address = ParseIpPort(config.address); !address.has_value() || address->port == 0) {
    reader->Fail("address", "must be an IPv4 number and a port, such as 10.0.0.5:8000");
  }
  reader->ReadString("zone", &config.zone, true);
  reader->ReadBool("cheap", &config.cheap);
  reader->ReadBool("checks_fencing", &config.checks_fencing);
  return config;
}

ZoneConfig ReadZone(EntryReader* reader) {
  ZoneConfig config;
  reader->ReadBool("checks_fencing", &config.checks_fencing);
  reader->ReadNumber("steady_price_per_hour", &config.steady_price_per_hour, 0, kMaxAmountPerHour);
  reader->ReadNumber("cheap_price_per_hour", &config.cheap_price_per_hour, 0, kMaxAmountPerHour);
  return config;
}

KeyConfig ReadKey(EntryReader* reader) {
  KeyConfig config;
  reader->ReadString("workspace", &config.workspace, true);
  reader->ReadString("label", &config.label, false);
  return config;
}

Json ToJsonValue(const WorkspaceConfig& c) {
  return {{"share", c.share}, {"max_concurrent", c.max_concurrent}};
}

Json ToJsonValue(const ProfileConfig& c) {
  return {{"staleness_bound", c.staleness_bound},
          {"rollout_share_max", c.rollout_share_max},
          {"cheap_share_max", c.cheap_share_max},
          {"spend_limit_per_hour", c.spend_limit_per_hour},
          {"objective_latency_ms", c.objective_latency_ms},
          {"objective_target", c.objective_target},
          {"stragglers", StragglerHandlingName(c.stragglers)},
          {"straggler_factor", c.straggler_factor}};
}

Json ToJsonValue(const ServiceConfig& c) {
  return {{"kind", c.kind == ServiceKind::kPlain ? "plain" : "inference"},
          {"profile", c.profile},
          {"min_replicas", c.min_replicas},
          {"max_replicas", c.max_replicas},
          {"slots_per_replica", c.slots_per_replica},
          {"weight_loads_per_second", c.weight_loads_per_second}};
}

Json ToJsonValue(const RouteConfig& c) {
  return {{"service", c.service}, {"open", c.open}, {"idempotent", c.idempotent}};
}

Json ToJsonValue(const QueueConfig& c) {
  return {{"workspace", c.workspace}, {"service", c.service}};
}

Json ToJsonValue(const EndpointConfig& c) {
  return {{"service", c.service},
          {"address", c.address},
          {"zone", c.zone},
          {"cheap", c.cheap},
          {"checks_fencing", c.checks_fencing}};
}

Json ToJsonValue(const ZoneConfig& c) {
  return {{"checks_fencing", c.checks_fencing},
          {"steady_price_per_hour", c.steady_price_per_hour},
          {"cheap_price_per_hour", c.cheap_price_per_hour}};
}

Json ToJsonValue(const KeyConfig& c) {
  return {{"workspace", c.workspace}, {"label", c.label}};
}

template <typename Config>
Json ToJsonMap(const std::map<std::string, Config>& entries) {
  Json json = Json::object();
  for (const auto& [name, config] : entries) {
    json[name] = ToJsonValue(config);
  }
  return json;
}

template <typename Config>
std::optional<std::string> FindJson(const std::map<std::string, Config>& entries, const std::string& name) {
  const auto it = entries.find(name);
  if (it == entries.end()) {
    return std::nullopt;
  }
  return ToJsonValue(it->second).dump();
}

// Fails unless the entry that `key` refers to exists.
template <typename Config>
void RequireEntry(const EntryReader& reader, const char* key, const std::map<std::string, Config>& entries,
                  const std::string& name) {
  if (entries.count(name) == 0) {
    reader.Fail(key, "refers to \"" + name + "\", which does not exist; create it first");
  }
}

// Throws if one of the entries refers to `name`, which is about to be deleted.
template <typename Referrer>
void RequireUnused(const std::string& path, const std::map<std::string, Referrer>& entries,
                   std::string Referrer::*member, const std::string& name, std::string_view referrer_kind) {
  for (const auto& [referrer_name, referrer] : entries) {
    if (referrer.*member == name) {
      throw Error(ErrorCode::kInvalidRequest, path + " is in use by " + std::string(referrer_kind) + " \"" +
                                                  referrer_name + "\"; change or remove that first");
    }
  }
}

}  // namespace

std::string_view ConfigKindName(ConfigKind kind) {
  for (const auto& [value, name] : kKindNames) {
    if (value == kind) {
      return name;
    }
  }
  throw std::logic_error("unknown value of ConfigKind; add it to kKindNames");
}

std::string_view StragglerHandlingName(StragglerHandling handling) {
  for (const auto& [value, name] : kStragglerHandlingNames) {
    if (value == handling) {
      return name;
    }
  }
  throw std::logic_error("unknown value of StragglerHandling; add it to kStragglerHandlingNames");
}

std::optional<ConfigKind> ParseConfigKind(std::string_view name) {
  for (const auto& [value, known_name] : kKindNames) {
    if (known_name == name) {
      return value;
    }
  }
  return std::nullopt;
}

void ConfigDocument::Check(const ConfigChange& change) const {
  ConfigDocument copy = *this;
  copy.Apply(change);
}

// All checks come before the first assignment, so that a rejected change leaves the document unchanged.
void ConfigDocument::Apply(const ConfigChange& change) {
  const std::string path = std::string(ConfigKindName(change.kind)) + "." + change.name;
  if (change.version != m_version + 1) {
    throw Error(ErrorCode::kConflict, path + " has version " + std::to_string(change.version) + " after version " +
                                          std::to_string(m_version) + "; fetch the changes in between first");
  }
  if (change.name.empty() || change.name.size() > kMaxNameLength ||
      change.name.find_first_of("/ \t\r\n\"") != std::string::npos) {
    throw Error(ErrorCode::kInvalidRequest, path + " needs a name of 1 to 128 characters without spaces or slashes");
  }
  if (!change.value.has_value()) {
    Erase(path, change);
    m_version = change.version;
    return;
  }
  const Json json = Json::parse(*change.value, nullptr, false);
  if (json.is_discarded()) {
    throw Error(ErrorCode::kInvalidRequest, path + " is not valid JSON; check quotes and commas");
  }
  EntryReader reader(path, json);
  switch (change.kind) {
    case ConfigKind::kWorkspace: {
      const WorkspaceConfig config = ReadWorkspace(&reader);
      reader.RejectUnknownKeys();
      m_workspaces[change.name] = config;
      break;
    }
    case ConfigKind::kProfile: {
      const ProfileConfig config = ReadProfile(&reader);
      reader.RejectUnknownKeys();
      m_profiles[change.name] = config;
      break;
    }
    case ConfigKind::kService: {
      const ServiceConfig config = ReadService(&reader);
      reader.RejectUnknownKeys();
      RequireEntry(reader, "profile", m_profiles, config.profile);
      m_services[change.name] = config;
      break;
    }
    case ConfigKind::kRoute: {
      const RouteConfig config = ReadRoute(&reader);
      reader.RejectUnknownKeys();
      RequireEntry(reader, "service", m_services, config.service);
      m_routes[change.name] = config;
      break;
    }
    case ConfigKind::kQueue: {
      const QueueConfig config = ReadQueue(&reader);
      reader.RejectUnknownKeys();
      RequireEntry(reader, "workspace", m_workspaces, config.workspace);
      RequireEntry(reader, "service", m_services, config.service);
      m_queues[change.name] = config;
      break;
    }
    case ConfigKind::kEndpoint: {
      const EndpointConfig config = ReadEndpoint(&reader);
      reader.RejectUnknownKeys();
      RequireEntry(reader, "service", m_services, config.service);
      m_endpoints[change.name] = config;
      break;
    }
    case ConfigKind::kZone: {
      const ZoneConfig config = ReadZone(&reader);
      reader.RejectUnknownKeys();
      m_zones[change.name] = config;
      break;
    }
    case ConfigKind::kKey: {
      const KeyConfig config = ReadKey(&reader);
      reader.RejectUnknownKeys();
      RequireEntry(reader, "workspace", m_workspaces, config.workspace);
      m_keys[change.name] = config;
      break;
    }
  }
  m_version = change.version;
}

void ConfigDocument::Erase(const std::string& path, const ConfigChange& change) {
  if (!EntryJson(change.kind, change.name).has_value()) {
    throw Error(ErrorCode::kInvalidRequest, path + " does not exist; list the entries to see their names");
  }
  switch (change.kind) {
    case ConfigKind::kWorkspace:
      RequireUnused(path, m_queues, &QueueConfig::workspace, change.name, "queue");
      RequireUnused(path, m_keys, &KeyConfig::workspace, change.name, "key");
      m_workspaces.erase(change.name);
      break;
    case ConfigKind::kProfile:
      RequireUnused(path, m_services, &ServiceConfig::profile, change.name, "service");
      m_profiles.erase(change.name);
      break;
    case ConfigKind::kService:
      RequireUnused(path, m_routes, &RouteConfig::service, change.name, "route");
      RequireUnused(path, m_queues, &QueueConfig::service, change.name, "queue");
      RequireUnused(path, m_endpoints, &EndpointConfig::service, change.name, "endpoint");
      m_services.erase(change.name);
      break;
    case ConfigKind::kRoute:
      m_routes.erase(change.name);
      break;
    case ConfigKind::kQueue:
      m_queues.erase(change.name);
      break;
    case ConfigKind::kEndpoint:
      m_endpoints.erase(change.name);
      break;
    case ConfigKind::kZone:
      m_zones.erase(change.name);
      break;
    case ConfigKind::kKey:
      m_keys.erase(change.name);
      break;
  }
}

std::optional<std::string> ConfigDocument::EntryJson(ConfigKind kind, const std::string& name) const {
  switch (kind) {
    case ConfigKind::kWorkspace:
      return FindJson(m_workspaces, name);
    case ConfigKind::kProfile:
      return FindJson(m_profiles, name);
    case ConfigKind::kService:
      return FindJson(m_services, name);
    case ConfigKind::kRoute:
      return FindJson(m_routes, name);
    case ConfigKind::kQueue:
      return FindJson(m_queues, name);
    case ConfigKind::kEndpoint:
      return FindJson(m_endpoints, name);
    case ConfigKind::kZone:
      return FindJson(m_zones, name);
    case ConfigKind::kKey:
      return FindJson(m_keys, name);
  }
  return std::nullopt;
}

std::string ConfigDocument::ToJson() const {
  return Json{{"version", m_version},
              {"workspace", ToJsonMap(m_workspaces)},
              {"profile", ToJsonMap(m_profiles)},
              {"service", ToJsonMap(m_services)},
              {"route", ToJsonMap(m_routes)},
              {"queue", ToJsonMap(m_queues)},
              {"endpoint", ToJsonMap(m_endpoints)},
              {"zone", ToJsonMap(m_zones)},
              {"key", ToJsonMap(m_keys)}}
      .dump();
}

// Applies each entry of the snapshot as a change, in an order in which every entry follows those that it refers to.
ConfigDocument ConfigDocument::FromJson(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("version") || !json["version"].is_number_integer()) {
    throw Error(ErrorCode::kInvalidRequest, "the configuration snapshot is not a JSON object with a version");
  }
  ConfigDocument document;
  for (ConfigKind kind : {ConfigKind::kWorkspace, ConfigKind::kProfile, ConfigKind::kService, ConfigKind::kRoute,
                          ConfigKind::kQueue, ConfigKind::kEndpoint, ConfigKind::kZone, ConfigKind::kKey}) {
    const auto it = json.find(std::string(ConfigKindName(kind)));
    if (it == json.end()) {
      continue;
    }
    for (const auto& [name, value] : it->items()) {
      document.Apply({document.m_version + 1, kind, name, value.dump()});
    }
  }
  document.m_version = json["version"].get<int64_t>();
  return document;
}

}  // namespace quetzalridge
