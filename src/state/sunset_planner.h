#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "state/capacity_planner.h"
#include "state/sunset_forecast.h"

namespace quetzalridge {

// Orders endpoints ahead of the daily peak, which follows the sunset. Distributes cheap endpoints over the zones and
// keeps the cost within the spending limit.
class SunsetPlanner : public CapacityPlanner {
 public:
  explicit SunsetPlanner(Location location) : m_forecast(location) {}
  CapacityPlan Plan(const CapacityInput& input, TimePoint now) override;
  void OnReclaim(const std::string& zone, TimePoint now) override;
  void OnNoneAvailable(const std::string& zone, bool cheap, TimePoint now) override;

 private:
  // Replicas that the demand required at a point in time.
  struct ReplicaNeed {
    TimePoint at;
    int interactive = 0;
    int total = 0;
  };
  // Until when no endpoints of each kind are ordered in a zone.
  struct OrderBlocks {
    TimePoint steady_until;
    TimePoint cheap_until;
  };

  ReplicaNeed CurrentNeed(const CapacityInput& input, TimePoint now);
  std::vector<int> SpreadOverZones(const CapacityInput& input, int count, bool cheap, int max_per_zone,
                                   TimePoint now) const;
  static void LimitSpending(const CapacityInput& input, int interactive, CapacityPlan* plan);
  static bool RefuseOneOrder(const CapacityInput& input, bool cheap, CapacityPlan* plan);

  SunsetForecast m_forecast;
  // The needs of the last minutes, oldest first.
  std::deque<ReplicaNeed> m_needs;
  // By availability zone.
  std::map<std::string, OrderBlocks> m_blocks;
};

}  // namespace quetzalridge
