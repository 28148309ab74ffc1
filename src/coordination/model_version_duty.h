#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/callback_guard.h"
#include "coordination/duty.h"
#include "coordination/model_order_client.h"
#include "coordination/request_gate.h"
#include "coordination/scheduler.h"
#include "state/endpoint_directory.h"
#include "state/model_placement.h"
#include "state/serving_config.h"

namespace quetzalridge {

struct ModelVersionContext {
  Scheduler* scheduler = nullptr;
  const RouteTable* routes = nullptr;
  EndpointDirectory* endpoints = nullptr;
  ModelOrderClient* orders = nullptr;
  // The newest version that a trainer has announced for the model; 0 if there is none.
  std::function<int64_t(const std::string& model)> newest_version;
  // See ModelTarget::version_lag.
  std::function<int64_t(const std::string& model)> version_lag;
  // Notifies the owners of the model's jobs that an endpoint has loaded a version. The registry shows this only later.
  std::function<void(const std::string& endpoint, const std::string& model, int64_t version)> notify_loaded;
};

// The duty that makes the endpoints load new versions of the models. A duty runs only on the instance that holds its
// lease.
class ModelVersionDuty : public Duty {
 public:
  ModelVersionDuty(ModelVersionContext context, Duration request_timeout);

  void OnAcquired(const Lease* lease) override;
  void OnLost() override;
  void Stop() override;
  bool IsIdle() const override { return m_orders_in_flight == 0 && m_gate->IsIdle(); }

 private:
  // An order to load a version that is not known to be finished yet.
  struct PendingLoad {
    std::string model;
    int64_t version = 0;
    TimePoint started_at;
    // The engine has accepted the order; its state is read to find out when the load is finished.
    bool accepted = false;
    bool query_in_flight = false;
    TimePoint queried_at;
  };

  TimePoint Now() const { return m_context.scheduler->clock().Now(); }
  void Poll();
  void PlanService(const BackendService& service);
  void RemoveFinishedLoads();
  void QueryLoadingEngines();
  void StartLoad(const ModelLoad& load);
  void OnEngineState(const ModelLoad& load, int64_t fence, const EngineState& state);
  void OnLoadOutcome(const ModelLoad& load, ModelOrderOutcome outcome);

  ModelVersionContext m_context;
  std::shared_ptr<RequestGate> m_gate;
  const Lease* m_lease = nullptr;
  // By endpoint id.
  std::map<std::string, PendingLoad> m_pending_loads;
  // When the last order for an endpoint that was cold then began.
  std::map<std::string, TimePoint> m_cold_ordered_at;
  int m_orders_in_flight = 0;
  std::unique_ptr<Timer> m_timer;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
