#include "state/model_placement.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace quetzalridge {

namespace {

// The weight store in the users' deployments serves 2 of 11 or 12 endpoints, and 9 of 44 or 45 endpoints, without
// delay. These services may grow to twice as many endpoints, and the weight store does not grow with them, so its share
// of the largest number of endpoints is half as large.
constexpr double kLoadingShareOfCurrentEndpoints = 0.2;
constexpr double kLoadingShareOfMaxEndpoints = 0.1;
constexpr int kMinConcurrentLoads = 2;
// Number of loads that fit one after the other into the time between two versions: trainers announce a version about
// every 4 s, and a load takes about 1 s.
constexpr int kLoadRoundsPerVersion = 4;

int64_t VersionOf(const PlacementEndpoint& endpoint, const std::string& model) {
  const auto found = endpoint.versions.find(model);
  return found == endpoint.versions.end() ? 0 : found->second;
}

// The model of which the endpoint's version is closest to the newest one; nothing if several are equally close.
std::optional<size_t> ClosestModel(const PlacementEndpoint& endpoint, const std::vector<ModelTarget>& models) {
  std::optional<size_t> best;
  int64_t best_gap = 0;
  bool tied = false;
  for (size_t i = 0; i < models.size(); ++i) {
    const int64_t gap = models[i].newest_version - VersionOf(endpoint, models[i].model);
    if (!best.has_value() || gap < best_gap) {
      best = i;
      best_gap = gap;
      tied = false;
    } else if (gap == best_gap) {
      tied = true;
    }
  }
  return tied ? std::nullopt : best;
}

// The loads that one model needs to bring its newest version to enough endpoints.
struct LoadPlan {
  const ModelTarget* target = nullptr;
  // Endpoints without the newest version that are not loading anything, the oldest version first.
  std::vector<const PlacementEndpoint*> outdated;
  // Number of endpoints whose version the next job accepts, now or after their current load.
  int usable = 0;
  // Number of further loads.
  int loads_needed = 0;
};

LoadPlan PlanModel(const std::vector<PlacementEndpoint>& endpoints,
                   const std::map<std::string, std::string>& assignment, const ModelTarget& target,
                   int loads_per_version) {
  LoadPlan plan;
  plan.target = &target;
  int assigned = 0;
  int with_newest_version = 0;
  for (const PlacementEndpoint& endpoint : endpoints) {
    const auto model = assignment.find(endpoint.id);
    if (model == assignment.end() || model->second != target.model) {
      continue;
    }
    ++assigned;
    const int64_t version = VersionOf(endpoint, target.model);
    const bool has_newest = version >= target.newest_version || endpoint.loading_model == target.model;
    with_newest_version += has_newest ? 1 : 0;
    plan.usable += has_newest || version >= target.newest_version - target.version_lag ? 1 : 0;
    if (!has_newest && endpoint.loading_model.empty()) {
      plan.outdated.push_back(&endpoint);
    }
  }
  std::stable_sort(plan.outdated.begin(), plan.outdated.end(),
                   [&target](const PlacementEndpoint* a, const PlacementEndpoint* b) {
                     return VersionOf(*a, target.model) < VersionOf(*b, target.model);
                   });
  const int endpoints_to_update = target.version_lag > 0 ? (assigned + 1) / 2 : assigned;
  plan.loads_needed = std::min(endpoints_to_update, loads_per_version) - with_newest_version;
  return plan;
}

}  // namespace

std::map<std::string, std::string> AssignModels(const std::vector<PlacementEndpoint>& endpoints,
                                                const std::vector<ModelTarget>& models) {
  std::map<std::string, std::string> assignment;
  if (models.empty()) {
    return assignment;
  }
  std::vector<const PlacementEndpoint*> order;
  order.reserve(endpoints.size());
  for (const PlacementEndpoint& endpoint : endpoints) {
    order.push_back(&endpoint);
  }
  std::sort(order.begin(), order.end(), [](const PlacementEndpoint* a, const PlacementEndpoint* b) {
    return std::tie(a->zone, a->id) < std::tie(b->zone, b->id);
  });
  const size_t share = order.size() / models.size();
  const size_t largest_share = share + (order.size() % models.size() == 0 ? 0 : 1);
  std::vector<size_t> counts(models.size(), 0);
  for (const PlacementEndpoint* endpoint : order) {
    const std::optional<size_t> closest = ClosestModel(*endpoint, models);
    if (closest.has_value() && counts[*closest] < largest_share) {
      assignment[endpoint->id] = models[*closest].model;
      ++counts[*closest];
    }
  }
  for (const PlacementEndpoint* endpoint : order) {
    if (assignment.count(endpoint->id) > 0) {
      continue;
    }
    const size_t least = static_cast<size_t>(std::min_element(counts.begin(), counts.end()) - counts.begin());
    assignment[endpoint->id] = models[least].model;
    ++counts[least];
  }
  return assignment;
}

std::vector<ModelLoad> PlanLoads(const std::vector<PlacementEndpoint>& endpoints,
                                 const std::map<std::string, std::string>& assignment,
                                 const std::vector<ModelTarget>& models, int max_concurrent_loads) {
  const int loads_per_version =
      std::max(1, max_concurrent_loads * kLoadRoundsPerVersion / std::max(static_cast<int>(models.size()), 1));
  std::vector<LoadPlan> plans;
  plans.reserve(models.size());
  for (const ModelTarget& target : models) {
    plans.push_back(PlanModel(endpoints, assignment, target, loads_per_version));
  }
  int loading =
      static_cast<int>(std::count_if(endpoints.begin(), endpoints.end(), [](const PlacementEndpoint& endpoint) {
        return !endpoint.loading_model.empty();
      }));
  std::vector<ModelLoad> loads;
  while (loading < max_concurrent_loads) {
    LoadPlan* next = nullptr;
    for (LoadPlan& plan : plans) {
      if (plan.loads_needed > 0 && !plan.outdated.empty() && (next == nullptr || plan.usable < next->usable)) {
        next = &plan;
      }
    }
    if (next == nullptr) {
      break;
    }
    loads.push_back({next->outdated.front()->id, next->target->model, next->target->newest_version});
    next->outdated.erase(next->outdated.begin());
    --next->loads_needed;
    ++next->usable;
    ++loading;
  }
  return loads;
}

int MaxConcurrentLoads(int endpoint_count, int max_endpoints) {
  const double concurrent_loads = max_endpoints > 0 ? max_endpoints * kLoadingShareOfMaxEndpoints
                                                    : endpoint_count * kLoadingShareOfCurrentEndpoints;
  return std::max(kMinConcurrentLoads, static_cast<int>(std::lround(concurrent_loads)));
}

}  // namespace quetzalridge
