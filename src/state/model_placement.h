#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalridge {

// One model of a service.
struct ModelTarget {
  std::string model;
  int64_t newest_version = 0;
  // By how much the versions that jobs accept lag behind the newest one.
  int64_t version_lag = 0;
};

struct PlacementEndpoint {
  std::string id;
  std::string zone;
  std::map<std::string, int64_t> versions;
  // The model of the order under way, or empty; it gets no second one meanwhile.
  std::string loading_model;
};

struct ModelLoad {
  std::string endpoint;
  std::string model;
  int64_t version = 0;
};

// Which model each endpoint of a service keeps up to date, by endpoint id.
//
// The load it answers: several trainers share the endpoints, and each names a version every few seconds. A load costs
// an endpoint about a second and its cache, so an endpoint follows one model only. Each model gets the same number of
// endpoints, spread over the availability zones. An endpoint keeps the model whose versions it holds.
std::map<std::string, std::string> AssignModels(const std::vector<PlacementEndpoint>& endpoints,
                                                const std::vector<ModelTarget>& models);

// The loads to order now, the most urgent first, with at most `max_concurrent_loads` under way together.
//
// The load it answers: weights are loaded a few endpoints at a time, so each version reaches only a part of its model's
// endpoints before the next one is named. Where jobs accept versions that lag behind, half of the endpoints load each
// version, the ones with the oldest weights: when a step begins, the other half has a version that it accepts, and both
// halves never load at once. The model with the fewest endpoints that its next job accepts comes first.
std::vector<ModelLoad> PlanLoads(const std::vector<PlacementEndpoint>& endpoints,
                                 const std::map<std::string, std::string>& assignment,
                                 const std::vector<ModelTarget>& models, int max_concurrent_loads);

// How many endpoints of a service may load at once without slowing each other down. `max_endpoints` is what the
// operator lets the service grow to, or 0 where the number is fixed.
int MaxConcurrentLoads(int endpoint_count, int max_endpoints);

}  // namespace quetzalridge
