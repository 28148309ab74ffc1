#pragma once

#include <cstdint>
#include <vector>

#include "base/random.h"
#include "state/router.h"

namespace quetzalridge {

// Chooses two eligible endpoints at random and uses the one with the lower estimated load per slot.
class TwoChoiceRouter : public Router {
 public:
  explicit TwoChoiceRouter(uint64_t seed) : m_random(seed) {}
  int Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) override;

 private:
  Random m_random;
  std::vector<int> m_candidates;
};

}  // namespace quetzalridge
