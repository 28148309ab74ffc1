#include "state/least_load_router.h"

#include <algorithm>

namespace quetzalridge {

int LeastLoadRouter::Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) {
  int chosen = -1;
  double lowest = 0.0;
  uint64_t ties = 0;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const EndpointState& endpoint = endpoints[i];
    if (!IsEligible(request, endpoint)) {
      continue;
    }
    const double load =
        static_cast<double>(endpoint.reported_running + endpoint.reported_queued) / std::max(endpoint.slots, 1);
    if (chosen < 0 || load < lowest) {
      lowest = load;
      ties = 0;
    }
    if (load == lowest && m_random.Below(++ties) == 0) {
      chosen = static_cast<int>(i);
    }
  }
  return chosen;
}

}  // namespace quetzalridge
