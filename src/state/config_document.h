#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

// The kinds of entries in the configuration.
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

// The name of a kind in JSON and in paths of entries. ParseConfigKind returns nothing for an unknown name.
std::string_view ConfigKindName(ConfigKind kind);
std::optional<ConfigKind> ParseConfigKind(std::string_view name);

// A workspace is a customer.
struct WorkspaceConfig {
  // Relative weight of the workspace when capacity is short.
  double share = 1.0;
  // Limit of the requests of the workspace that run at the same time, over all instances.
  int max_concurrent = 256;
};

// What to do with slow samples, which delay the end of their rollout group.
enum class StragglerHandling {
  // Cancel the slow sample and continue it on another endpoint.
  kResume,
  // Let the slow sample run on, and start a copy on another endpoint that continues from the text generated so far. The
  // one that finishes first is used.
  kSecondCopy,
  // Like kResume. Also, all samples of a group start at once, including those beyond the number that is needed.
  kSurplus,
};

std::string_view StragglerHandlingName(StragglerHandling handling);

// Limits and objectives for the services that refer to the profile.
struct ProfileConfig {
  // The oldest weight version that a sample was generated with may be at most this many versions older than the newest.
  int64_t staleness_bound = 2;
  // Largest fraction of the engine slots of a service that rollouts may occupy.
  double rollout_share_max = 0.8;
  // Largest fraction of a service's work that may run on cheap endpoints.
  double cheap_share_max = 0.5;
  double spend_limit_per_hour = 100.0;
  int64_t objective_latency_ms = 1000;
  // Fraction of the requests that should succeed within objective_latency_ms.
  double objective_target = 0.99;
  StragglerHandling stragglers = StragglerHandling::kResume;
  // A sample is slow when its time for each token exceeds this multiple of the service's typical one. A sample is
  // overdue when it runs for longer than this multiple of the median of its group.
  double straggler_factor = 3.0;
};

enum class ServiceKind {
  // The endpoints are model engines.
  kInference,
  // The endpoints are plain HTTP services.
  kPlain,
};

struct ServiceConfig {
  ServiceKind kind = ServiceKind::kInference;
  std::string profile;
  int min_replicas = 1;
  int max_replicas = 16;
  // Requests that one replica serves at the same time.
  int slots_per_replica = 16;
  // Number of endpoints that may start loading weights in one second: the service's part of the rate limit of the
  // weight store.
  double weight_loads_per_second = 4.0;
};

struct RouteConfig {
  std::string service;
  // Requests on open routes need no API key.
  bool open = false;
  bool idempotent = true;
};

struct QueueConfig {
  std::string workspace;
  std::string service;
};

// A back end that is configured by hand. Other endpoints come from the platform's list of instances.
struct EndpointConfig {
  std::string service;
  std::string address;
  std::string zone;
  // Costs less than a steady endpoint, but can be withdrawn within seconds.
  bool cheap = false;
  bool checks_fencing = true;
};

struct ZoneConfig {
  bool checks_fencing = true;
  double steady_price_per_hour = 1.0;
  double cheap_price_per_hour = 0.3;
};

// An API key of a workspace.
struct KeyConfig {
  std::string workspace;
  std::string label;
};

// A change of one entry. The versions of accepted changes are consecutive and start at 1.
struct ConfigChange {
  int64_t version = 0;
  ConfigKind kind = ConfigKind::kWorkspace;
  // The name of the entry. For an API key, the SHA-256 digest of its secret.
  std::string name;
  // The new entry as a JSON object. Without a value, the entry is deleted.
  std::optional<std::string> value;
};

// One version of the configuration that all instances share.
class ConfigDocument {
 public:
  // Applies a change, which must have the next version. Throws Error and leaves the document unchanged if the change
  // cannot be applied: kConflict for another version, otherwise kInvalidRequest, when the value is malformed, has an
  // unknown key or a value out of range, or refers to an entry that does not exist, or when the change deletes an entry
  // that does not exist or that another entry refers to.
  void Apply(const ConfigChange& change);
  // Makes the same checks as Apply without applying the change.
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

  // Convert the whole document to JSON, and back. FromJson throws Error(kInvalidRequest) on malformed input.
  std::string ToJson() const;
  static ConfigDocument FromJson(const std::string& json);
  // Returns one entry as JSON, or nothing when it does not exist.
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
