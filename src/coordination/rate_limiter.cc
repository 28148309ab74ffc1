#include "coordination/rate_limiter.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

// A permit that is not used in this time is lost, so that an instance that was paused does not use old permits.
constexpr Duration kPermitLifetime = Duration::Milliseconds(250);
// Delay after which an instance that did not answer is asked again.
constexpr Duration kNoReplyRetryDelay = Duration::Milliseconds(200);
// State of an endpoint for which no permit was requested in this time is removed.
constexpr Duration kUnusedLifetime = Duration::Seconds(60);

constexpr int kFirstServerError = 500;

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
      : m_limiter(limiter), m_endpoint(std::move(endpoint)), m_started_at(limiter->Now()), m_observer(observer) {}

  void Begin(EndpointCall call) { m_exchange = m_limiter->m_context.caller->Start(std::move(call), this); }

  // The observer may destroy this exchange in each of these calls, so each of them is the last statement.
  void OnHead(const EndpointResponseHead& head) override {
    m_limiter->OnHead(m_endpoint, head, m_started_at);
    m_observer->OnHead(head);
  }
  void OnBody(std::string_view data) override { m_observer->OnBody(data); }
  void OnEvent(const StreamEvent& event) override { m_observer->OnEvent(event); }
  void OnEnd(const EndpointCallResult& result) override { m_observer->OnEnd(result); }

 private:
  RateLimiter* m_limiter;
  std::string m_endpoint;
  TimePoint m_started_at;
  EndpointCallObserver* m_observer;
  std::unique_ptr<EndpointExchange> m_exchange;
};

// A call without a permit. Ends in the next turn of the event loop.
class RateLimiter::UnsentCall : public EndpointExchange {
 public:
  UnsentCall(Scheduler* scheduler, EndpointCallObserver* observer)
      : m_timer(scheduler->After(Duration(), [observer] {
          EndpointCallResult result;
          result.outcome = EndpointCallOutcome::kNotSent;
          result.detail = "the endpoint limits the rate of requests, and no permit is left";
          observer->OnEnd(result);
        })) {}

 private:
  std::unique_ptr<Timer> m_timer;
};

std::unique_ptr<EndpointExchange> RateLimiter::Start(EndpointCall call, EndpointCallObserver* observer) {
  if (!Take(call.endpoint_id)) {
    return std::make_unique<UnsentCall>(m_context.scheduler, observer);
  }
  auto exchange = std::make_unique<Exchange>(this, call.endpoint_id, observer);
  exchange->Begin(std::move(call));
  return exchange;
}

bool RateLimiter::IsValid(const Permit& permit) const {
  return permit.granted_at.has_value() && Now() - *permit.granted_at < kPermitLifetime;
}

bool RateLimiter::MaySend(const std::string& endpoint) const {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  if (known == nullptr || !known->rate_limit.has_value()) {
    return true;
  }
  const auto permit = m_permits.find(endpoint);
  return permit != m_permits.end() && IsValid(permit->second);
}

bool RateLimiter::Take(const std::string& endpoint) {
  if (!MaySend(endpoint)) {
    return false;
  }
  const auto permit = m_permits.find(endpoint);
  if (permit != m_permits.end()) {
    permit->second.granted_at.reset();
  }
  return true;
}

void RateLimiter::Request(const std::string& endpoint) {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  if (known == nullptr || !known->rate_limit.has_value()) {
    return;
  }
  if (m_permits.count(endpoint) == 0) {
    RemoveUnused();
  }
  Permit& permit = m_permits[endpoint];
  if (permit.requested || IsValid(permit) || Now() < permit.retry_at) {
    return;
  }
  const std::string instance = GrantingInstance(endpoint);
  if (instance.empty()) {
    return;
  }
  const PermitRequest request{endpoint, *known->rate_limit, Now() - known->rate_limit_at};
  if (instance == m_context.instance) {
    OnReply(endpoint, Grant(request));
    return;
  }
  permit.requested = true;
  m_context.client->Ask(instance, request,
                        m_guard.Wrap([this, endpoint](std::optional<PermitReply> reply) { OnReply(endpoint, reply); }));
}

