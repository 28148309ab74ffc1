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

// Guards against a model with fewer endpoints than its share, and against a model with endpoints in one zone only.
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

// Guards against loads that only exchange models between endpoints.
TEST_CASE("an endpoint keeps the model of which it has the most recent version") {
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

// Guards against times at which a model has no usable endpoint because all of its endpoints load, and against a load
// for each endpoint and version. Each model gets a new version every 4 s, a load takes 0.9 s, and jobs accept versions
// that are at most one older than the newest.
TEST_CASE("each model always has usable endpoints while new versions are loaded") {
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
          endpoint.loading_model.clear();
        }
      }
      it = loading.erase(it);
    }
    const auto assignment = AssignModels(endpoints, models);
    for (const ModelLoad& load : PlanLoads(endpoints, assignment, models, MaxConcurrentLoads(12, 0))) {
      ++loads;
      loading[load.endpoint] = {load, tick + kLoadTicks};
      for (PlacementEndpoint& endpoint : endpoints) {
        if (endpoint.id == load.endpoint) {
          endpoint.loading_model = load.model;
        }
      }
    }
    CHECK(loading.size() <= 2);
    for (const ModelTarget& model : models) {
      int serving = 0;
      for (const PlacementEndpoint& endpoint : endpoints) {
        serving += endpoint.loading_model.empty() && endpoint.versions.at(model.model) >= newest - 1 ? 1 : 0;
      }
      CHECK(serving >= 2);
    }
  }
  // If all endpoints loaded every version, there would be 6 loads for each model and version.
  CHECK(loads <= kVersions * 2 * 4);
}

// Guards against a model that has no usable endpoint for its next training step because loads for other models are
// always ordered first. Steps then started 2 s to 4 s late.
TEST_CASE("the model with the fewest endpoints for its next step is loaded first") {
  std::vector<PlacementEndpoint> endpoints = MakeEndpoints(8);
  for (size_t i = 0; i < endpoints.size(); ++i) {
    endpoints[i].versions = i < 4 ? std::map<std::string, int64_t>{{"m0", 4}, {"m1", 0}}
                                  : std::map<std::string, int64_t>{{"m0", 0}, {"m1", 2}};
  }
  const std::vector<ModelTarget> models = {{"m0", 5, 1}, {"m1", 5, 1}};
  const auto assignment = AssignModels(endpoints, models);
  const std::vector<ModelLoad> loads = PlanLoads(endpoints, assignment, models, 2);
  REQUIRE(loads.size() == 2);
  CHECK(loads[0].model == "m1");
  CHECK(loads[1].model == "m1");
  // No further load is ordered while the allowed number is in progress.
  endpoints[4].loading_model = "m1";
  endpoints[5].loading_model = "m1";
  CHECK(PlanLoads(endpoints, assignment, models, 2).empty());
}

// Guards against training steps without usable endpoints when not all loads fit into the time between two versions.
// Three trainers share 84 endpoints, of which 9 may load at once, as after large deployments have ordered more
// endpoints. Half of the endpoints for each version would be 42 loads every 4 s, and only 36 fit. When a step begins,
// its model must have its share of these, 12 endpoints, less the 3 that it may be loading.
TEST_CASE("each step finds endpoints when not all endpoints can load each version in time") {
  constexpr int kEndpoints = 84;
  constexpr int kModels = 3;
  constexpr int kTicksPerVersion = 40;
  constexpr int kLoadTicks = 10;
  std::vector<PlacementEndpoint> endpoints = MakeEndpoints(kEndpoints);
  for (PlacementEndpoint& endpoint : endpoints) {
    endpoint.versions = {{"m0", 1}, {"m1", 1}, {"m2", 1}};
  }
  std::map<std::string, std::pair<ModelLoad, int>> loading;
  for (int tick = 0; tick < 20 * kTicksPerVersion; ++tick) {
    std::vector<ModelTarget> models;
    for (int model = 0; model < kModels; ++model) {
      // The trainers announce their versions one after the other.
      const int64_t newest = 2 + (tick + kTicksPerVersion - model * 13) / kTicksPerVersion;
      models.push_back({"m" + std::to_string(model), newest, 1});
    }
    for (PlacementEndpoint& endpoint : endpoints) {
      const auto load = loading.find(endpoint.id);
      if (load != loading.end() && load->second.second <= tick) {
        endpoint.versions[load->second.first.model] = load->second.first.version;
        endpoint.loading_model.clear();
        loading.erase(load);
      }
    }
    for (int model = 0; model < kModels; ++model) {
      const bool step_begins = tick >= 3 * kTicksPerVersion && (tick - model * 13) % kTicksPerVersion == 0;
      int accepted = 0;
      for (const PlacementEndpoint& endpoint : endpoints) {
        const bool has_version = endpoint.versions.at(models[model].model) >= models[model].newest_version - 1;
        accepted += has_version && endpoint.loading_model != models[model].model ? 1 : 0;
      }
      INFO("tick " << tick << " model " << model);
      CHECK((!step_begins || accepted >= 9));
    }
    const auto assignment = AssignModels(endpoints, models);
    for (const ModelLoad& load : PlanLoads(endpoints, assignment, models, MaxConcurrentLoads(kEndpoints, 90))) {
      loading[load.endpoint] = {load, tick + kLoadTicks};
      for (PlacementEndpoint& endpoint : endpoints) {
        if (endpoint.id == load.endpoint) {
          endpoint.loading_model = load.model;
        }
      }
    }
    CHECK(loading.size() <= 9);
  }
}

}  // namespace
}  // namespace quetzalridge
