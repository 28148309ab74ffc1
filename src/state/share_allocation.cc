#include "state/share_allocation.h"

#include <algorithm>
#include <numeric>

namespace quetzalridge {

namespace {

double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// Takes slots from the workspaces that have more than their guaranteed share, until the reserve is free.
void ReturnBorrowedSlots(double capacity, double reserve, const std::vector<ShareClaim>& claims,
                         std::vector<double>* slots) {
  const double total_share =
      std::accumulate(claims.begin(), claims.end(), 0.0, [](double sum, const ShareClaim& c) { return sum + c.share; });
  const double missing = reserve - (capacity - Sum(*slots));
  if (missing <= 0 || total_share <= 0) {
    return;
  }
  std::vector<double> borrowed(claims.size());
  for (size_t i = 0; i < claims.size(); ++i) {
    // What the workspace has beyond its guaranteed share.
    borrowed[i] = std::max(0.0, (*slots)[i] - capacity * claims[i].share / total_share);
  }
  const double total_borrowed = Sum(borrowed);
  if (total_borrowed <= 0) {
    return;
  }
  const double factor = std::min(1.0, missing / total_borrowed);
  for (size_t i = 0; i < claims.size(); ++i) {
    (*slots)[i] -= borrowed[i] * factor;
  }
}

}  // namespace

// Serves the workspaces in ascending order of demand per share. Each one gets at most its part of the remaining slots,
// so slots that a workspace does not need are left to those after it.
std::vector<double> WeightedMaxMinShares(double capacity, const std::vector<ShareClaim>& claims) {
  std::vector<size_t> order(claims.size());
  std::iota(order.begin(), order.end(), 0);
  const auto level = [&](size_t i) { return claims[i].demand / std::max(claims[i].share, 1e-9); };
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) { return level(a) < level(b); });
  double share_left = 0;
  for (const ShareClaim& claim : claims) {
    share_left += std::max(claim.share, 1e-9);
  }
  std::vector<double> slots(claims.size());
  for (const size_t i : order) {
    const double share = std::max(claims[i].share, 1e-9);
    slots[i] = std::min(claims[i].demand, std::max(0.0, capacity) * share / share_left);
    capacity -= slots[i];
    share_left -= share;
  }
  return slots;
}

ShareAllocation AllocateShares(double capacity, double rollout_share_max, const std::vector<ShareClaim>& interactive,
                               const std::vector<ShareClaim>& rollout) {
  ShareAllocation allocation;
  double rollout_demand = 0;
  for (const ShareClaim& claim : rollout) {
    rollout_demand += claim.demand;
  }
  allocation.min_rollout_slots =
      std::min({rollout_demand, std::max(1.0, kMinRolloutFraction * capacity), capacity / 2});
  const double interactive_capacity = capacity - allocation.min_rollout_slots;
  const double reserve = kReservedSlotFraction * capacity;
  allocation.interactive = WeightedMaxMinShares(interactive_capacity, interactive);
  ReturnBorrowedSlots(interactive_capacity, reserve, interactive, &allocation.interactive);
  const double rollout_capacity =
      std::max(allocation.min_rollout_slots,
               std::min(rollout_share_max * capacity, capacity - reserve - Sum(allocation.interactive)));
  allocation.rollout = WeightedMaxMinShares(rollout_capacity, rollout);
  return allocation;
}

}  // namespace quetzalridge
