#include "coordination/reward_call_dispatcher.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "coordination/avoid_endpoint.h"
#include "state/endpoint_choice.h"
#include "state/split_choice.h"

namespace quetzalridge {

namespace {

// The first attempt may take this many times the target latency of its route; scoring times vary by a factor of five.
constexpr int kTimeoutPerTargetLatency = 5;
constexpr Duration kDefaultTimeout = Duration::Milliseconds(800);
// Each timeout doubles the time of the next attempt, up to this limit, in case the whole service is slow.
constexpr Duration kMaxTimeout = Duration::Milliseconds(2400);
constexpr int kMaxDoublings = 4;
// A full endpoint has a free slot again after about the duration of one call.
constexpr Duration kRefusedRetryDelay = Duration::Milliseconds(30);
// Also short, since a call that fails for good must end before the trainer has to wait for it.
constexpr Duration kFailedRetryDelay = Duration::Milliseconds(50);
// After this many attempts without a usable response, further ones are spread out.
constexpr int kMaxFastAttempts = 8;
constexpr Duration kSlowRetryDelay = Duration::Seconds(1);
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kStatusRunFailed = 500;

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

// One attempt of a reward call on one endpoint. The body of the response has no meaning and is not kept.
class RewardCallDispatcher::Attempt : public EndpointCallObserver {
 public:
  Attempt(RewardCallDispatcher* dispatcher, Key key, std::string endpoint)
      : m_dispatcher(dispatcher),
        m_key(key),
        m_endpoint(std::move(endpoint)),
        m_count(dispatcher->m_context.endpoints, m_endpoint) {}
  ~Attempt() override = default;
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  void Begin(EndpointCall call) { m_exchange = m_dispatcher->m_context.caller->Start(std::move(call), this); }

  void OnHead(const EndpointResponseHead& head) override {
    m_head = head;
    m_dispatcher->m_context.endpoints->OnResponse(m_endpoint);
  }
  void OnBody(std::string_view) override {}
  void OnEvent(const StreamEvent&) override {}
  void OnEnd(const EndpointCallResult& result) override {
    // This call destroys the attempt.
    m_dispatcher->OnAttemptEnded(m_key, result);
  }

  const std::string& endpoint() const { return m_endpoint; }
  const std::optional<EndpointResponseHead>& head() const { return m_head; }

