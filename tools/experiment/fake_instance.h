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
#include "state/router.h"
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

 private:
  struct Active {
    bool breaker_trial = false;
    RequestRecord* record = nullptr;
    int tokens_left = 0;
    int endpoint = -1;
    int priority = 0;
    bool preempted = false;
    std::vector<std::string> excluded;
  };

  void PollEngine(size_t endpoint);
  void ApplyLoad(size_t endpoint, int running, int queued, double at_ms);
  void ApplyCacheEvents(size_t endpoint, size_t next);
  void Tick();
  void Admit(uint64_t id);
  void Send(uint64_t id);
  void OnEnded(uint64_t id, bool ok, int tokens);
  void Settle();
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
};

}  // namespace quetzalridge
