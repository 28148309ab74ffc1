#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "state/endpoint_state.h"

namespace quetzalridge {

enum class WorkClass {
  // A user waits for the response.
  kInteractive,
  // Generates a sample for the training of a model. Rollouts are long, and they can be preempted and resumed.
  kRollout,
};

// What a router needs to know about a request.
struct RouteRequest {
  std::string service;
  std::string workspace;
  WorkClass work_class = WorkClass::kInteractive;
  // The request can be resumed or sent again. Only such requests may run on cheap endpoints, which can be reclaimed.
  bool resumable = true;
  // The preferred availability zone, which is that of this instance; empty for no preference.
  std::string zone;
  // Hashes of the prompt's prefixes, longest first; empty for plain services.
  std::vector<uint64_t> prefix_hashes;
  // Endpoints that this request has already tried.
  std::vector<std::string> excluded;
  // Oldest version of the model weights that the endpoint may have. Only for rollouts, whose samples must not be too
  // old when they are delivered; 0 for no limit.
  int64_t min_weight_version = 0;
  // Only endpoints without other requests are eligible. Used for requests that may have crashed an endpoint; see
  // Quarantine.
  bool needs_idle_endpoint = false;
  // Only endpoints with a free slot for this engine priority are eligible. The request can wait until there is one.
  bool needs_free_slot = false;
  int engine_priority = 0;
  // How long the request has waited for a slot so far.
  Duration waited;
};

// Chooses an endpoint for each request.
class Router {
 public:
  virtual ~Router() = default;
  // Returns an index into `endpoints`, or -1 if no endpoint is suitable. The caller passes only endpoints whose circuit
  // breaker allows a call.
  virtual int Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) = 0;
  // Records that the endpoint has stored a prefix in its cache, or has evicted it.
  virtual void OnCacheStored(const std::string& endpoint_id, uint64_t prefix_hash) {}
  virtual void OnCacheEvicted(const std::string& endpoint_id, uint64_t prefix_hash) {}
  // Records that cache events of the endpoint were lost, so that the known state of its cache is unreliable.
  virtual void OnCacheEventsLost(const std::string& endpoint_id) {}
  // Records that this instance has sent a request with these prefixes to the endpoint.
  virtual void OnDispatched(const std::string& endpoint_id, const std::vector<uint64_t>& prefix_hashes) {}
};

// Returns whether the endpoint may serve the request. The load counts only for a request that needs a free slot or an
// idle endpoint.
bool IsEligible(const RouteRequest& request, const EndpointState& endpoint);

// Returns the estimated number of requests on the endpoint: those in flight from this instance and its peers. If a peer
// has not reported recently, the result is at least the endpoint's last load report plus this instance's requests since
// then.
int EstimatedLoad(const EndpointState& endpoint);

// Returns the estimated load per slot; 1 means that all slots are in use.
double LoadPerSlot(const EndpointState& endpoint);

// Returns whether the endpoint has a free slot for a request with this engine priority, according to the estimated
// load. Requests that are not within their workspace's share must leave some slots of the endpoint free.
bool HasFreeSlot(const EndpointState& endpoint, int engine_priority);

// Returns whether a request for which a router found no endpoint should wait, because an endpoint would be eligible if
// the request did not need a free slot.
bool ShouldWaitForFreeSlot(RouteRequest request, const std::vector<EndpointState>& endpoints);

}  // namespace quetzalridge