 private:
  RewardCallDispatcher* m_dispatcher;
  Key m_key;
  std::string m_endpoint;
  EndpointCallCount m_count;
  std::optional<EndpointResponseHead> m_head;
  std::unique_ptr<EndpointExchange> m_exchange;
};

RewardCallDispatcher::RewardCallDispatcher(RewardCallContext context, uint64_t seed)
    : m_context(std::move(context)), m_random(seed) {}

RewardCallDispatcher::~RewardCallDispatcher() = default;

void RewardCallDispatcher::Add(RewardCallOwner* owner, size_t item, const RewardCall* call) {
  PendingCall& pending = m_calls[{owner, item}];
  pending.call = call;
  pending.ready_at = Now();
  m_context.calls_ready();
}

void RewardCallDispatcher::Cancel(RewardCallOwner* owner, size_t item) {
  m_calls.erase({owner, item});
}

void RewardCallDispatcher::CancelAll(RewardCallOwner* owner) {
  m_calls.erase(m_calls.lower_bound({owner, 0}), m_calls.upper_bound({owner, std::numeric_limits<size_t>::max()}));
}

int RewardCallDispatcher::in_flight() const {
  return static_cast<int>(
      std::count_if(m_calls.begin(), m_calls.end(), [](const auto& entry) { return entry.second.attempt != nullptr; }));
}

const ServiceRoute* RewardCallDispatcher::RouteOf(const RewardCall& call) const {
  const ServiceRoute* route = m_context.routes->FindRoute(call.host, PathOf(call.target));
  const bool usable = route != nullptr && route->malformed.empty() && route->kind != RouteKind::kBatch;
  return usable ? route : nullptr;
}

void RewardCallDispatcher::StartWaiting() {
  std::vector<Key> keys;
  std::vector<WaitingRewardCall> waiting;
  for (const auto& [key, pending] : m_calls) {
    if (pending.attempt == nullptr && Now() >= pending.not_before && key.first->MayStartRewardCalls()) {
      WaitingRewardCall call = key.first->UrgencyOf(key.second);
      call.ready_at = pending.ready_at;
      keys.push_back(key);
      waiting.push_back(call);
    }
  }
  if (waiting.empty()) {
    return;
  }
  std::map<std::string, ServiceLoad> loads = LoadByService();
  for (const size_t index : m_context.policy->Order(waiting)) {
    TryStart(keys[index], &m_calls.at(keys[index]), &loads);
  }
}

std::map<std::string, RewardCallDispatcher::ServiceLoad> RewardCallDispatcher::LoadByService() const {
  std::map<std::string, ServiceLoad> loads;
  for (const auto& [key, pending] : m_calls) {
    if (pending.attempt != nullptr) {
      ServiceLoad& load = loads[pending.service];
      ++load.in_flight;
      load.retries += pending.attempts > 1 ? 1 : 0;
    }
  }
  return loads;
}

void RewardCallDispatcher::TryStart(const Key& key, PendingCall* pending, std::map<std::string, ServiceLoad>* loads) {
  const RewardCall& call = *pending->call;
  const ServiceRoute* route = RouteOf(call);
  if (route == nullptr) {
    Retry(key, pending, kSlowRetryDelay, "no route for " + call.host + PathOf(call.target));
    return;
  }
  const HomeRegions regions = m_context.routes->HomeRegionsOf(*route, key.first->workspace());
  const Duration waited = Now() - pending->ready_at;
  for (const std::string& service : ChooseServices(*route, Hash64(call.id), *m_context.endpoints, regions, waited)) {
    if (TryStartAt(service, *route, regions, key, pending, &(*loads)[service])) {
      return;
    }
  }
}

bool RewardCallDispatcher::TryStartAt(const std::string& service, const ServiceRoute& route, const HomeRegions& regions,
                                      const Key& key, PendingCall* pending, ServiceLoad* load) {
  const RewardCall& call = *pending->call;
  const bool is_retry = pending->attempts > 0;
  std::vector<const DirectoryEndpoint*> usable = m_context.endpoints->Usable(service, regions);
  const RewardCallLimits limits = m_context.policy->Limits(usable, m_context.instances());
  if (load->in_flight >= limits.in_flight || (is_retry && load->retries >= limits.retries)) {
    return false;
  }
  usable.erase(
      std::remove_if(usable.begin(), usable.end(),
                     [this](const DirectoryEndpoint* endpoint) { return !m_context.policy->CanTake(*endpoint); }),
      usable.end());
  const DirectoryEndpoint* endpoint = ChooseWithPermit(
      m_context.permits, usable, [this, pending](const std::vector<const DirectoryEndpoint*>& candidates) {
        return ChooseForRequest(candidates, m_context.zone, pending->tried, &m_random);
      });
  if (endpoint == nullptr) {
    return false;
  }
  const Duration first_timeout =
      route.target_latency > Duration() ? route.target_latency * kTimeoutPerTargetLatency : kDefaultTimeout;
  EndpointCall request;
  request.endpoint_id = endpoint->entry.id;
  request.address = endpoint->entry.address;
  request.host = call.host;
  request.target = call.target;
  request.body = call.body;
  request.request_id = call.id;
  request.time_left = std::min(first_timeout * (int64_t{1} << std::min(pending->timeouts, kMaxDoublings)), kMaxTimeout);
  request.head_timeout = request.time_left;
  request.idle_timeout = request.time_left;
  request.is_repeatable = true;
  request.home_regions = regions;
  Log(LogEvent::kRewardCallSent, {{"job", key.first->job()},
                                  {"call", call.id},
                                  {"endpoint", endpoint->entry.id},
                                  {"waited_ms", std::to_string((Now() - pending->ready_at).ms())},
                                  {"timeout_ms", std::to_string(request.time_left.ms())}});
  ++load->in_flight;
  load->retries += is_retry ? 1 : 0;
  ++pending->attempts;
  pending->tried.insert(endpoint->entry.id);
  pending->service = service;
  pending->attempt = std::make_unique<Attempt>(this, key, endpoint->entry.id);
  pending->attempt->Begin(std::move(request));
  return true;
}

void RewardCallDispatcher::OnAttemptEnded(const Key& key, const EndpointCallResult& result) {
  PendingCall& pending = m_calls.at(key);
  const std::unique_ptr<Attempt> attempt = std::move(pending.attempt);
  const std::string& endpoint = attempt->endpoint();
  const bool complete = result.outcome == EndpointCallOutcome::kComplete && attempt->head().has_value();
  const EndpointResponseHead head = attempt->head().value_or(EndpointResponseHead());
  if (head.wrong_endpoint || head.not_run) {
    // A refused attempt did not run, so it does not count as one.
    --pending.attempts;
    if (head.wrong_endpoint) {
      m_context.endpoints->OnAddressReassigned(endpoint);
    } else {
      m_context.endpoints->OnFull(endpoint);
    }
    Retry(key, &pending, kRefusedRetryDelay, "refused by " + endpoint);
    return;
  }
  if (complete && head.status >= kFirstSuccess && head.status < kFirstRedirect && !head.signature.empty()) {
    m_calls.erase(key);
    m_context.calls_ready();
    key.first->OnScore(key.second, head.signature);
    return;
  }
  pending.timeouts += result.timed_out ? 1 : 0;
  if (!attempt->head().has_value() && result.blames_endpoint()) {
    AvoidEndpoint(m_context.endpoints, endpoint, result.detail);
  }
  if (complete && head.status == kStatusRunFailed) {
    ++pending.failed_responses;
    const ServiceRoute* route = RouteOf(*pending.call);
    const int route_attempts = route == nullptr ? 0 : route->max_attempts;
    if (pending.failed_responses >= std::max({route_attempts, key.first->MinFailedResponses(), 1})) {
      m_calls.erase(key);
      m_context.calls_ready();
      key.first->OnRewardCallFailed(key.second, "its reward call failed as often as the routes allow");
      return;
    }
  }
  Retry(key, &pending, pending.attempts < kMaxFastAttempts ? kFailedRetryDelay : kSlowRetryDelay,
        "status " + std::to_string(head.status) + " from " + endpoint + " " + result.detail);
}

void RewardCallDispatcher::Retry(const Key& key, PendingCall* pending, Duration delay, const std::string& reason) {
  pending->not_before = Now() + delay;
  Log(LogEvent::kRewardCallFailed, {{"job", key.first->job()},
                                    {"call", pending->call->id},
                                    {"reason", reason},
                                    {"attempts", std::to_string(pending->attempts)},
                                    {"failed_responses", std::to_string(pending->failed_responses)},
                                    {"retry_ms", std::to_string(delay.ms())}});
  m_context.calls_ready();
}

}  // namespace quetzalridge
