#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "state/endpoint_state.h"

namespace quetzalridge {

enum class WorkClass {
  kInteractive,
  kRollout,
};

struct RouteRequest {
  std::string service;
  std::string workspace;
  WorkClass work_class = WorkClass::kInteractive;
  // Cheap endpoints may run only work that can be resumed or sent again.
  bool resumable = true;
  // Availability zone of this instance; empty when no zone is preferred.
  std::string zone;
  // Hashes of the prompt's prefixes, longest first; empty for plain services.
  std::vector<uint64_t> prefix_hashes;
  // Endpoints that this request has already tried.
  std::vector<std::string> excluded;
  // Rollouts only: weight versions below this would be too old at hand-over; 0 for no bound.
  int64_t min_weight_version = 0;
  // A suspect runs alone: only endpoints without other work are eligible.
  bool needs_idle_endpoint = false;
  // Only endpoints with a free slot for this engine priority are eligible; the request can wait for one.
  bool needs_free_slot = false;
  int engine_priority = 0;
  // How long it has waited for a slot.
  Duration waited;
};

// Chooses an endpoint for each request.
class Router {
 public:
  virtual ~Router() = default;
  // Index into `endpoints`, or -1 when none is eligible. The caller passes only endpoints whose breaker allows work.
  virtual int Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) = 0;
  virtual void OnCacheStored(const std::string& endpoint_id, uint64_t prefix_hash) {}
  virtual void OnCacheEvicted(const std::string& endpoint_id, uint64_t prefix_hash) {}
  // Events were lost: what is known of this endpoint's cache is unreliable.
  virtual void OnCacheEventsLost(const std::string& endpoint_id) {}
  // This instance sent a request with these prefixes to the endpoint.
  virtual void OnDispatched(const std::string& endpoint_id, const std::vector<uint64_t>& prefix_hashes) {}
};

// True when the endpoint may serve the request at all, whatever its load.
bool IsEligible(const RouteRequest& request, const EndpointState& endpoint);

// Requests that the endpoint is expected to hold: those in flight from this instance and its peers. Where a peer is
// silent, at least those of the endpoint's last report and this instance's own since then.
int EstimatedLoad(const EndpointState& endpoint);

// The estimated load per slot; 1 means that all slots are taken.
double LoadPerSlot(const EndpointState& endpoint);

// True when a request with this engine priority may take a slot of the endpoint by the estimated load. Requests that
// are not within their workspace's share leave a reserve of slots free.
bool HasFreeSlot(const EndpointState& endpoint, int engine_priority);

// True when a router found no endpoint only because the request needs a free slot, so that it should wait for one.
bool ShouldWaitForFreeSlot(RouteRequest request, const std::vector<EndpointState>& endpoints);

}  // namespace quetzalridge
