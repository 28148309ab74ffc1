#pragma once

#include <vector>

namespace quetzalridge {

// What one workspace asks for, in slots. The demand of one instance is part of the demand of all.
struct ShareClaim {
  double share = 1.0;
  double demand = 0;
  double local_demand = 0;
};

// Weighted max-min shares: nobody gets more than its demand, and what one leaves goes to the others by share.
std::vector<double> WeightedMaxMinShares(double capacity, const std::vector<ShareClaim>& claims);

// How the slots of a service are divided between the work classes and workspaces.
struct ShareAllocation {
  // Slots of each workspace over all instances, in the order of the claims.
  std::vector<double> interactive;
  std::vector<double> rollout;
  // Slots over all instances that interactive requests leave to rollouts.
  double min_rollout_slots = 0;
};

// Slots kept free for workspaces below their share, so that their requests need not wait for others to finish.
constexpr double kReservedSlotFraction = 0.1;
// Rollouts keep this part of the slots, or their demand if it is less, during an interactive peak.
constexpr double kMinRolloutFraction = 0.1;

// Claims of both classes have the same workspaces in the same order. A workspace without demand still counts when the
// others' guaranteed shares are worked out.
ShareAllocation AllocateShares(double capacity, double rollout_share_max, const std::vector<ShareClaim>& interactive,
                               const std::vector<ShareClaim>& rollout);

}  // namespace quetzalridge
