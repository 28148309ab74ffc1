#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/random.h"
#include "coordination/endpoint_caller.h"
#include "coordination/scheduler.h"
#include "coordination/usage_sink.h"
#include "daemon/request_metrics.h"
#include "gateway/incoming_request.h"
#include "state/endpoint_directory.h"
#include "state/serving_config.h"
#include "transport/http_server.h"

namespace quetzalridge {

struct ForwarderContext {
  Scheduler* scheduler = nullptr;
  const RouteTable* routes = nullptr;
  EndpointDirectory* endpoints = nullptr;
  EndpointCaller* caller = nullptr;
  UsageSink* usage = nullptr;
  RequestMetrics* metrics = nullptr;
  std::string zone;
};

// Passes plain requests and streams on to endpoints, and their answers back unchanged.
class RequestForwarder {
 public:
  RequestForwarder(ForwarderContext context, uint64_t seed);
  ~RequestForwarder();
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  // `workspace` is empty on routes that need no key.
  void Forward(IncomingRequest request, const ServiceRoute& route, const std::string& workspace,
               std::shared_ptr<HttpResponder> responder);
  int active() const { return static_cast<int>(m_active.size()); }

 private:
  class Request;
  friend class Request;

  ForwarderContext m_context;
  Random m_random;
  std::map<uint64_t, std::unique_ptr<Request>> m_active;
  uint64_t m_next_request = 0;
};

// Answers a request with an error of this service. `retry_after` is sent when it is positive.
void SendError(HttpResponder* responder, ErrorCode code, const std::string& message, RequestRan ran,
               Duration retry_after = Duration());

}  // namespace quetzalridge
