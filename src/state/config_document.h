#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

enum class ConfigKind {
  kWorkspace,
  kProfile,
  kService,
  kRoute,
  kQueue,
  kEndpoint,
  kZone,
  kKey,
};

std::string_view ConfigKindName(ConfigKind kind);
std::optional<ConfigKind> ParseConfigKind(std::string_view name);

struct WorkspaceConfig {
  // Relative weight of the workspace when capacity is short.
  double share = 1.0;
  int max_concurrent = 256;
};

// How the samples that hold up a group are handled.
enum class StragglerHandling {
  // A slow sample is cancelled and goes on elsewhere.
  kResume,
  // A slow sample runs on beside a copy that goes on elsewhere from its text; the first to finish is used.
  kSecondCopy,
  // As kResume, and all samples of a group start at once, also those beyond the needed ones.
  kSurplus,
};

std::string_view StragglerHandlingName(StragglerHandling handling);

struct ProfileConfig {
  // A sample's oldest weight version may be at most this many versions behind the newest.
  int64_t staleness_bound = 2;
  // Largest fraction of engine slots that rollouts may occupy.
  double rollout_share_max = 0.8;
  // Largest fraction of a service's work that may run on cheap endpoints.
  double cheap_share_max = 0.5;
  double spend_limit_per_hour = 100.0;
  int64_t objective_latency_ms = 1000;
  // Fraction of requests that meet the latency and succeed.
  double objective_target = 0.99;
  StragglerHandling stragglers = StragglerHandling::kResume;
  // A sample is slow when its tokens take longer than this multiple of the service's typical token time, and overdue
  // when it runs longer than this multiple of its group's median.
  double straggler_factor = 3.0;
};

enum class ServiceKind {
  kInference,
  kPlain,
};

struct ServiceConfig {
  ServiceKind kind = ServiceKind::kInference;
  std::string profile;
  int min_replicas = 1;
  int max_replicas = 16;
  // Requests that one replica serves at the same time.
  int slots_per_replica = 16;
  // Weight loads that may begin in one second: the service's part of the weight store's rate limit.
  double weight_loads_per_second = 4.0;
};

struct RouteConfig {
  std::string service;
  // Open routes need no key.
  bool open = false;
  bool idempotent = true;
};

struct QueueConfig {
  std::string workspace;
  std::string service;
};

struct EndpointConfig {
  std::string service;
  std::string address;
  std::string zone;
  bool cheap = false;
  bool checks_fencing = true;
};

struct ZoneConfig {
  bool checks_fencing = true;
  double steady_price_per_hour = 1.0;
  double cheap_price_per_hour = 0.3;
};

struct KeyConfig {
  std::string workspace;
  std::string label;
};

// One accepted change. Versions are consecutive, from 1.
struct ConfigChange {
  int64_t version = 0;
  ConfigKind kind = ConfigKind::kWorkspace;
  // A name; for keys the SHA-256 digest of the secret.
  std::string name;
  // A JSON object; absent deletes the entry.
  std::optional<std::string> value;
};

// The configuration that all instances share, as of one version.
class ConfigDocument {
 public:
  // Applies the change with the next version. Throws Error(kInvalidRequest) and leaves the document as it was when the
  // value is malformed, has an unknown key or a value out of range, or refers to an entry that does not exist.
  void Apply(const ConfigChange& change);
  // The same checks without the effect.
  void Check(const ConfigChange& change) const;

  int64_t version() const { return m_version; }
  const std::map<std::string, WorkspaceConfig>& workspaces() const { return m_workspaces; }
  const std::map<std::string, ProfileConfig>& profiles() const { return m_profiles; }
  const std::map<std::string, ServiceConfig>& services() const { return m_services; }
  const std::map<std::string, RouteConfig>& routes() const { return m_routes; }
  const std::map<std::string, QueueConfig>& queues() const { return m_queues; }
  const std::map<std::string, EndpointConfig>& endpoints() const { return m_endpoints; }
  const std::map<std::string, ZoneConfig>& zones() const { return m_zones; }
  const std::map<std::string, KeyConfig>& keys() const { return m_keys; }

  // The whole document as JSON, and back. Throws Error(kInvalidRequest) on malformed input.
  std::string ToJson() const;
  static ConfigDocument FromJson(const std::string& json);
  // One entry as JSON, or nothing when it does not exist.
  std::optional<std::string> EntryJson(ConfigKind kind, const std::string& name) const;

 private:
  void Erase(const std::string& path, const ConfigChange& change);

  int64_t m_version = 0;
  std::map<std::string, WorkspaceConfig> m_workspaces;
  std::map<std::string, ProfileConfig> m_profiles;
  std::map<std::string, ServiceConfig> m_services;
  std::map<std::string, RouteConfig> m_routes;
  std::map<std::string, QueueConfig> m_queues;
  std::map<std::string, EndpointConfig> m_endpoints;
  std::map<std::string, ZoneConfig> m_zones;
  std::map<std::string, KeyConfig> m_keys;
};

}  // namespace quetzalridge
