#include "state/router.h"

#include <algorithm>

namespace quetzalridge {

bool IsEligible(const RouteRequest& request, const EndpointState& endpoint) {
  if (endpoint.service != request.service || endpoint.leaving || endpoint.set_aside) {
    return false;
  }
  if (endpoint.cheap && !request.resumable) {
    return false;
  }
  if (request.alone && (endpoint.own_in_flight > 0 || endpoint.reported_running > 0 || endpoint.failed_polls > 0)) {
    return false;
  }
  if (endpoint.weight_version < request.min_weight_version) {
    return false;
  }
  return std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) == request.excluded.end();
}

// A report may be older than the first of this instance's requests, so the requests in flight are a lower bound.
int EstimatedLoad(const EndpointState& endpoint) {
  const int reported = endpoint.reported_running + endpoint.reported_queued + endpoint.own_since_report;
  return std::max(reported, endpoint.own_in_flight);
}

double LoadPerSlot(const EndpointState& endpoint) {
  return static_cast<double>(EstimatedLoad(endpoint)) / std::max(endpoint.slots, 1);
}

}  // namespace quetzalridge
