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

// Owns the duties, which are the tasks that only one instance at a time performs for the whole deployment: an OrderDuty
// for each availability zone, a WeightRollout for each service of kind "inference", the UsageDuty and the CleanupDuty.
// Adds and removes duties when the configuration changes.
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

  // Adds the duties to the duty manager and starts it.
  void Start();

 private:
  void Update();
  void UpdateOrderDuties();
  void UpdateWeightRollouts();

  Collaborators m_collaborators;
  OrderDutyOptions m_order_options;
  PerWorkspaceUsageReporter m_usage_reporter;
  UsageDuty m_usage_duty;
  CleanupDuty m_cleanup_duty;
  std::map<std::string, std::unique_ptr<OrderDuty>> m_order_duties;
  std::map<std::string, std::unique_ptr<WeightRollout>> m_weight_rollouts;
};

}  // namespace quetzalridge
