#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "tools/experiment/deployment.h"
#include "tools/experiment/fake_instance.h"

namespace quetzalridge {

struct ServingOptions {
  Deployment deployment;
  EngineModel engine;
  InstanceRules rules;
  std::vector<TrafficSource> sources;
  std::function<std::unique_ptr<Router>(uint64_t seed)> make_router;
  std::function<std::unique_ptr<AdmissionPolicy>()> make_policy;
  double end_ms = 120'000;
  // When all endpoints of the first zone go silent; negative for never.
  double zone_loss_ms = -1;
  // After this time the platform's list no longer shows lost endpoints.
  double list_lag_ms = 30'000;
  uint64_t seed = 1;
};

// Several instances that route the same seeded traffic to fake engines.
class ServingWorld {
 public:
  explicit ServingWorld(ServingOptions options);
  // Runs to the end and some time more, so that late requests end. One record for each request.
  const std::vector<RequestRecord>& Run();

 private:
  void ConnectPeers();
  void ExchangeDemand();
  void LoseZone();

  ServingOptions m_options;
  Random m_random;
  EventQueue m_queue;
  std::vector<std::unique_ptr<FakeEngine>> m_engines;
  std::vector<std::unique_ptr<FakeInstance>> m_instances;
  std::vector<TrafficRequest> m_traffic;
  std::vector<RequestRecord> m_records;
};

// Milliseconds from arrival to the first token; shed and failed requests count as `missing_ms`.
double FirstTokenLatency(const RequestRecord& record, double missing_ms);

}  // namespace quetzalridge
