#include "state/router.h"

#include <algorithm>
#include <cmath>

#include "state/admission.h"

namespace quetzalridge {

namespace {

// Fraction of an endpoint's slots that requests on borrowed slots leave free. Without a reserve, such requests fill the
// endpoints that have the prefixes of other workspaces in their cache. The requests of these workspaces then go to
// other endpoints, which have to process the whole prompt. With a larger reserve, interactive requests waited at peak
// load.
constexpr double kBorrowedReserveFraction = 0.1;
// Fraction of an endpoint's slots that rollouts leave free. Rollouts run for longer than interactive requests, so slots
// have to be free for the next interactive requests.
constexpr double kRolloutReserveFraction = 0.25;

int ReservedSlots(const EndpointState& endpoint, int engine_priority) {
  if (engine_priority == kEnginePriorityWithinShare || endpoint.slots <= 1) {
    return 0;
  }
  const double part = engine_priority == kEnginePriorityRollout ? kRolloutReserveFraction : kBorrowedReserveFraction;
  return std::max(1, static_cast<int>(std::lround(endpoint.slots * part)));
}

}  // namespace

bool IsEligible(const RouteRequest& request, const EndpointState& endpoint) {
  if (endpoint.service != request.service || endpoint.leaving || endpoint.set_aside) {
    return false;
  }
  if (endpoint.cheap && !request.resumable) {
    return false;
  }
  if (request.needs_idle_endpoint &&
      (endpoint.own_in_flight > 0 || endpoint.reported_running > 0 || endpoint.failed_polls > 0)) {
    return false;
  }
  if (endpoint.weight_version < request.min_weight_version) {
    return false;
  }
  if (request.needs_free_slot && !HasFreeSlot(endpoint, request.engine_priority)) {
    return false;
  }
  return std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) == request.excluded.end();
}

// A load report can be 1 s to 2 s old. The counts of requests in flight are newer, so they alone are used if they cover
// all instances. Otherwise the counts are a lower bound, since the report may not include the counted requests.
int EstimatedLoad(const EndpointState& endpoint) {
  const int counted = endpoint.own_in_flight + endpoint.peer_in_flight;
  if (endpoint.all_peers_counted) {
    return counted;
  }
  const int reported = endpoint.reported_running + endpoint.reported_queued + endpoint.own_since_report;
  return std::max(reported, counted);
}

double LoadPerSlot(const EndpointState& endpoint) {
  return static_cast<double>(EstimatedLoad(endpoint)) / std::max(endpoint.slots, 1);
}

bool HasFreeSlot(const EndpointState& endpoint, int engine_priority) {
  return EstimatedLoad(endpoint) < endpoint.slots - ReservedSlots(endpoint, engine_priority);
}

bool ShouldWaitForFreeSlot(RouteRequest request, const std::vector<EndpointState>& endpoints) {
  if (!request.needs_free_slot) {
    return false;
  }
  request.needs_free_slot = false;
  return std::any_of(endpoints.begin(), endpoints.end(),
                     [&](const EndpointState& endpoint) { return IsEligible(request, endpoint); });
}

}  // namespace quetzalridge
