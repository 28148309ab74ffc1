#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/config_view.h"
#include "coordination/endpoint_view.h"
#include "coordination/platform.h"
#include "coordination/scheduler.h"
#include "daemon/mechanisms.h"
#include "state/circuit_breaker.h"
#include "state/peer_load_table.h"
#include "state/router.h"
#include "transport/engine_client.h"

namespace quetzalridge {

struct EndpointRegistryOptions {
  Duration load_poll_interval = Duration::Milliseconds(500);
  Duration list_poll_interval = Duration::Milliseconds(1000);
  Mechanisms mechanisms = {};
};

// What the result of a call says about its endpoint, for the circuit breaker.
enum class CallEffect {
  kSuccess,
  kFailure,
  // Nothing, for example because the caller disconnected.
  kNone,
};

// Keeps the state of all endpoints, which come from the configuration and from the platform's list. Polls the load and
// the cache events of inference endpoints, counts the calls in flight, and has a circuit breaker for each endpoint.
class EndpointRegistry : public EndpointView {
 public:
  using ListReceiver = std::function<void(const InstanceListResult& list)>;

  EndpointRegistry(Scheduler* scheduler, ConfigView* config, Platform* platform, EngineClient* engines, Router* router,
                   EndpointRegistryOptions options);
  ~EndpointRegistry() override;

  // The receiver gets each list of the platform that is at least as new as the list before.
  void SetListReceiver(ListReceiver receiver) { m_list_receiver = std::move(receiver); }
  // Begins polling.
  void Start();

  const std::vector<EndpointState>& endpoints() const override { return m_endpoints; }
  void SetAside(const std::string& endpoint_id, bool set_aside) override;

  // Returns the endpoints of the service that may receive a call now. A reserved endpoint is returned only to the owner
  // of the reservation.
  std::vector<EndpointState> Available(const std::string& service, uint64_t owner) const;
  // Returns the total number of slots, free or not, of the service's endpoints that are in service.
  int Capacity(const std::string& service) const;
  const EndpointState* Find(const std::string& endpoint_id) const;
  // Returns whether an endpoint of the service is reserved that could otherwise receive calls.
  bool IsAnyReserved(const std::string& service) const;

  // Reserves the endpoint: only the owner may start new calls on it. `owner` is the id of a run and must not be 0,
  // which means that the endpoint is not reserved. Release ends all reservations of the owner.
  void Reserve(const std::string& endpoint_id, uint64_t owner);
  void Release(uint64_t owner);

  // Returns true if the call is the trial call of an open circuit breaker. The caller passes this value to OnCallEnded.
  bool OnCallStarted(const std::string& endpoint_id);
  void OnCallEnded(const std::string& endpoint_id, CallEffect effect, bool is_breaker_trial);
  // Called when a call with a streamed response starts, and when its first piece arrives or the call ends. In between,
  // the engine processes the prompt.
  void StartAwaitingFirstToken(const std::string& endpoint_id) { ChangeAwaitingFirstToken(endpoint_id, 1); }
  void StopAwaitingFirstToken(const std::string& endpoint_id) { ChangeAwaitingFirstToken(endpoint_id, -1); }

  // Returns this instance's calls in flight on each endpoint that has any, endpoints with the most calls first.
  std::vector<EndpointCount> OwnCounts() const;
  // The callback runs when a count of OwnCounts has changed.
  void SetCountsChangedCallback(std::function<void()> callback) { m_counts_changed_callback = std::move(callback); }
  // Stores the sum of the peers' counts for each endpoint. `all_counted` is true if there is a recent report of each
  // peer.
  void ApplyPeerCounts(const std::function<EndpointCount(uint32_t endpoint_hash)>& sum, bool all_counted);

  // Updates the endpoints from the configuration and the last list of the platform.
  void Refresh();

 private:
  // Data about an endpoint that routers do not need.
  struct Record {
    bool from_platform = false;
    // False for plain services, which report neither load nor cache events.
    bool is_polled = true;
    bool load_poll_pending = false;
    bool cache_poll_pending = false;
    int64_t next_cache_event = 0;
    // 0 if the endpoint is not reserved.
    uint64_t reserved_by = 0;
    // Calls of this instance and of its peers that have not received their first token.
    int own_awaiting_first_token = 0;
    int peer_awaiting_first_token = 0;
    CircuitBreaker breaker;
    // Start times of this instance's calls that the last load report cannot include.
    std::deque<TimePoint> recent_starts;
  };

  void OnList(const InstanceListResult& result);
  void PollList();
  void PollEndpoints();
  void PollEndpoint(const std::string& endpoint_id);
  void OnLoad(const std::string& endpoint_id, const std::optional<EngineLoad>& load);
  void OnCacheEvents(const std::string& endpoint_id, const std::optional<CacheEventBatch>& batch);
  // Returns the endpoints of the configuration and of the platform's list, by id.
  std::map<std::string, EndpointState> MergeSources() const;
  EndpointState* FindMutable(const std::string& endpoint_id);
  void ChangeAwaitingFirstToken(const std::string& endpoint_id, int change);
  void NotifyCountsChanged();
  bool IsUsable(const EndpointState& endpoint, uint64_t owner) const;
  bool IsAnyReachable(const std::string& service) const;

  Scheduler* m_scheduler;
  ConfigView* m_config;
  Platform* m_platform;
  EngineClient* m_engines;
  Router* m_router;
  EndpointRegistryOptions m_options;
  ListReceiver m_list_receiver;
  std::vector<EndpointState> m_endpoints;
  std::map<std::string, Record> m_records;
  std::vector<PlatformInstance> m_platform_instances;
  int64_t m_list_revision = -1;
  int m_pending_list_requests = 0;
  std::function<void()> m_counts_changed_callback;
  std::unique_ptr<Timer> m_list_timer;
  std::unique_ptr<Timer> m_load_timer;
  // False after the destructor, for callbacks that are still pending then.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
