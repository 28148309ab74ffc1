#pragma once

#include <string>
#include <vector>

#include "state/sunset_forecast.h"

namespace quetzalridge {

// The sizes of one deployment of section 1.1 of the design page.
struct Deployment {
  std::string name;
  int zones = 3;
  int replicas = 12;
  int instances = 8;
  int workspaces = 8;
  double zone_distance_ms = 0.5;
  Location location;
};

// The agency deployment and the works deployment.
const std::vector<Deployment>& Deployments();

}  // namespace quetzalridge
