#include "state/endpoint_choice.h"

#include <algorithm>
#include <tuple>

namespace quetzalridge {

namespace {

// An endpoint is slow when its time per event exceeds that of the fastest endpoint by this factor. Healthy endpoints of
// one type differ by less.
constexpr double kSlowRatio = 1.2;
// Moving an item costs a few dozen milliseconds: the new endpoint has to process the text so far, over a new
// connection.
constexpr double kMinMoveGainMs = 250.0;

double LoadOf(const DirectoryEndpoint& endpoint) {
  return static_cast<double>(endpoint.in_flight) / std::max(endpoint.entry.slots, 1);
}

// Returns the smallest time per event among the candidates whose speed is known, or 0 if no speed is known.
double FastestMsPerEvent(const std::vector<ItemCandidate>& candidates) {
  double fastest = 0.0;
  for (const ItemCandidate& candidate : candidates) {
    if (candidate.ms_per_event > 0.0 && (fastest == 0.0 || candidate.ms_per_event < fastest)) {
      fastest = candidate.ms_per_event;
    }
  }
  return fastest;
}

}  // namespace

// An endpoint that has not responded for a while may have set a rate limit or have stopped, so it gets one item until
// it responds.
bool CanTakeItem(const ItemCandidate& candidate, const ItemPlacement& placement) {
  const EndpointEntry& entry = candidate.endpoint->entry;
  if (candidate.endpoint->in_flight > 0 && !candidate.responded_lately) {
    return false;
  }
  if (placement.software_version.has_value() && *placement.software_version != entry.software_version) {
    return false;
  }
  const auto version = entry.model_versions.find(placement.model);
  return candidate.endpoint->in_flight < entry.slots && version != entry.model_versions.end() &&
         version->second >= placement.oldest_version;
}

// This order suits short requests that use a few percent of the slots. In that case the main cost of a bad choice is a
// request that crosses zones, and only a slow or stuck endpoint holds requests for long, which the in-flight count
// shows.
const DirectoryEndpoint* ChooseForRequest(const std::vector<const DirectoryEndpoint*>& candidates,
                                          const std::string& own_zone, const std::set<std::string>& tried,
                                          Random* random) {
  const DirectoryEndpoint* best = nullptr;
  std::tuple<bool, bool, double, bool, uint64_t> best_rank;
  for (const DirectoryEndpoint* candidate : candidates) {
    const std::tuple<bool, bool, double, bool, uint64_t> rank{tried.count(candidate->entry.id) > 0,
                                                              candidate->is_cold(), LoadOf(*candidate),
                                                              candidate->entry.zone != own_zone, random->Next()};
    if (best == nullptr || rank < best_rank) {
      best = candidate;
      best_rank = rank;
    }
  }
  return best;
}

// A job sends as many items at once as its model has slots, and the last long item decides when the step ends. Waiting
// here and not at a full endpoint leaves the choice open until a slot is free. Items start in the order of their
// estimated length, so the long ones get the fast endpoints.
const DirectoryEndpoint* ChooseForItem(const std::vector<ItemCandidate>& candidates, const ItemPlacement& placement,
                                       const std::string& own_zone) {
  const double fastest = FastestMsPerEvent(candidates);
  const DirectoryEndpoint* best = nullptr;
  std::tuple<bool, bool, bool, double, bool> best_rank;
  for (const ItemCandidate& candidate : candidates) {
    if (!CanTakeItem(candidate, placement)) {
      continue;
    }
    const EndpointEntry& entry = candidate.endpoint->entry;
    const std::tuple<bool, bool, bool, double, bool> rank{
        entry.id == placement.avoided_endpoint, candidate.ms_per_event > fastest * kSlowRatio,
        entry.id != placement.preferred_endpoint, LoadOf(*candidate.endpoint), entry.zone != own_zone};
    if (best == nullptr || rank < best_rank) {
      best = candidate.endpoint;
      best_rank = rank;
    }
  }
  return best;
}

// A third of the endpoints is 1.3 times slower than the others, and sometimes a few are several times slower. Lengths
// are heavy-tailed, so an item that has produced many events is expected to produce about as many more.
const DirectoryEndpoint* ChooseForMove(const std::vector<ItemCandidate>& candidates, const ItemPlacement& placement,
                                       const ItemCandidate& current, int64_t event_count) {
  if (current.ms_per_event <= 0.0) {
    return nullptr;
  }
  const ItemCandidate* best = nullptr;
  for (const ItemCandidate& candidate : candidates) {
    const bool known = candidate.ms_per_event > 0.0 && candidate.endpoint != current.endpoint;
    // A move would use up a request that a waiting item needs more.
    const bool limited = candidate.endpoint->is_limited();
    if (known && !limited && CanTakeItem(candidate, placement) &&
        (best == nullptr || candidate.ms_per_event < best->ms_per_event)) {
      best = &candidate;
    }
  }
  if (best == nullptr || current.ms_per_event < best->ms_per_event * kSlowRatio) {
    return nullptr;
  }
  const double gain_ms = static_cast<double>(event_count) * (current.ms_per_event - best->ms_per_event);
  return gain_ms >= kMinMoveGainMs ? best->endpoint : nullptr;
}

}  // namespace quetzalridge
