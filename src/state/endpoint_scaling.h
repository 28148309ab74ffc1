#pragma once

#include <map>
#include <string>
#include <vector>

namespace quetzalridge {

// One availability zone in which endpoints of a service can be ordered.
struct ScalingZone {
  std::string name;
  // Price of one endpoint per second, relative to other zones.
  double price = 1.0;
  // Bounds for the number of endpoints.
  int min = 0;
  int max = 0;
  // Number of endpoints that run or were ordered.
  int endpoint_count = 0;
};

// Returns how many endpoints each zone should have, by zone name.
//
// A trainer submits all items of a training step at once and waits for nearly all of them, so the number of slots when
// a step arrives matters, not the mean load. `slots_needed` is the sum of the largest steps of all models;
// `slots_per_endpoint` is the number of requests that one endpoint runs at once. The plan adds headroom for the
// endpoints that load new weights at any moment. Zones get equal numbers, so that the loss of one zone costs the least;
// the remaining endpoints go to the cheapest zones. The plan never removes endpoints: an unneeded endpoint costs less
// than a late step.
std::map<std::string, int> PlanScaling(const std::vector<ScalingZone>& zones, int slots_needed, int slots_per_endpoint);

}  // namespace quetzalridge
