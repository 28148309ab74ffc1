#pragma once

#include <array>

#include "state/capacity_planner.h"

namespace quetzalridge {

// Baseline: the demand of the same hour on the day before or the present one, whichever is higher, with all cheap
// endpoints in the zone where they cost least. It reacts to nothing else.
class HourOfDayPlanner : public CapacityPlanner {
 public:
  CapacityPlan Plan(const CapacityInput& input, TimePoint now) override;

 private:
  static constexpr int kHours = 24;

  struct Hour {
    int64_t day = -1;
    double demand = 0;
    double previous_day_demand = 0;
  };
  std::array<Hour, kHours> m_hours;
};

}  // namespace quetzalridge
