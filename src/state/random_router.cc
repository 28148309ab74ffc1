#include "state/random_router.h"

namespace quetzalridge {

int RandomRouter::Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) {
  int chosen = -1;
  uint64_t eligible = 0;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    // Reservoir sampling selects uniformly in one pass and without a list of candidates.
    if (IsEligible(request, endpoints[i]) && m_random.Below(++eligible) == 0) {
      chosen = static_cast<int>(i);
    }
  }
  return chosen;
}

}  // namespace quetzalridge
