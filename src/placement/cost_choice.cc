#include "placement/cost_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace quetzalridge {

namespace {

// Expected ends that differ by less count as equal. It is about the time of three events, which the noise of an
// endpoint changes by more.
constexpr double kEqualEndsMs = 150.0;
// A move must gain this time, and this fraction of the rest of the item. It covers a new connection, and an error of
// the measured speeds that does not matter otherwise.
constexpr double kMinMoveGainMs = 250.0;
constexpr double kMinMoveGainFraction = 0.2;

std::vector<ItemCandidate> WithoutCosts(const std::vector<CostCandidate>& candidates) {
  std::vector<ItemCandidate> result;
  result.reserve(candidates.size());
  for (const CostCandidate& candidate : candidates) {
    result.push_back(candidate.candidate);
  }
  return result;
}

double ExpectedEndMs(const CostCandidate& candidate, const ItemPlacement& placement, const ItemCosts& costs,
                     double events) {
  const bool is_cached = candidate.candidate.endpoint->entry.id == placement.preferred_endpoint;
  return (is_cached ? costs.ms_to_first_event_cached : costs.ms_to_first_event) + events * candidate.ms_per_event;
}

}  // namespace

double ExpectedRest(const LengthPrediction& prediction, int64_t event_count) {
  const auto produced = static_cast<double>(event_count);
  // The tail of a logarithmic distribution grows with its spread. With the spread of items of which nothing is known,
  // an item is expected to produce about as many more as it has.
  const double least = std::min(prediction.log_error, 1.0) * produced;
  return std::max(prediction.events - produced, std::max(least, 1.0));
}

const DirectoryEndpoint* ChooseByCost(const std::vector<CostCandidate>& candidates, const ItemPlacement& placement,
                                      const ItemCosts& costs, const std::string& own_zone) {
  if (!costs.length.usable) {
    return ChooseForItem(WithoutCosts(candidates), placement, own_zone);
  }
  double earliest = std::numeric_limits<double>::max();
  for (const CostCandidate& candidate : candidates) {
    if (CanTakeItem(candidate.candidate, placement)) {
      earliest = std::min(earliest, ExpectedEndMs(candidate, placement, costs, costs.length.events));
    }
  }
  const DirectoryEndpoint* best = nullptr;
  std::tuple<bool, double, bool, double, double, bool> best_rank;
  for (const CostCandidate& candidate : candidates) {
    if (!CanTakeItem(candidate.candidate, placement)) {
      continue;
    }
    const DirectoryEndpoint& endpoint = *candidate.candidate.endpoint;
    const int slots = std::max(endpoint.entry.slots, 1);
    const double later =
        std::floor((ExpectedEndMs(candidate, placement, costs, costs.length.events) - earliest) / kEqualEndsMs);
    const std::tuple<bool, double, bool, double, double, bool> rank{
        endpoint.entry.id == placement.avoided_endpoint,   later,
        endpoint.entry.id != placement.preferred_endpoint, candidate.remaining_ms / slots,
        static_cast<double>(endpoint.in_flight) / slots,   endpoint.entry.zone != own_zone};
    if (best == nullptr || rank < best_rank) {
      best = &endpoint;
      best_rank = rank;
    }
  }
  return best;
}

const DirectoryEndpoint* ChooseMoveByCost(const std::vector<CostCandidate>& candidates, const ItemPlacement& placement,
                                          const CostCandidate& current, const ItemCosts& costs, int64_t event_count) {
  if (!costs.length.usable) {
    return ChooseForMove(WithoutCosts(candidates), placement, current.candidate, event_count);
  }
  const double rest = ExpectedRest(costs.length, event_count);
  // The latest events show an endpoint that has become slow, and the mean shows that most disturbances are short.
  const double latest = current.candidate.ms_per_event;
  const double here_ms = rest * (latest > 0.0 ? std::sqrt(latest * current.ms_per_event) : current.ms_per_event);
  const double most = here_ms - std::max(kMinMoveGainMs, kMinMoveGainFraction * here_ms);
  const DirectoryEndpoint* best = nullptr;
  double best_ms = most;
  for (const CostCandidate& candidate : candidates) {
    const DirectoryEndpoint& endpoint = *candidate.candidate.endpoint;
    const double ms = ExpectedEndMs(candidate, placement, costs, rest);
    // A move would use up a request that a waiting item needs more.
    const bool limited = endpoint.is_limited();
    if (&endpoint != current.candidate.endpoint && !limited && ms < best_ms &&
        CanTakeItem(candidate.candidate, placement)) {
      best = &endpoint;
      best_ms = ms;
    }
  }
  return best;
}

}  // namespace quetzalridge
