#include "state/serving_config.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>
#include <utility>

namespace quetzalridge {

namespace {

constexpr std::pair<RouteKind, std::string_view> kRouteKindNames[] = {
    {RouteKind::kIdempotent, "idempotent"},
    {RouteKind::kNonIdempotent, "non_idempotent"},
    {RouteKind::kStream, "stream"},
    {RouteKind::kBatch, "batch"},
};

}  // namespace

std::string_view RouteKindName(RouteKind kind) {
  for (const auto& [value, name] : kRouteKindNames) {
    if (value == kind) {
      return name;
    }
  }
  throw std::logic_error("unknown value of RouteKind; add it to kRouteKindNames");
}

bool RouteTable::Apply(ServingConfig config) {
  if (config.version <= m_config.version) {
    return false;
  }
  m_config = std::move(config);
  m_routes.clear();
  for (const ServiceRoute& route : m_config.routes) {
    m_routes[route.host].push_back(&route);
  }
  for (auto& [host, routes] : m_routes) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const ServiceRoute* a, const ServiceRoute* b) { return a->prefix.size() > b->prefix.size(); });
  }
  m_workspace_by_key.clear();
  m_home_regions.clear();
  for (const WorkspaceKeys& workspace : m_config.workspaces) {
    for (const std::string& key : workspace.keys) {
      m_workspace_by_key[key] = workspace.name;
    }
    if (workspace.home_regions.restricts()) {
      m_home_regions[workspace.name] = workspace.home_regions;
    }
  }
  return true;
}

template <typename Predicate>
const ServiceRoute* RouteTable::FindLongestPrefix(const std::string& host, std::string_view path,
                                                  const Predicate& accepts) const {
  const auto found = m_routes.find(host);
  if (found == m_routes.end()) {
    return nullptr;
  }
  const auto route = std::find_if(found->second.begin(), found->second.end(), [&](const ServiceRoute* candidate) {
    return path.substr(0, candidate->prefix.size()) == candidate->prefix && accepts(*candidate);
  });
  return route == found->second.end() ? nullptr : *route;
}

const ServiceRoute* RouteTable::FindRoute(const std::string& host, std::string_view path) const {
  return FindLongestPrefix(host, path, [](const ServiceRoute&) { return true; });
}

// A route of another kind that was added after the submission must not receive the items. A malformed route may be the
// job's own, of which the operator has written a faulty description: its items wait.
const ServiceRoute* RouteTable::FindBatchRoute(const std::string& host, std::string_view path) const {
  const ServiceRoute* route = FindLongestPrefix(host, path, [](const ServiceRoute& candidate) {
    return candidate.kind == RouteKind::kBatch || !candidate.malformed.empty();
  });
  return route == nullptr || !route->malformed.empty() ? nullptr : route;
}

const ServiceRoute* RouteTable::FindRouteByName(const std::string& name) const {
  const auto found = std::find_if(m_config.routes.begin(), m_config.routes.end(),
                                  [&name](const ServiceRoute& route) { return route.name == name; });
  return found == m_config.routes.end() ? nullptr : &*found;
}

const BackendService* RouteTable::FindService(const std::string& name) const {
  const auto found = std::find_if(m_config.services.begin(), m_config.services.end(),
                                  [&name](const BackendService& service) { return service.name == name; });
  return found == m_config.services.end() ? nullptr : &*found;
}

const std::string* RouteTable::FindWorkspace(const std::string& key) const {
  const auto found = m_workspace_by_key.find(key);
  return found == m_workspace_by_key.end() ? nullptr : &found->second;
}

HomeRegions RouteTable::HomeRegionsOf(const ServiceRoute& route, const std::string& workspace) const {
  const auto found = m_home_regions.find(workspace);
  return found == m_home_regions.end() ? route.home_regions : route.home_regions.And(found->second);
}

const std::string& ChooseService(const ServiceRoute& route, uint64_t request_hash) {
  if (route.services.empty()) {
    throw std::logic_error("route " + route.name + " has no service; the decoder must refuse such a route");
  }
  const int total = std::accumulate(route.services.begin(), route.services.end(), 0,
                                    [](int sum, const ServiceShare& share) { return sum + share.weight; });
  int draw = total > 0 ? static_cast<int>(request_hash % static_cast<uint64_t>(total)) : 0;
  for (const ServiceShare& share : route.services) {
    if (draw < share.weight) {
      return share.service;
    }
    draw -= share.weight;
  }
  return route.services.back().service;
}

}  // namespace quetzalridge