Duration RateLimiter::WaitFor(const std::string& endpoint) const {
  const auto found = m_permits.find(endpoint);
  if (found == m_permits.end() || found->second.requested) {
    return Duration();
  }
  return std::max(found->second.retry_at - Now(), Duration());
}

void RateLimiter::OnReply(const std::string& endpoint, std::optional<PermitReply> reply) {
  Permit& permit = m_permits[endpoint];
  permit.requested = false;
  if (!reply.has_value()) {
    Log(LogEvent::kPermitNotAnswered, {{"endpoint", endpoint}, {"instance", GrantingInstance(endpoint)}});
    reply = PermitReply{false, kNoReplyRetryDelay};
  }
  if (reply->granted) {
    permit.granted_at = Now();
  }
  permit.retry_at = Now() + reply->wait;
  permit.timer = m_context.scheduler->After(reply->wait, [this] {
    for (const std::function<void()>& listener : m_listeners) {
      listener();
    }
  });
}

// When instances disagree on which of them are live, two may grant permits for one endpoint for as long as it takes to
// read the roster. A new one therefore grants its first permit only after one interval.
std::string RateLimiter::GrantingInstance(const std::string& endpoint) const {
  const uint64_t seed = Hash64(endpoint);
  std::string best;
  uint64_t best_hash = 0;
  for (const std::string& instance : m_context.live_instances()) {
    const uint64_t hash = Hash64(instance, seed);
    if (best.empty() || hash > best_hash) {
      best = instance;
      best_hash = hash;
    }
  }
  return best;
}

PermitReply RateLimiter::Grant(const PermitRequest& request) {
  auto found = m_granted_endpoints.find(request.endpoint);
  if (found == m_granted_endpoints.end()) {
    RemoveUnused();
    found = m_granted_endpoints.emplace(request.endpoint, GrantedEndpoint()).first;
  }
  GrantedEndpoint& endpoint = found->second;
  const TimePoint limit_at = Now() - request.limit_age;
  if (endpoint.limit <= 0.0 || limit_at >= endpoint.limit_at) {
    endpoint.limit = request.limit;
    endpoint.limit_at = limit_at;
  }
  const PermitReply reply = endpoint.pacer.Request(Now(), endpoint.limit);
  ++(reply.granted ? m_granted : m_refused);
  return reply;
}

void RateLimiter::RemoveUnused() {
  for (auto it = m_granted_endpoints.begin(); it != m_granted_endpoints.end();) {
    it = it->second.pacer.IsIdle(Now(), kUnusedLifetime) ? m_granted_endpoints.erase(it) : std::next(it);
  }
  for (auto it = m_permits.begin(); it != m_permits.end();) {
    const bool unused = !it->second.requested && Now() - it->second.retry_at >= kUnusedLifetime;
    it = unused ? m_permits.erase(it) : std::next(it);
  }
}

// A refusal or a server error may come from a part of the endpoint that does not know its limit, and a response to an
// earlier call may have been made before the limit was set. Neither lifts a limit.
void RateLimiter::OnHead(const std::string& endpoint, const EndpointResponseHead& head, TimePoint started_at) {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  if (known == nullptr || head.wrong_endpoint) {
    return;
  }
  const bool may_lift = !head.not_run && head.status < kFirstServerError && started_at > known->rate_limit_at;
  if (!head.rate_limit.has_value() && known->rate_limit.has_value() && !may_lift) {
    return;
  }
  if (known->rate_limit != head.rate_limit) {
    Log(LogEvent::kEndpointRateLimit, {{"endpoint", endpoint},
                                       {"requests_per_s", RateText(head.rate_limit)},
                                       {"before", RateText(known->rate_limit)},
                                       {"own_in_flight", std::to_string(known->in_flight)}});
  }
  m_context.endpoints->OnRateLimit(endpoint, head.rate_limit);
}

}  // namespace quetzalridge
