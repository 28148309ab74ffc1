#pragma once

#include <cstdint>
#include <vector>

#include "base/random.h"
#include "state/router.h"

namespace quetzalridge {

// Baseline for experiments: chooses the eligible endpoint with the lowest load per slot according to the last load
// reports. Among equal loads the choice is random.
class LeastLoadRouter : public Router {
 public:
  explicit LeastLoadRouter(uint64_t seed) : m_random(seed) {}
  int Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) override;

 private:
  Random m_random;
};

}  // namespace quetzalridge
