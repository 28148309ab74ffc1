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

// An instance that may not grant permits for a cold endpoint is asked again after this time.
constexpr Duration kNoAuthorityRetryDelay = Duration::Milliseconds(200);

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
          result.detail = "the endpoint limits the rate of requests, and no permit is left, or its zone is evacuated";
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

// For a cold endpoint the time counts from the request, so that it bounds the time since the permit was granted.
bool RateLimiter::IsValid(const Permit& permit, const DirectoryEndpoint& endpoint) const {
  if (!permit.granted_at.has_value() || (endpoint.is_cold() && !permit.is_cold)) {
    return false;
  }
  return permit.is_cold ? Now() - permit.requested_at < kColdPermitLifetime
                        : Now() - *permit.granted_at < kPermitLifetime;
}

bool RateLimiter::MaySend(const std::string& endpoint) const {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  if (known == nullptr || !known->is_limited()) {
    return true;
  }
  const auto permit = m_permits.find(endpoint);
  return permit != m_permits.end() && IsValid(permit->second, *known);
}

bool RateLimiter::Take(const std::string& endpoint) {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  if (!MaySend(endpoint) || (known != nullptr && known->evacuated)) {
    return false;
  }
  const auto permit = m_permits.find(endpoint);
  if (permit != m_permits.end()) {
    permit->second.granted_at.reset();
  }
  m_cold_calls += known != nullptr && known->is_cold() ? 1 : 0;
  return true;
}

void RateLimiter::Request(const std::string& endpoint) {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  if (known == nullptr || !known->is_limited()) {
    return;
  }
  if (m_permits.count(endpoint) == 0) {
    RemoveUnused();
  }
  Permit& permit = m_permits[endpoint];
  if (permit.requested || IsValid(permit, *known) || Now() < permit.retry_at) {
    return;
  }
  const std::string instance = GrantingInstance(endpoint, known->is_cold());
  if (instance.empty()) {
    return;
  }
  permit.is_cold = known->is_cold();
  permit.requested_at = Now();
  PermitRequest request;
  request.endpoint = endpoint;
  if (known->rate_limit.has_value()) {
    request.limit = *known->rate_limit;
    request.limit_age = Now() - known->rate_limit_at;
  }
  request.cold_limit = known->cold_limit.value_or(0.0);
  request.instance = m_context.instance;
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
    Log(LogEvent::kPermitNotAnswered,
        {{"endpoint", endpoint}, {"instance", GrantingInstance(endpoint, permit.is_cold)}});
    reply = PermitReply{false, kNoReplyRetryDelay};
  }
  if (reply->granted) {
    permit.granted_at = Now();
  }
  permit.retry_at = Now() + reply->wait;
  permit.timer = m_context.scheduler->After(reply->wait, [this] { NotifyListeners(); });
  if (permit.is_cold && !reply->granted && m_refused_timer == nullptr) {
    // The request that waits for this permit may have another endpoint now.
    m_refused_timer = m_context.scheduler->After(Duration(), [this] {
      m_refused_timer.reset();
      NotifyListeners();
    });
  }
}

void RateLimiter::NotifyListeners() {
  for (const std::function<void()>& listener : m_listeners) {
    listener();
  }
}

// When instances disagree on which of them are live, two may grant permits for one endpoint for as long as it takes to
// read the roster. A new one therefore grants its first permit only after one interval. For cold endpoints, an instance
// counts only when all others have read its row.
std::string RateLimiter::GrantingInstance(const std::string& endpoint, bool is_cold) const {
  const uint64_t seed = Hash64(endpoint);
  std::string best;
  uint64_t best_hash = 0;
  const std::vector<std::string> instances =
      is_cold && m_context.settled_instances ? m_context.settled_instances() : m_context.live_instances();
  for (const std::string& instance : instances) {
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
  endpoint.requested_at = Now();
  const TimePoint limit_at = Now() - request.limit_age;
  if (request.limit > 0.0 && (endpoint.limit <= 0.0 || limit_at >= endpoint.limit_at)) {
    endpoint.limit = request.limit;
    endpoint.limit_at = limit_at;
  }
  // Either instance may be the first to know that the endpoint is cold.
  const DirectoryEndpoint* known = m_context.endpoints->Find(request.endpoint);
  const double cold_limit = known != nullptr && known->is_cold() ? *known->cold_limit : request.cold_limit;
  const PermitReply reply =
      cold_limit > 0.0 ? GrantCold(request, cold_limit, &endpoint) : endpoint.pacer.Request(Now(), endpoint.limit);
  ++(reply.granted ? m_granted : m_refused);
  m_granted_cold += reply.granted && cold_limit > 0.0 ? 1 : 0;
  return reply;
}

// An instance that is cut off from the others must not grant permits on its own, and one that has lost its place to
// another must not either, whoever asks it.
PermitReply RateLimiter::GrantCold(const PermitRequest& request, double cold_limit, GrantedEndpoint* endpoint) {
  const GrantAuthority authority = m_context.grant_authority ? m_context.grant_authority() : GrantAuthority::kSettled;
  const double cold_pace = ColdPace(cold_limit, m_context.cold_bounds, authority);
  if (cold_pace <= 0.0 || GrantingInstance(request.endpoint, true) != m_context.instance) {
    return {false, kNoAuthorityRetryDelay};
  }
  if (request.limit <= 0.0) {
    return endpoint->cold_pacer.Request(Now(), cold_pace, request.instance);
  }
  // The cold period ends while the limit of the endpoint may go on, so both pacers count the permit.
  const PermitReply named = endpoint->pacer.Request(Now(), endpoint->limit);
  return named.granted ? endpoint->cold_pacer.Request(Now(), std::min(cold_pace, endpoint->limit), request.instance)
                       : named;
}

void RateLimiter::OnEndpointsChanged() {
  bool has_ended = false;
  for (const std::string& id : m_context.endpoints->RefreshCold()) {
    const DirectoryEndpoint* known = m_context.endpoints->Find(id);
    if (known == nullptr) {
      continue;
    }
    has_ended = has_ended || !known->is_cold();
    const Duration remaining = known->is_cold() ? *known->cold_period.until() - Now() : Duration();
    Log(known->is_cold() ? LogEvent::kEndpointCold : LogEvent::kEndpointWarm,
        {{"endpoint", id},
         {"requests_per_s", RateText(known->cold_limit)},
         {"pace", RateText(known->is_cold() ? std::optional<double>(ColdPace(*known->cold_limit, m_context.cold_bounds,
                                                                             GrantAuthority::kSettled))
                                            : std::nullopt)},
         {"remaining_ms", std::to_string(remaining.ms())},
         {"own_in_flight", std::to_string(known->in_flight)}});
  }
  const std::optional<TimePoint> next_end = m_context.endpoints->NextColdEnd();
  m_cold_timer.reset();
  if (next_end.has_value()) {
    m_cold_timer =
        m_context.scheduler->After(std::max(*next_end - Now(), Duration()), [this] { OnEndpointsChanged(); });
  }
  // Requests that wait for a permit no longer need one.
  if (has_ended) {
    NotifyListeners();
  }
}

void RateLimiter::RemoveUnused() {
  for (auto it = m_granted_endpoints.begin(); it != m_granted_endpoints.end();) {
    it = Now() - it->second.requested_at >= kUnusedLifetime ? m_granted_endpoints.erase(it) : std::next(it);
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
  if (head.cold_remaining.has_value()) {
    const bool was_cold = known->is_cold();
    m_context.endpoints->OnColdReport(endpoint, *head.cold_remaining);
    if (known->is_cold() != was_cold) {
      OnEndpointsChanged();
    }
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
