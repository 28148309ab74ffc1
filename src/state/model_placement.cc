#include "state/model_placement.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace quetzalridge {

namespace {

// The weight store of the users' deployments serves 2 of 11 or 12, and 9 of 44 or 45 endpoints without delay.
constexpr double kLoadingShare = 0.2;
constexpr int kMinLoading = 2;

int64_t VersionOf(const PlacementEndpoint& endpoint, const std::string& model) {
  const auto found = endpoint.versions.find(model);
  return found == endpoint.versions.end() ? 0 : found->second;
}

// The model that the endpoint is closest to, if there is one.
std::optional<size_t> HeldModel(const PlacementEndpoint& endpoint, const std::vector<ModelTarget>& models) {
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
    const std::optional<size_t> held = HeldModel(*endpoint, models);
    if (held.has_value() && counts[*held] < largest_share) {
      assignment[endpoint->id] = models[*held].model;
      ++counts[*held];
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
                                 const std::vector<ModelTarget>& models, int max_loading) {
  struct Candidate {
    const PlacementEndpoint* endpoint;
    const ModelTarget* target;
    bool is_needed;
    int64_t version;
  };
  std::vector<Candidate> candidates;
  int loading = 0;
  for (const PlacementEndpoint& endpoint : endpoints) {
    loading += endpoint.is_busy ? 1 : 0;
  }
  for (const ModelTarget& target : models) {
    std::vector<Candidate> behind;
    int assigned = 0;
    int newest = 0;
    for (const PlacementEndpoint& endpoint : endpoints) {
      const auto model = assignment.find(endpoint.id);
      if (model == assignment.end() || model->second != target.model) {
        continue;
      }
      ++assigned;
      const int64_t version = VersionOf(endpoint, target.model);
      if (version >= target.newest_version || endpoint.is_busy) {
        ++newest;
      } else {
        behind.push_back({&endpoint, &target, version < target.newest_version - target.lag, version});
      }
    }
    std::stable_sort(behind.begin(), behind.end(),
                     [](const Candidate& a, const Candidate& b) { return a.version < b.version; });
    for (const Candidate& candidate : behind) {
      if (candidate.is_needed || newest < (assigned + 1) / 2) {
        candidates.push_back(candidate);
        ++newest;
      }
    }
  }
  // Needed loads first; among them those of the model that is furthest behind.
  std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    const int64_t gap_a = a.target->newest_version - a.version;
    const int64_t gap_b = b.target->newest_version - b.version;
    return std::make_tuple(!a.is_needed, -gap_a) < std::make_tuple(!b.is_needed, -gap_b);
  });
  std::vector<ModelLoad> loads;
  for (const Candidate& candidate : candidates) {
    if (loading >= max_loading) {
      break;
    }
    ++loading;
    loads.push_back({candidate.endpoint->id, candidate.target->model, candidate.target->newest_version});
  }
  return loads;
}

int MaxLoading(int endpoint_count) {
  return std::max(kMinLoading, static_cast<int>(std::lround(endpoint_count * kLoadingShare)));
}

}  // namespace quetzalridge
