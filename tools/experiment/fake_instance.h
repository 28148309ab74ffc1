#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "state/admission.h"
#include "state/circuit_breaker.h"
#include "state/peer_load_table.h"
#include "state/router.h"
#include "state/slot_wait_queue.h"
#include "tools/experiment/event_queue.h"
#include "tools/experiment/fake_engine.h"
#include "tools/experiment/traffic.h"

namespace quetzalridge {

// How one request went.
struct RequestRecord {
  const TrafficRequest* request = nullptr;
  // Negative while there is none.
  double first_token_ms = -1;
  double end_ms = -1;
  int cached_tokens = 0;
  // The first endpoint that it was sent to; -1 for none.
  int endpoint = -1;
  int attempts = 0;
  int preemptions = 0;
  bool shed = false;
};

// Rules that an experiment switches on and off.
struct InstanceRules {
  bool breakers = true;
  // Engines serve first what admission ranks first.
  bool engine_priority = true;
  bool preempt = true;
  // Peers tell each other their requests in flight on each endpoint.
  bool peer_load = false;
  // Admitted requests wait at the instance while no endpoint has a free slot by the estimate.
  bool hold = false;
  // How long a peer's counts take to arrive, and the part of them that is lost.
  double peer_load_delay_ms = 1;
  double peer_load_loss = 0;
};

// An entry instance: admission, routing on lagged reports and late cache events with gaps, retries and preemption.
class FakeInstance {
 public:
  FakeInstance(EventQueue* queue, std::vector<std::unique_ptr<FakeEngine>>* engines, std::vector<EndpointState> view,
               std::string zone, std::unique_ptr<Router> router, std::unique_ptr<AdmissionPolicy> policy,
               InstanceRules rules, uint64_t seed);

  void Serve(RequestRecord* record);
  // Leaves an endpoint out, as after the platform's list changed.
  void MarkLeaving(size_t endpoint) { m_view[endpoint].leaving = true; }
  AdmissionPolicy* policy() { return m_policy.get(); }
  void OnPeerLoad(const std::string& peer, uint32_t sequence, const std::vector<EndpointCount>& counts);
  // Calls `send` when a count has changed, at most every 100 ms, and at least each second.
  void ReportLoad(std::function<void(uint32_t sequence, const std::vector<EndpointCount>& counts)> send,
                  std::vector<std::string> peers);

 private:
  struct Active {
    RequestRecord* record = nullptr;
    int tokens_left = 0;
    int endpoint = -1;
    int priority = 0;
    // The trial call of an open breaker.
    bool trial = false;
    bool preempted = false;
    // Sent and without a first token.
    bool awaiting_first_token = false;
    double held_since_ms = -1;
    std::vector<std::string> excluded;
  };

  void PollEngine(size_t endpoint);
  void ApplyLoad(size_t endpoint, int running, int queued, double at_ms);
  void ApplyCacheEvents(size_t endpoint, size_t next);
  void Tick();
  void Admit(uint64_t id);
  void Send(uint64_t id);
  void OnStarted(uint64_t id);
  void OnEnded(uint64_t id, bool ok, int tokens);
  void Settle();
  void SendHeld();
  void OnLoadChanged();
  void SendLoad();
  void UpdatePeerCounts();
  AdmissionRequest MakeAdmissionRequest(uint64_t id) const;
  int KnownSlots() const;

  EventQueue* m_queue;
  std::vector<std::unique_ptr<FakeEngine>>* m_engines;
  std::vector<EndpointState> m_view;
  std::string m_zone;
  std::unique_ptr<Router> m_router;
  std::unique_ptr<AdmissionPolicy> m_policy;
  InstanceRules m_rules;
  Random m_random;
  uint64_t m_last_id;
  std::map<uint64_t, Active> m_active;
  std::vector<CircuitBreaker> m_breakers;
  std::vector<std::vector<double>> m_sent_at_ms;
  std::vector<size_t> m_next_event;
  std::vector<int> m_own_starting;
  SlotWaitQueue m_held;
  PeerLoadTable m_peer_load;
  std::function<void(uint32_t, const std::vector<EndpointCount>&)> m_send_load;
  std::vector<std::string> m_peers;
  uint32_t m_load_sequence = 0;
  double m_load_sent_ms = 0;
  bool m_load_due = false;
};

}  // namespace quetzalridge
