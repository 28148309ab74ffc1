#include "state/endpoint_choice.h"

#include <algorithm>
#include <tuple>

namespace quetzalridge {

namespace {

double LoadOf(const DirectoryEndpoint& endpoint) {
  return static_cast<double>(endpoint.in_flight) / std::max(endpoint.entry.slots, 1);
}

}  // namespace

const DirectoryEndpoint* ChooseForRequest(const std::vector<const DirectoryEndpoint*>& candidates,
                                          const std::string& own_zone, const std::set<std::string>& tried,
                                          Random* random) {
  const DirectoryEndpoint* best = nullptr;
  std::tuple<bool, double, bool, uint64_t> best_rank;
  for (const DirectoryEndpoint* candidate : candidates) {
    const std::tuple<bool, double, bool, uint64_t> rank{tried.count(candidate->entry.id) > 0, LoadOf(*candidate),
                                                        candidate->entry.zone != own_zone, random->Next()};
    if (best == nullptr || rank < best_rank) {
      best = candidate;
      best_rank = rank;
    }
  }
  return best;
}

const DirectoryEndpoint* ChooseForItem(const std::vector<const DirectoryEndpoint*>& candidates,
                                       const ItemPlacement& placement, const std::string& own_zone) {
  const DirectoryEndpoint* best = nullptr;
  std::tuple<bool, bool, double, bool> best_rank;
  for (const DirectoryEndpoint* candidate : candidates) {
    const EndpointEntry& entry = candidate->entry;
    if (candidate->in_flight >= entry.slots) {
      continue;
    }
    const auto version = entry.model_versions.find(placement.model);
    if (version == entry.model_versions.end() || version->second < placement.oldest_version) {
      continue;
    }
    const std::tuple<bool, bool, double, bool> rank{entry.id == placement.avoided, entry.id != placement.preferred,
                                                    LoadOf(*candidate), entry.zone != own_zone};
    if (best == nullptr || rank < best_rank) {
      best = candidate;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace quetzalridge
