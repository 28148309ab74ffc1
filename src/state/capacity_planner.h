#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// The running endpoints of one service in one availability zone, and the prices there.
struct ZoneSupply {
  std::string zone;
  // Endpoints that the platform does not reclaim.
  int steady = 0;
  // Endpoints that cost less and that the platform may reclaim at short notice (spot capacity).
  int cheap = 0;
  double steady_price_per_hour = 1.0;
  double cheap_price_per_hour = 0.3;
};

// What a plan for one service is computed from. A replica is one endpoint of the service.
struct CapacityInput {
  std::string service;
  int slots_per_replica = 16;
  int min_replicas = 1;
  int max_replicas = 16;
  // Largest fraction of the replicas that may be cheap endpoints, from the service's configuration.
  double cheap_share_max = 0.5;
  double spend_limit_per_hour = 100.0;
  // Running and waiting requests on all instances; each needs one slot. Only rollouts may run on cheap endpoints.
  double interactive_demand = 0;
  double rollout_demand = 0;
  // Wall-clock time (Unix, milliseconds), which the forecast needs.
  int64_t wall_ms = 0;
  std::vector<ZoneSupply> zones;
};

// How many endpoints should run in one availability zone. These are totals, not changes.
struct ZoneTarget {
  std::string zone;
  int steady = 0;
  int cheap = 0;
};

struct CapacityPlan {
  // In the order of the input's zones.
  std::vector<ZoneTarget> targets;
  double cost_per_hour = 0;
  // Endpoints that the demand needs but that are not ordered because of the spending limit.
  int refused_orders = 0;
};

// Computes how many endpoints of one service to order in each availability zone. Plans are deterministic: each zone has
// its own lease for placing orders, and the holders of these leases must compute the same plan from the same input.
class CapacityPlanner {
 public:
  virtual ~CapacityPlanner() = default;
  virtual CapacityPlan Plan(const CapacityInput& input, TimePoint now) = 0;
  // Must be called when the platform reclaims cheap endpoints of the zone.
  virtual void OnReclaim(const std::string& zone, TimePoint now) {}
  // Must be called when an order failed because the platform has no endpoints of this kind in the zone.
  virtual void OnNoneAvailable(const std::string& zone, bool cheap, TimePoint now) {}
};

double CostPerHour(const std::vector<ZoneSupply>& zones, const std::vector<ZoneTarget>& targets);

}  // namespace quetzalridge
