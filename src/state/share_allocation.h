#pragma once

#include <vector>

namespace quetzalridge {

// The share of one workspace and its demand in slots. `demand` covers all instances and includes this instance's
// demand.
struct ShareClaim {
  // Weight in the division of the slots.
  double share = 1.0;
  double demand = 0;
  // This instance's demand.
  double local_demand = 0;
};

// Returns the weighted max-min fair division of the capacity, in the order of the claims. No workspace gets more than
// its demand, and slots that it does not need are divided among the others in proportion to their shares.
std::vector<double> WeightedMaxMinShares(double capacity, const std::vector<ShareClaim>& claims);

// The division of a service's slots among work classes and workspaces.
struct ShareAllocation {
  // Slots of each workspace over all instances, in the order of the claims.
  std::vector<double> interactive;
  std::vector<double> rollout;
  // Slots over all instances that interactive requests must leave to rollouts.
  double min_rollout_slots = 0;
};

// Fraction of the slots that is kept free for workspaces below their share, so that their requests need not wait until
// requests of other workspaces finish.
constexpr double kReservedSlotFraction = 0.1;
// Fraction of the slots that rollouts keep during a peak of interactive requests, unless their demand is lower.
constexpr double kMinRolloutFraction = 0.1;

// Divides the capacity. `interactive` and `rollout` must list the same workspaces in the same order. Workspaces without
// demand are included, because their shares reduce the guaranteed shares of the others.
ShareAllocation AllocateShares(double capacity, double rollout_share_max, const std::vector<ShareClaim>& interactive,
                               const std::vector<ShareClaim>& rollout);

}  // namespace quetzalridge
