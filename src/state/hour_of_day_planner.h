#pragma once

#include <array>

#include "state/capacity_planner.h"

namespace quetzalridge {

// Baseline for experiments: plans for the higher of the present demand and the demand in the same hour of the day
// before. All cheap endpoints are ordered in the zone with the lowest price. Reclaims and failed orders are ignored.
class HourOfDayPlanner : public CapacityPlanner {
 public:
  CapacityPlan Plan(const CapacityInput& input, TimePoint now) override;

 private:
  static constexpr int kHours = 24;

  struct Hour {
    // Day that `demand` belongs to, counted from the Unix epoch.
    int64_t day = -1;
    // Highest demand in this hour on `day`.
    double demand = 0;
    double previous_day_demand = 0;
  };
  std::array<Hour, kHours> m_hours;
};

}  // namespace quetzalridge
