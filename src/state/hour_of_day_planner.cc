#include "state/hour_of_day_planner.h"

#include <algorithm>
#include <cmath>

namespace quetzalridge {

namespace {

constexpr int64_t kHourMs = int64_t{3600} * 1000;

}  // namespace

CapacityPlan HourOfDayPlanner::Plan(const CapacityInput& input, TimePoint now) {
  const int64_t day = input.wall_ms / (kHours * kHourMs);
  Hour& hour = m_hours[(input.wall_ms / kHourMs) % kHours];
  if (hour.day != day) {
    hour.previous_day_demand = hour.demand;
    hour.demand = 0;
    hour.day = day;
  }
  hour.demand = std::max(hour.demand, input.interactive_demand);
  const double interactive = std::max(input.interactive_demand, hour.previous_day_demand);
  const double slots = std::max(input.slots_per_replica, 1);
  int total = static_cast<int>(std::ceil((interactive + input.rollout_demand) / slots));
  total = std::min(std::max(total, input.min_replicas), input.max_replicas);
  const int interactive_replicas = std::min(total, static_cast<int>(std::ceil(interactive / slots)));
  const int cheap = std::min(static_cast<int>(input.cheap_share_max * total), total - interactive_replicas);
  CapacityPlan plan;
  size_t cheapest = 0;
  for (size_t i = 0; i < input.zones.size(); ++i) {
    const int part = (total - cheap) / static_cast<int>(input.zones.size());
    const int rest = (total - cheap) % static_cast<int>(input.zones.size());
    plan.targets.push_back({input.zones[i].zone, part + (static_cast<int>(i) < rest ? 1 : 0), 0});
    if (input.zones[i].cheap_price_per_hour < input.zones[cheapest].cheap_price_per_hour) {
      cheapest = i;
    }
  }
  if (!plan.targets.empty()) {
    plan.targets[cheapest].cheap = cheap;
  }
  plan.cost_per_hour = CostPerHour(input.zones, plan.targets);
  return plan;
}

}  // namespace quetzalridge
