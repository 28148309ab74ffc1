#pragma once

#include <map>
#include <string>
#include <vector>

namespace quetzalridge {

// One availability zone in which endpoints of a service can be had.
struct ScalingZone {
  std::string name;
  // Of one endpoint and second, relative to other zones.
  double price = 1.0;
  int min = 0;
  int max = 0;
  // Endpoints that run or were ordered.
  int endpoint_count = 0;
};

// How many endpoints each zone should have, by zone name.
//
// The load it answers: a trainer submits a step's items at once and waits for nearly all of them, so what counts is the
// number of places when a step arrives, not the mean load. `slots_needed` is the sum of the largest steps of all
// models; `slots_per_endpoint` is what one endpoint runs at once. Part of the endpoints load new weights at any moment,
// which the headroom covers. Zones get equal numbers, so that the loss of one costs the least; what is left over goes
// to the cheapest ones. Endpoints are not given up here: one more costs less than a step that comes late.
std::map<std::string, int> PlanScaling(const std::vector<ScalingZone>& zones, int slots_needed, int slots_per_endpoint);

}  // namespace quetzalridge
