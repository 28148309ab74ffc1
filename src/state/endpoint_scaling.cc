#include "state/endpoint_scaling.h"

#include <algorithm>
#include <cmath>

namespace quetzalridge {

namespace {

// A fifth of the endpoints may load weights at once (see MaxConcurrentLoads), so a quarter more than needed are
// ordered.
constexpr double kHeadroomFactor = 1.25;

}  // namespace

std::map<std::string, int> PlanScaling(const std::vector<ScalingZone>& zones, int slots_needed,
                                       int slots_per_endpoint) {
  std::map<std::string, int> plan;
  if (zones.empty() || slots_per_endpoint <= 0) {
    return plan;
  }
  int endpoints_to_add = static_cast<int>(std::ceil(slots_needed * kHeadroomFactor / slots_per_endpoint));
  for (const ScalingZone& zone : zones) {
    plan[zone.name] = std::clamp(zone.endpoint_count, zone.min, std::max(zone.min, zone.max));
    endpoints_to_add -= plan[zone.name];
  }
  while (endpoints_to_add > 0) {
    const ScalingZone* best = nullptr;
    for (const ScalingZone& zone : zones) {
      if (plan[zone.name] >= zone.max) {
        continue;
      }
      const bool fewer = best == nullptr || plan[zone.name] < plan[best->name];
      const bool cheaper = best != nullptr && plan[zone.name] == plan[best->name] && zone.price < best->price;
      if (fewer || cheaper) {
        best = &zone;
      }
    }
    if (best == nullptr) {
      break;
    }
    ++plan[best->name];
    --endpoints_to_add;
  }
  return plan;
}

}  // namespace quetzalridge
