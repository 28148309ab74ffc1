#include "state/router.h"

#include <algorithm>
#include <cmath>

#include "state/admission.h"

namespace quetzalridge {

namespace {

// Without a reserve, borrowed requests fill the endpoints that hold the prefixes of others, whose prompts then have to
// be processed from the start elsewhere. Larger reserves of borrowed requests kept interactive peaks waiting.
constexpr double kBorrowedReserveFraction = 0.1;
// Rollouts keep their slots for longer than interactive requests, so they leave room for the next of these.
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

// A report may be older than the first of the counted requests, so these are a lower bound. It can be 1 s to 2 s old,
// so the counts alone decide when they cover all instances.
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
