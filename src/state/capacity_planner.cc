#include "state/capacity_planner.h"

namespace quetzalridge {

double CostPerHour(const std::vector<ZoneSupply>& zones, const std::vector<ZoneTarget>& targets) {
  double cost = 0;
  for (size_t i = 0; i < zones.size() && i < targets.size(); ++i) {
    cost += targets[i].steady * zones[i].steady_price_per_hour + targets[i].cheap * zones[i].cheap_price_per_hour;
  }
  return cost;
}

}  // namespace quetzalridge
