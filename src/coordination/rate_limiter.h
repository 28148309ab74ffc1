#pragma once

#include <memory>
#include <optional>
#include <string>

#include "coordination/endpoint_caller.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// Passes calls on to endpoints and records the rate limits that they report in their responses.
class RateLimiter : public EndpointCaller {
 public:
  RateLimiter(EndpointCaller* caller, EndpointDirectory* endpoints) : m_caller(caller), m_endpoints(endpoints) {}

  std::unique_ptr<EndpointExchange> Start(EndpointCall call, EndpointCallObserver* observer) override;

 private:
  class Exchange;

  void OnRateLimit(const std::string& endpoint, std::optional<double> limit);

  EndpointCaller* m_caller;
  EndpointDirectory* m_endpoints;
};

}  // namespace quetzalridge
