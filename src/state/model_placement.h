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
  int64_t lag = 0;
};

struct PlacementEndpoint {
  std::string id;
  std::string zone;
  std::map<std::string, int64_t> versions;
  // An order is under way; it gets no second one.
  bool is_busy = false;
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

// The loads to order now, the most urgent first, with at most `max_loading` under way together.
//
// An endpoint must load when the next job of its model accepts its version no more. Beyond that, endpoints load until
// half of them have the newest version, so that the other half's turn comes with the next version and never all of them
// load at once.
std::vector<ModelLoad> PlanLoads(const std::vector<PlacementEndpoint>& endpoints,
                                 const std::map<std::string, std::string>& assignment,
                                 const std::vector<ModelTarget>& models, int max_loading);

// How many endpoints of a service may load at once without slowing each other down.
int MaxLoading(int endpoint_count);

}  // namespace quetzalridge
