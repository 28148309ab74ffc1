#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/cleanup_duty.h"
#include "coordination/config_view.h"
#include "coordination/duty_manager.h"
#include "coordination/order_duty.h"
#include "coordination/order_target_source.h"
#include "coordination/usage_duty.h"
#include "coordination/weight_rollout.h"

namespace quetzalridge {

// Keeps one duty per availability zone, one per model service, the usage duty and the cleanup duty, as the
// configuration changes.
class DutySet {
 public:
  struct Collaborators {
    TableStore* table = nullptr;
    ObjectStore* objects = nullptr;
    Scheduler* scheduler = nullptr;
    Platform* platform = nullptr;
    EndpointView* endpoints = nullptr;
    EngineControl* engines = nullptr;
    OrderTargetSource* targets = nullptr;
    ConfigView* config = nullptr;
    DutyManager* manager = nullptr;
  };

  DutySet(Collaborators collaborators, OrderDutyOptions order_options, UsageDutyOptions usage_options,
          CleanupOptions cleanup_options);

  void Start();

 private:
  void Update();
  void UpdateOrders();
  void UpdateWeights();

  Collaborators m_collaborators;
  OrderDutyOptions m_order_options;
  PerWorkspaceUsageReporter m_usage_reporter;
  UsageDuty m_usage;
  CleanupDuty m_cleanup;
  std::map<std::string, std::unique_ptr<OrderDuty>> m_orders;
  std::map<std::string, std::unique_ptr<WeightRollout>> m_weights;
};

}  // namespace quetzalridge
