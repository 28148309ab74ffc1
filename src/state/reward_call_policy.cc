#include "state/reward_call_policy.h"

#include <algorithm>
#include <climits>
#include <numeric>
#include <tuple>

namespace quetzalridge {

namespace {

// An instance with a small share of the slots still makes progress beside a call that has stalled.
constexpr int kMinInFlight = 2;

std::vector<size_t> Indices(size_t count) {
  std::vector<size_t> indices(count);
  std::iota(indices.begin(), indices.end(), size_t{0});
  return indices;
}

// Calls of steps that the trainer has finished come last: their groups may still be used in its next step.
std::tuple<bool, bool, int, int, TimePoint> RankOf(const WaitingRewardCall& call) {
  const bool completes_step = call.missing_groups == 1 && call.unfinished_in_group == 1;
  return {call.missing_groups == 0, !completes_step, call.unfinished_in_group, call.missing_groups, call.ready_at};
}

}  // namespace

// The items of a step become complete in a burst near its end, while the service that scores them also serves
// interactive requests of about the same size. A trainer earns nothing from a single scored item, only from whole
// groups, so a limited number of calls is spent on the groups that are nearly complete.
std::vector<size_t> StepFirstRewardCallPolicy::Order(const std::vector<WaitingRewardCall>& calls) const {
  std::vector<size_t> order = Indices(calls.size());
  std::stable_sort(order.begin(), order.end(),
                   [&calls](size_t a, size_t b) { return RankOf(calls[a]) < RankOf(calls[b]); });
  return order;
}

// Each instance sees only its own requests, so the slots are divided among the instances that send calls, and one slot
// of each endpoint is left to interactive requests.
RewardCallLimits StepFirstRewardCallPolicy::Limits(const std::vector<const DirectoryEndpoint*>& endpoints,
                                                   int instances) const {
  const int slots = std::accumulate(
      endpoints.begin(), endpoints.end(), 0,
      [](int sum, const DirectoryEndpoint* endpoint) { return sum + std::max(endpoint->entry.slots - 1, 0); });
  const int divisor = std::max(instances, 1);
  RewardCallLimits limits;
  limits.in_flight = std::max((slots + divisor - 1) / divisor, kMinInFlight);
  limits.retries = std::max(limits.in_flight / 2, 1);
  return limits;
}

bool StepFirstRewardCallPolicy::CanTake(const DirectoryEndpoint& endpoint) const {
  return endpoint.in_flight < std::max(endpoint.entry.slots - 1, 1);
}

std::vector<size_t> ImmediateRewardCallPolicy::Order(const std::vector<WaitingRewardCall>& calls) const {
  return Indices(calls.size());
}

RewardCallLimits ImmediateRewardCallPolicy::Limits(const std::vector<const DirectoryEndpoint*>&, int) const {
  return {INT_MAX, INT_MAX};
}

bool ImmediateRewardCallPolicy::CanTake(const DirectoryEndpoint&) const {
  return true;
}

}  // namespace quetzalridge
