#include "coordination/rate_limiter.h"

#include <cstdio>
#include <utility>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

std::string RateText(std::optional<double> rate) {
  if (!rate.has_value()) {
    return "-";
  }
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", *rate);
  return text;
}

}  // namespace

// Reads the rate limit from the head of the response and passes everything on.
class RateLimiter::Exchange : public EndpointExchange, public EndpointCallObserver {
 public:
  Exchange(RateLimiter* limiter, std::string endpoint, EndpointCallObserver* observer)
      : m_limiter(limiter), m_endpoint(std::move(endpoint)), m_observer(observer) {}

  void Begin(EndpointCall call) { m_exchange = m_limiter->m_caller->Start(std::move(call), this); }

  // The observer may destroy this exchange in each of these calls, so each of them is the last statement.
  void OnHead(const EndpointResponseHead& head) override {
    // Another endpoint has sent the response.
    if (!head.wrong_endpoint) {
      m_limiter->OnRateLimit(m_endpoint, head.rate_limit);
    }
    m_observer->OnHead(head);
  }
  void OnBody(std::string_view data) override { m_observer->OnBody(data); }
  void OnEvent(const StreamEvent& event) override { m_observer->OnEvent(event); }
  void OnEnd(const EndpointCallResult& result) override { m_observer->OnEnd(result); }

 private:
  RateLimiter* m_limiter;
  std::string m_endpoint;
  EndpointCallObserver* m_observer;
  std::unique_ptr<EndpointExchange> m_exchange;
};

std::unique_ptr<EndpointExchange> RateLimiter::Start(EndpointCall call, EndpointCallObserver* observer) {
  auto exchange = std::make_unique<Exchange>(this, call.endpoint_id, observer);
  exchange->Begin(std::move(call));
  return exchange;
}

void RateLimiter::OnRateLimit(const std::string& endpoint, std::optional<double> limit) {
  const DirectoryEndpoint* known = m_endpoints->Find(endpoint);
  if (known == nullptr || known->rate_limit == limit) {
    return;
  }
  Log(LogEvent::kEndpointRateLimit, {{"endpoint", endpoint},
                                     {"requests_per_s", RateText(limit)},
                                     {"before", RateText(known->rate_limit)},
                                     {"own_in_flight", std::to_string(known->in_flight)}});
  m_endpoints->OnRateLimit(endpoint, limit);
}

}  // namespace quetzalridge
