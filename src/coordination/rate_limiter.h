#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/endpoint_caller.h"
#include "coordination/scheduler.h"
#include "coordination/send_permits.h"
#include "state/cold_endpoint.h"
#include "state/endpoint_directory.h"
#include "state/request_pacer.h"

namespace quetzalridge {

struct PermitRequest {
  std::string endpoint;
  // The endpoint's limit in requests per second, and how long ago the asking instance received it.
  double limit = 0.0;
  Duration limit_age;
  // The requests per second that the endpoint tolerates while it is cold; 0 if it is not. `limit` is 0 if the endpoint
  // has set none.
  double cold_limit = 0.0;
  // The asking instance; only for cold endpoints.
  std::string instance = {};
};

// Asks another instance for a permit.
class PermitClient {
 public:
  virtual ~PermitClient() = default;
  // The callback receives nothing if the instance does not answer.
  virtual void Ask(const std::string& instance, const PermitRequest& request,
                   std::function<void(std::optional<PermitReply>)> callback) = 0;
};

// All pointers must outlive the rate limiter.
struct RateLimiterContext {
  Scheduler* scheduler = nullptr;
  EndpointCaller* caller = nullptr;
  EndpointDirectory* endpoints = nullptr;
  PermitClient* client = nullptr;
  // The name of this instance.
  std::string instance;
  std::function<std::vector<std::string>()> live_instances;
  // The live instances that all others know by now. They grant the permits for cold endpoints; `live_instances` if
  // null.
  std::function<std::vector<std::string>()> settled_instances;
  // Whether this instance may grant permits for cold endpoints; always if null.
  std::function<GrantAuthority()> grant_authority;
  ColdBounds cold_bounds;
};

// Passes calls on to endpoints, and keeps all instances together below the rate limits that endpoints set in their
// responses, and below what cold endpoints tolerate. One instance, chosen by rendezvous hashing, grants the permits for
// an endpoint; the others ask it for one permit for each call.
class RateLimiter : public EndpointCaller, public SendPermits {
 public:
  explicit RateLimiter(RateLimiterContext context) : m_context(std::move(context)) {}

  // A call that needs a permit and has none ends as not sent.
  std::unique_ptr<EndpointExchange> Start(EndpointCall call, EndpointCallObserver* observer) override;

  bool MaySend(const std::string& endpoint) const override;
  void Request(const std::string& endpoint) override;
  Duration WaitFor(const std::string& endpoint) const override;

  // Grants or refuses a permit to another instance, or to this one.
  PermitReply Grant(const PermitRequest& request);
  // Must be called when the directory has changed. Cold periods begin and end here, and at the times that the directory
  // names.
  void OnEndpointsChanged();
  // Permits that this instance has granted and refused, to itself and to others.
  int64_t granted() const { return m_granted; }
  int64_t refused() const { return m_refused; }
  // Those of the granted permits that were for cold endpoints.
  int64_t granted_cold() const { return m_granted_cold; }
  // Calls of this instance to cold endpoints.
  int64_t cold_calls() const { return m_cold_calls; }
  // The listener is called when a permit was granted or may be requested again.
  void AddListener(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

 private:
  class Exchange;
  class UnsentCall;

  // What this instance knows about its own permit for an endpoint.
  struct Permit {
    bool requested = false;
    // The permit was requested for a cold endpoint.
    bool is_cold = false;
    TimePoint requested_at;
    std::optional<TimePoint> granted_at;
    // No permit is requested before this time.
    TimePoint retry_at;
    std::unique_ptr<Timer> timer;
  };
  // The pacer of an endpoint whose permits this instance grants.
  struct GrantedEndpoint {
    RequestPacer pacer;
    ColdPacer cold_pacer;
    TimePoint requested_at;
    double limit = 0.0;
    // When the instance that reported the limit received it.
    TimePoint limit_at;
  };

  TimePoint Now() const { return m_context.scheduler->clock().Now(); }
  bool IsValid(const Permit& permit, const DirectoryEndpoint& endpoint) const;
  // Uses up the permit for one call. Returns false if the endpoint has a limit and this instance has no permit.
  bool Take(const std::string& endpoint);
  // The instance that grants the permits for the endpoint, also while it is cold; empty if no instance is known.
  std::string GrantingInstance(const std::string& endpoint, bool is_cold) const;
  // Grants or refuses a permit for a cold endpoint. `cold_limit` is what is known
  // here, or else what the asking instance knows.
  PermitReply GrantCold(const PermitRequest& request, double cold_limit, GrantedEndpoint* endpoint);
  void NotifyListeners();
  void OnReply(const std::string& endpoint, std::optional<PermitReply> reply);
  // Records the limit in the head of a response to a call that was started at `started_at`.
  void OnHead(const std::string& endpoint, const EndpointResponseHead& head, TimePoint started_at);
  void RemoveUnused();

  RateLimiterContext m_context;
  std::map<std::string, Permit> m_permits;
  std::map<std::string, GrantedEndpoint> m_granted_endpoints;
  int64_t m_granted = 0;
  int64_t m_refused = 0;
  int64_t m_granted_cold = 0;
  int64_t m_cold_calls = 0;
  std::unique_ptr<Timer> m_cold_timer;
  // Set while the listeners are to be called because a permit for a cold endpoint was refused.
  std::unique_ptr<Timer> m_refused_timer;
  std::vector<std::function<void()>> m_listeners;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
