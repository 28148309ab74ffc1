#pragma once

#include <cstdint>
#include <vector>

#include "base/random.h"
#include "state/router.h"

namespace quetzalridge {

// Baseline for experiments: chooses each eligible endpoint with the same probability.
class RandomRouter : public Router {
 public:
  explicit RandomRouter(uint64_t seed) : m_random(seed) {}
  int Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) override;

 private:
  Random m_random;
};

}  // namespace quetzalridge
