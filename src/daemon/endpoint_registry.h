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

// What an ended call says about its endpoint.
enum class CallEffect {
  kSuccess,
  kFailure,
  // Nothing, for example because the caller left.
  kNone,
};

// The endpoints of the configuration and of the platform's list, with their load, cache events and circuit breakers.
class EndpointRegistry : public EndpointView {
 public:
  using ListReceiver = std::function<void(const InstanceListResult& list)>;

  EndpointRegistry(Scheduler* scheduler, ConfigView* config, Platform* platform, EngineClient* engines, Router* router,
                   EndpointRegistryOptions options);
  ~EndpointRegistry() override;

  // Gets each list of the platform that is at least as new as the one before.
  void SetListReceiver(ListReceiver receiver) { m_list_receiver = std::move(receiver); }
  // Begins polling.
  void Start();

  const std::vector<EndpointState>& endpoints() const override { return m_endpoints; }
  void SetAside(const std::string& endpoint_id, bool set_aside) override;

  // The endpoints of the service that may take a call now. Reserved endpoints are listed for their owner only.
  std::vector<EndpointState> Available(const std::string& service, uint64_t owner) const;
  // Slots of the service's endpoints that are in use.
  int Capacity(const std::string& service) const;
  const EndpointState* Find(const std::string& endpoint_id) const;
  // True when a reservation keeps calls from an otherwise usable endpoint of the service.
  bool IsAnyReserved(const std::string& service) const;

  // Keeps new calls of others from the endpoint. 0 is no owner.
  void Reserve(const std::string& endpoint_id, uint64_t owner);
  void Release(uint64_t owner);

  // True when the call is the trial of an open circuit breaker; said again when the call ends.
  bool OnCallStarted(const std::string& endpoint_id);
  void OnCallEnded(const std::string& endpoint_id, CallEffect effect, bool is_breaker_trial);
  // The prompt of a call with a streamed answer is being processed, until its first piece arrives.
  void StartAwaitingFirstToken(const std::string& endpoint_id) { ChangeAwaitingFirstToken(endpoint_id, 1); }
  void StopAwaitingFirstToken(const std::string& endpoint_id) { ChangeAwaitingFirstToken(endpoint_id, -1); }

  // This instance's calls in flight on each endpoint that has any; the most loaded come first.
  std::vector<EndpointCount> OwnCounts() const;
  // Called when a count of OwnCounts has changed.
  void SetCountsChangedCallback(std::function<void()> callback) { m_counts_changed_callback = std::move(callback); }
  // Enters the sums of the peers' counts; `all_counted` when no peer is silent.
  void ApplyPeerCounts(const std::function<EndpointCount(uint32_t endpoint_hash)>& sum, bool all_counted);

  // Reads the configuration and the last list again; tests call it without waiting for a poll.
  void Refresh();

 private:
  // What is kept beside the state that routers see.
  struct Record {
    bool from_platform = false;
    bool is_polled = true;
    bool load_poll_pending = false;
    bool cache_poll_pending = false;
    int64_t next_cache_event = 0;
    uint64_t reserved_by = 0;
    int own_awaiting_first_token = 0;
    int peer_awaiting_first_token = 0;
    CircuitBreaker breaker;
    std::deque<TimePoint> recent_starts;
  };

  void OnList(const InstanceListResult& result);
  void PollList();
  void PollEndpoints();
  void PollEndpoint(const std::string& endpoint_id);
  void OnLoad(const std::string& endpoint_id, const std::optional<EngineLoad>& load);
  void OnCacheEvents(const std::string& endpoint_id, const std::optional<CacheEventBatch>& batch);
  std::map<std::string, EndpointState> MergeSources() const;
  EndpointState* FindMutable(const std::string& endpoint_id);
  void ChangeAwaitingFirstToken(const std::string& endpoint_id, int change);
  void OnCountsChanged();
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
  // Callbacks of calls in flight look here whether the registry still exists.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
