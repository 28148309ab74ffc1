#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// What may be repeated on a route, and how its requests run.
enum class RouteKind {
  kIdempotent,
  kNonIdempotent,
  kStream,
  kBatch,
};

std::string_view RouteKindName(RouteKind kind);

struct ServiceShare {
  std::string service;
  int weight = 1;
};

// Requests of one host whose path begins with `prefix`.
struct ServiceRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<ServiceShare> services;
  // The longest time that a caller waits; 0 sets no limit.
  Duration timeout;
  Duration target_latency;
  // 0 is the highest.
  int priority = 0;
  // Endpoints that one caller's attempt may run on.
  int max_attempts = 1;
  bool needs_key = true;
  // A stream may go on at another endpoint.
  bool resumable = false;
  // Batch routes: an item may be given up this long after the job was submitted.
  Duration max_queue;
  Duration result_deadline;
  // All text of a result must come from one version of the model.
  bool single_version = false;
};

// Bounds and prices of the endpoints of a service that can be ordered.
struct ServiceScaling {
  // Endpoints in each availability zone.
  int min = 0;
  int max = 0;
  // Of one endpoint and second, by availability zone.
  std::map<std::string, double> zone_prices;
};

// A kind of endpoint, as the operator configured it.
struct BackendService {
  std::string name;
  std::string health_path;
  // Connections that one endpoint accepts from all instances together.
  int max_connections = 0;
  // Requests that one model engine runs at once; 0 for plain services.
  int engine_slots = 0;
  std::vector<std::string> models;
  // Absent where the number of endpoints is fixed.
  std::optional<ServiceScaling> scaling;
};

struct WorkspaceKeys {
  std::string name;
  std::vector<std::string> keys;
};

struct CallerLimits {
  int64_t max_head_bytes = 16 << 10;
  int64_t max_body_bytes = 1 << 20;
  Duration idle_timeout = Duration::Seconds(15);
};

// One version of what the operator configured.
struct ServingConfig {
  int64_t version = 0;
  std::vector<ServiceRoute> routes;
  std::vector<BackendService> services;
  // Empty when no route needs a key.
  std::vector<WorkspaceKeys> workspaces;
  CallerLimits limits;
};

// The configuration in force, indexed for requests. Versions only grow.
class RouteTable {
 public:
  // False when the version is not newer than the one in force.
  bool Apply(ServingConfig config);
  bool known() const { return m_config.version > 0; }
  int64_t version() const { return m_config.version; }
  const ServingConfig& config() const { return m_config; }

  // The route of the host with the longest prefix that begins the path, or nullptr.
  const ServiceRoute* FindRoute(const std::string& host, std::string_view path) const;
  const ServiceRoute* FindRouteByName(const std::string& name) const;
  const BackendService* FindService(const std::string& name) const;
  // The workspace that holds the key, or nullptr.
  const std::string* FindWorkspace(const std::string& key) const;
  bool has_workspaces() const { return !m_config.workspaces.empty(); }

 private:
  ServingConfig m_config;
  // Routes by host, longest prefix first.
  std::map<std::string, std::vector<const ServiceRoute*>> m_routes;
  std::map<std::string, std::string> m_workspace_by_key;
};

// The service of a request, drawn by weight from the hash of its id, so that each repetition goes the same way.
const std::string& ChooseService(const ServiceRoute& route, uint64_t request_hash);

}  // namespace quetzalridge
