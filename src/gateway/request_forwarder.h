#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/error.h"
#include "base/random.h"
#include "coordination/endpoint_caller.h"
#include "coordination/scheduler.h"
#include "coordination/send_permits.h"
#include "coordination/stream_origins.h"
#include "coordination/usage_sink.h"
#include "daemon/request_metrics.h"
#include "gateway/incoming_request.h"
#include "state/endpoint_directory.h"
#include "state/memory_budget.h"
#include "state/quarantine.h"
#include "state/serving_config.h"
#include "transport/http_server.h"

namespace quetzalridge {

// What the forwarder uses; all pointers must outlive it.
struct ForwarderContext {
  Scheduler* scheduler = nullptr;
  const RouteTable* routes = nullptr;
  EndpointDirectory* endpoints = nullptr;
  EndpointCaller* endpoint_caller = nullptr;
  SendPermits* permits = nullptr;
  UsageSink* usage = nullptr;
  RequestMetrics* metrics = nullptr;
  StreamOrigins* stream_origins = nullptr;
  // The availability zone of this instance.
  std::string zone;
  // Limits the memory of responses that callers have not read yet. Not limited if null.
  MemoryBudget* response_memory = nullptr;
  // Requests that crash endpoints are not refused if null.
  Quarantine* quarantine = nullptr;
};

// Forwards plain requests and requests for streams to endpoints, and sends the endpoints' responses to the callers
// unchanged. Retries a request at another endpoint if this cannot run a non-idempotent request twice.
class RequestForwarder {
 public:
  RequestForwarder(ForwarderContext context, uint64_t seed);
  ~RequestForwarder();
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  // `workspace` is empty on routes that need no key.
  void Forward(IncomingRequest request, const ServiceRoute& route, const std::string& workspace,
               std::shared_ptr<HttpResponder> responder);
  // Called when a permit was granted or may be requested again. Starts the requests that wait for one, those with
  // the highest priority first.
  void OnPermits();
  // Number of requests in flight.
  int active() const { return static_cast<int>(m_active.size()); }

 private:
  class Request;
  friend class Request;

  ForwarderContext m_context;
  Random m_random;
  std::map<uint64_t, std::unique_ptr<Request>> m_active;
  uint64_t m_next_request = 0;
  // Requests that wait for a permit: the priority of the route and the number of the request.
  std::set<std::pair<int, uint64_t>> m_waiting;
  // Endpoints on which a suspect of the quarantine runs. Other requests avoid them.
  std::set<std::string> m_suspect_endpoints;
};

// How long a request of the route may take; `time_left` is how long its caller waits, if it says so.
Duration RequestLimit(const ServiceRoute& route, std::optional<Duration> time_left);

// Sends an error of this service as the response. `retry_after` is sent if it is positive.
void SendError(HttpResponder* responder, ErrorCode code, const std::string& message, RequestRan ran,
               Duration retry_after = Duration());

}  // namespace quetzalridge
