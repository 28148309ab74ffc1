#include "state/endpoint_scaling.h"

#include <algorithm>
#include <cmath>

namespace quetzalridge {

namespace {

// A fifth of the endpoints may load at once; see MaxLoading.
constexpr double kHeadroom = 1.25;

}  // namespace

std::map<std::string, int> PlanScaling(const std::vector<ScalingZone>& zones, int places_needed, int places_each) {
  std::map<std::string, int> plan;
  if (zones.empty() || places_each <= 0) {
    return plan;
  }
  int missing = static_cast<int>(std::ceil(places_needed * kHeadroom / places_each));
  for (const ScalingZone& zone : zones) {
    plan[zone.name] = std::clamp(zone.present, zone.min, std::max(zone.min, zone.max));
    missing -= plan[zone.name];
  }
  while (missing > 0) {
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
    --missing;
  }
  return plan;
}

}  // namespace quetzalridge
