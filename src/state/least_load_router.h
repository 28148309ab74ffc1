#pragma once

#include <cstdint>
#include <vector>

#include "base/random.h"
#include "state/router.h"

namespace quetzalridge {

// Baseline: the eligible endpoint with the lowest reported load per slot; equal loads are drawn at random.
class LeastLoadRouter : public Router {
 public:
  explicit LeastLoadRouter(uint64_t seed) : m_random(seed) {}
  int Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) override;

 private:
  Random m_random;
};

}  // namespace quetzalridge
