#include "state/sunset_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace quetzalridge {

namespace {

// Orders are placed this long in advance, since an endpoint needs minutes to start and to load the model weights.
constexpr int64_t kOrderLeadTimeMs = int64_t{20} * 60 * 1000;
// Factor on the demand that allows for forecast errors and for the slots that admission keeps free.
constexpr double kHeadroom = 1.2;
// Demand that falls and rises again within this time must not cause endpoints to be stopped and started again.
constexpr Duration kScaleDownDelay = Duration::Seconds(600);
// A zone gets no new orders for this long after a reclaim, or after the platform had no endpoints there.
constexpr Duration kBlockAfterReclaim = Duration::Seconds(900);
constexpr Duration kBlockAfterNoneAvailable = Duration::Seconds(120);

int ReplicasFor(double slots, int slots_per_replica) {
  return static_cast<int>(std::ceil(slots / std::max(slots_per_replica, 1) - 1e-9));
}

}  // namespace

CapacityPlan SunsetPlanner::Plan(const CapacityInput& input, TimePoint now) {
  const ReplicaNeed need = CurrentNeed(input, now);
  // Cheap endpoints serve only rollouts, so there may be no more of them than the rollouts need.
  int cheap = std::min(static_cast<int>(input.cheap_share_max * need.total), need.total - need.interactive);
  // No zone gets more than half of the cheap endpoints, so that a reclaim in one zone does not stop all of them.
  const std::vector<int> cheap_by_zone = SpreadOverZones(input, cheap, true, (cheap + 1) / 2, now);
  cheap = 0;
  for (const int count : cheap_by_zone) {
    cheap += count;
  }
  const std::vector<int> steady_by_zone =
      SpreadOverZones(input, need.total - cheap, false, std::numeric_limits<int>::max(), now);
  CapacityPlan plan;
  for (size_t i = 0; i < input.zones.size(); ++i) {
    plan.targets.push_back({input.zones[i].zone, steady_by_zone[i], cheap_by_zone[i]});
  }
  LimitSpending(input, need.interactive, &plan);
  plan.cost_per_hour = CostPerHour(input.zones, plan.targets);
  return plan;
}

// Returns the highest need of the last minutes, so that targets are lowered only after a delay.
SunsetPlanner::ReplicaNeed SunsetPlanner::CurrentNeed(const CapacityInput& input, TimePoint now) {
  m_forecast.Observe(input.wall_ms, input.interactive_demand);
  const double peak = m_forecast.PeakBetween(input.wall_ms, input.wall_ms + kOrderLeadTimeMs);
  const double interactive = std::max(input.interactive_demand, peak) * kHeadroom;
  ReplicaNeed need;
  need.at = now;
  need.interactive = std::min(ReplicasFor(interactive, input.slots_per_replica), input.max_replicas);
  need.total = ReplicasFor(interactive + input.rollout_demand, input.slots_per_replica);
  need.total = std::min(std::max(need.total, input.min_replicas), input.max_replicas);
  m_needs.push_back(need);
  while (now - m_needs.front().at > kScaleDownDelay) {
    m_needs.pop_front();
  }
  for (const ReplicaNeed& each : m_needs) {
    need.interactive = std::max(need.interactive, each.interactive);
    need.total = std::max(need.total, each.total);
  }
  return need;
}

// Distributes `count` endpoints evenly over the zones that accept orders. In a blocked zone, the target is at most the
// number of endpoints that run there already.
std::vector<int> SunsetPlanner::SpreadOverZones(const CapacityInput& input, int count, bool cheap, int max_per_zone,
                                                TimePoint now) const {
  std::vector<int> result(input.zones.size(), 0);
  std::vector<int> limit(input.zones.size(), max_per_zone);
  for (size_t i = 0; i < input.zones.size(); ++i) {
    const auto it = m_blocks.find(input.zones[i].zone);
    if (it != m_blocks.end() && now < (cheap ? it->second.cheap_until : it->second.steady_until)) {
      limit[i] = std::min(max_per_zone, cheap ? input.zones[i].cheap : input.zones[i].steady);
    }
  }
  while (count > 0) {
    int best = -1;
    for (size_t i = 0; i < result.size(); ++i) {
      if (result[i] < limit[i] && (best < 0 || result[i] < result[best])) {
        best = static_cast<int>(i);
      }
    }
    if (best < 0) {
      break;
    }
    ++result[best];
    --count;
  }
  return result;
}

// Removes orders from the plan until its cost is within the limit: first steady endpoints for rollouts, which cost the
// most for the same work, then cheap endpoints, and last the steady endpoints for interactive requests. Endpoints that
// run and are needed are kept, since the limit applies only to new orders.
void SunsetPlanner::LimitSpending(const CapacityInput& input, int interactive, CapacityPlan* plan) {
  while (CostPerHour(input.zones, plan->targets) > input.spend_limit_per_hour) {
    int steady = 0;
    for (const ZoneTarget& target : plan->targets) {
      steady += target.steady;
    }
    const bool refused = (steady > interactive && RefuseOneOrder(input, false, plan)) ||
                         RefuseOneOrder(input, true, plan) || RefuseOneOrder(input, false, plan);
    if (!refused) {
      return;
    }
    ++plan->refused_orders;
  }
}

// Lowers the highest target of a zone by one endpoint that does not run yet. Returns false if there is no such
// endpoint.
bool SunsetPlanner::RefuseOneOrder(const CapacityInput& input, bool cheap, CapacityPlan* plan) {
  int* highest = nullptr;
  for (size_t i = 0; i < input.zones.size(); ++i) {
    int* count = cheap ? &plan->targets[i].cheap : &plan->targets[i].steady;
    const int running = cheap ? input.zones[i].cheap : input.zones[i].steady;
    if (*count > running && (highest == nullptr || *count > *highest)) {
      highest = count;
    }
  }
  if (highest == nullptr) {
    return false;
  }
  --*highest;
  return true;
}

void SunsetPlanner::OnReclaim(const std::string& zone, TimePoint now) {
  m_blocks[zone].cheap_until = now + kBlockAfterReclaim;
}

void SunsetPlanner::OnNoneAvailable(const std::string& zone, bool cheap, TimePoint now) {
  OrderBlocks& blocks = m_blocks[zone];
  TimePoint& until = cheap ? blocks.cheap_until : blocks.steady_until;
  until = std::max(until, now + kBlockAfterNoneAvailable);
}

}  // namespace quetzalridge
