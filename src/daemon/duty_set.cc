#include "daemon/duty_set.h"

#include <utility>

#include "base/clock.h"

namespace quetzalridge {

namespace {

// Removes the duties whose availability zone or service is no longer in the configuration.
template <typename DutyMap, typename Predicate>
void RemoveUnconfiguredDuties(const std::string& prefix, DutyManager* manager, DutyMap* duties,
                              const Predicate& is_configured) {
  for (auto it = duties->begin(); it != duties->end();) {
    if (is_configured(it->first)) {
      ++it;
      continue;
    }
    manager->RemoveDuty(prefix + it->first);
    it = duties->erase(it);
  }
}

}  // namespace

DutySet::DutySet(Collaborators collaborators, OrderDutyOptions order_options, UsageDutyOptions usage_options,
                 CleanupOptions cleanup_options)
    : m_collaborators(collaborators),
      m_order_options(order_options),
      m_usage_reporter(collaborators.platform),
      m_usage_duty(collaborators.table, collaborators.scheduler, &m_usage_reporter, &WallClockMilliseconds,
                   usage_options),
      m_cleanup_duty(collaborators.table, collaborators.objects, collaborators.scheduler, cleanup_options) {}

void DutySet::Start() {
  m_collaborators.manager->AddDuty("usage", &m_usage_duty);
  m_collaborators.manager->AddDuty("cleanup", &m_cleanup_duty);
  m_collaborators.config->AddListener([this](const ConfigChange& change) {
    if (change.kind == ConfigKind::kZone || change.kind == ConfigKind::kService) {
      Update();
    }
  });
  Update();
  m_collaborators.manager->Start();
}

void DutySet::Update() {
  UpdateOrderDuties();
  UpdateWeightRollouts();
}

void DutySet::UpdateOrderDuties() {
  const auto& zones = m_collaborators.config->document().zones();
  RemoveUnconfiguredDuties("order/", m_collaborators.manager, &m_order_duties,
                           [&](const std::string& zone) { return zones.count(zone) > 0; });
  for (const auto& [zone, config] : zones) {
    if (m_order_duties.count(zone) > 0) {
      continue;
    }
    auto duty = std::make_unique<OrderDuty>(m_collaborators.table, m_collaborators.scheduler, m_collaborators.platform,
                                            m_collaborators.targets, zone, m_order_options);
    m_collaborators.manager->AddDuty("order/" + zone, duty.get());
    m_order_duties[zone] = std::move(duty);
  }
}

void DutySet::UpdateWeightRollouts() {
  const auto& services = m_collaborators.config->document().services();
  const auto is_inference = [&](const std::string& name) {
    const auto it = services.find(name);
    return it != services.end() && it->second.kind == ServiceKind::kInference;
  };
  RemoveUnconfiguredDuties("weights/", m_collaborators.manager, &m_weight_rollouts, is_inference);
  for (const auto& [name, service] : services) {
    if (!is_inference(name) || m_weight_rollouts.count(name) > 0) {
      continue;
    }
    WeightRolloutPlanOptions options;
    options.max_swaps_per_second = service.weight_loads_per_second;
    auto duty =
        std::make_unique<WeightRollout>(WeightRolloutContext{m_collaborators.platform, m_collaborators.endpoints,
                                                             m_collaborators.engines, m_collaborators.scheduler},
                                        name, options);
    m_collaborators.manager->AddDuty("weights/" + name, duty.get());
    m_weight_rollouts[name] = std::move(duty);
  }
}

}  // namespace quetzalridge
