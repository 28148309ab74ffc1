#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// The endpoints of one service in one availability zone, and their prices.
struct ZoneSupply {
  std::string zone;
  int steady = 0;
  int cheap = 0;
  double steady_price_per_hour = 1.0;
  double cheap_price_per_hour = 0.3;
};

struct CapacityInput {
  std::string service;
  int slots_per_replica = 16;
  int min_replicas = 1;
  int max_replicas = 16;
  // From the service's profile.
  double cheap_share_max = 0.5;
  double spend_limit_per_hour = 100.0;
  // Running and waiting requests over all instances, in slots. Only rollouts may run on cheap endpoints.
  double interactive_demand = 0;
  double rollout_demand = 0;
  // Wall-clock time, which forecasts need.
  int64_t wall_ms = 0;
  std::vector<ZoneSupply> zones;
};

// Absolute targets for one availability zone.
struct ZoneTarget {
  std::string zone;
  int steady = 0;
  int cheap = 0;
};

struct CapacityPlan {
  // In the order of the input's zones.
  std::vector<ZoneTarget> targets;
  double cost_per_hour = 0;
  // Endpoints that the demand needs and the spending limit refused.
  int refused_orders = 0;
};

// Works out how many endpoints of one service to order in each zone. It is deterministic, so that the holders of the
// order duties of different zones arrive at the same plan from the same input.
class CapacityPlanner {
 public:
  virtual ~CapacityPlanner() = default;
  virtual CapacityPlan Plan(const CapacityInput& input, TimePoint now) = 0;
  // The platform reclaims cheap endpoints of the zone.
  virtual void OnReclaim(const std::string& zone, TimePoint now) {}
  // The platform had no endpoints of this kind in the zone.
  virtual void OnNoneAvailable(const std::string& zone, bool cheap, TimePoint now) {}
};

double CostPerHour(const std::vector<ZoneSupply>& zones, const std::vector<ZoneTarget>& targets);

}  // namespace quetzalridge
