#include "state/model_placement.h"

#include <catch2/catch.hpp>
#include <set>

namespace quetzalridge {
namespace {

std::vector<PlacementEndpoint> MakeEndpoints(int count) {
  std::vector<PlacementEndpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    PlacementEndpoint endpoint;
    endpoint.id = "e" + std::to_string(100 + i);
    endpoint.zone = std::string(1, static_cast<char>('a' + i % 3));
    endpoint.versions = {{"m0", 1}, {"m1", 1}};
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

int CountOf(const std::map<std::string, std::string>& assignment, const std::string& model) {
  int count = 0;
  for (const auto& [endpoint, assigned] : assignment) {
    count += assigned == model ? 1 : 0;
  }
  return count;
}

// Guards against a model without its share, and against a model that lives in one zone.
TEST_CASE("models get equal shares of the endpoints in each zone") {
  const std::vector<PlacementEndpoint> endpoints = MakeEndpoints(12);
  const auto assignment = AssignModels(endpoints, {{"m0", 2, 1}, {"m1", 2, 1}});
  CHECK(CountOf(assignment, "m0") == 6);
  CHECK(CountOf(assignment, "m1") == 6);
  std::map<std::string, std::set<std::string>> zones;
  for (const PlacementEndpoint& endpoint : endpoints) {
    zones[assignment.at(endpoint.id)].insert(endpoint.zone);
  }
  CHECK(zones["m0"].size() == 3);
  CHECK(zones["m1"].size() == 3);
}

// Guards against loads that only move models around.
TEST_CASE("an endpoint keeps the model whose versions it holds") {
  std::vector<PlacementEndpoint> endpoints = MakeEndpoints(6);
  const std::vector<ModelTarget> models = {{"m0", 5, 1}, {"m1", 5, 1}};
  for (size_t i = 0; i < endpoints.size(); ++i) {
    endpoints[i].versions = i < 3 ? std::map<std::string, int64_t>{{"m0", 5}, {"m1", 1}}
                                  : std::map<std::string, int64_t>{{"m0", 1}, {"m1", 4}};
  }
  const auto assignment = AssignModels(endpoints, models);
  for (size_t i = 0; i < endpoints.size(); ++i) {
    CHECK(assignment.at(endpoints[i].id) == (i < 3 ? "m0" : "m1"));
  }
}

// Plays the trainers' load: each model's version grows every 4 s, a load takes 0.9 s, and jobs accept versions one
// older than the newest. Callers get endpoints at every moment, and loads stay below one for each endpoint and version.
TEST_CASE("some endpoints of each model serve at every moment while versions grow") {
  std::vector<PlacementEndpoint> endpoints = MakeEndpoints(12);
  std::map<std::string, std::pair<ModelLoad, int>> loading;
  int loads = 0;
  constexpr int kVersions = 20;
  constexpr int kTicksPerVersion = 40;
  constexpr int kLoadTicks = 9;
  for (int tick = 0; tick < kVersions * kTicksPerVersion; ++tick) {
    const int64_t newest = 2 + tick / kTicksPerVersion;
    const std::vector<ModelTarget> models = {{"m0", newest, 1}, {"m1", newest, 1}};
    for (auto it = loading.begin(); it != loading.end();) {
      if (it->second.second > tick) {
        ++it;
        continue;
      }
      for (PlacementEndpoint& endpoint : endpoints) {
        if (endpoint.id == it->first) {
          endpoint.versions[it->second.first.model] = it->second.first.version;
          endpoint.is_busy = false;
        }
      }
      it = loading.erase(it);
    }
    const auto assignment = AssignModels(endpoints, models);
    for (const ModelLoad& load : PlanLoads(endpoints, assignment, models, MaxLoading(12))) {
      ++loads;
      loading[load.endpoint] = {load, tick + kLoadTicks};
      for (PlacementEndpoint& endpoint : endpoints) {
        endpoint.is_busy = endpoint.is_busy || endpoint.id == load.endpoint;
      }
    }
    CHECK(loading.size() <= 2);
    for (const ModelTarget& model : models) {
      int serving = 0;
      for (const PlacementEndpoint& endpoint : endpoints) {
        serving += !endpoint.is_busy && endpoint.versions.at(model.model) >= newest - 1 ? 1 : 0;
      }
      CHECK(serving >= 2);
    }
  }
  // Loading every version everywhere would take 6 for each model and version.
  CHECK(loads <= kVersions * 2 * 4);
}

TEST_CASE("needed loads come before others, and no more than allowed run at once") {
  std::vector<PlacementEndpoint> endpoints = MakeEndpoints(4);
  for (size_t i = 0; i < endpoints.size(); ++i) {
    endpoints[i].versions = i < 2 ? std::map<std::string, int64_t>{{"m0", 4}, {"m1", 0}}
                                  : std::map<std::string, int64_t>{{"m0", 0}, {"m1", 2}};
  }
  const std::vector<ModelTarget> models = {{"m0", 5, 1}, {"m1", 5, 1}};
  const auto assignment = AssignModels(endpoints, models);
  const std::vector<ModelLoad> loads = PlanLoads(endpoints, assignment, models, 2);
  REQUIRE(loads.size() == 2);
  CHECK(loads[0].model == "m1");
  CHECK(loads[1].model == "m1");
}

}  // namespace
}  // namespace quetzalridge
