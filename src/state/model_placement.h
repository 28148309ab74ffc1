#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalridge {

// One model of a service, and the version that its endpoints should load.
struct ModelTarget {
  std::string model;
  int64_t newest_version = 0;
  // By how many versions the oldest version that jobs accept lags behind the newest one.
  int64_t version_lag = 0;
};

// An endpoint as seen by the placement of models.
struct PlacementEndpoint {
  std::string id;
  std::string zone;
  // Loaded version of each model.
  std::map<std::string, int64_t> versions;
  // The model that the endpoint is loading, or empty. No further load is ordered meanwhile.
  std::string loading_model;
};

// A load to order: the endpoint should load the version of the model.
struct ModelLoad {
  std::string endpoint;
  std::string model;
  int64_t version = 0;
};

// Returns the model whose newest versions each endpoint of a service loads, by endpoint id.
//
// Several trainers share the endpoints, and each announces a new version every few seconds. A load costs an endpoint
// about a second and its cache, so each endpoint loads versions of one model only. Each model gets the same number of
// endpoints, spread over the availability zones. An endpoint keeps the model of which it has the most recent versions.
std::map<std::string, std::string> AssignModels(const std::vector<PlacementEndpoint>& endpoints,
                                                const std::vector<ModelTarget>& models);

// Returns the loads to order now, the most urgent first, so that at most `max_concurrent_loads` are in progress.
//
// Only a few endpoints can load weights at a time, so each version reaches only part of its model's endpoints before
// the next version is announced. If jobs accept versions that lag behind, only half of the endpoints load each version,
// those with the oldest weights. When a training step begins, the other half has a version that the step accepts, and
// the two halves never load at once. The model with the fewest endpoints that its next job can use comes first.
std::vector<ModelLoad> PlanLoads(const std::vector<PlacementEndpoint>& endpoints,
                                 const std::map<std::string, std::string>& assignment,
                                 const std::vector<ModelTarget>& models, int max_concurrent_loads);

// Returns how many endpoints of a service may load weights at once without slowing each other down. `max_endpoints` is
// the number to which the operator lets the service grow, or 0 if the number is fixed.
int MaxConcurrentLoads(int endpoint_count, int max_endpoints);

}  // namespace quetzalridge
