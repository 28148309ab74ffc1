#include "coordination/order_target_source.h"

#include <utility>

namespace quetzalridge {

PlannedTargetSource::PlannedTargetSource(const ConfigView* config, PlannerFactory planner_factory, DemandSource demand,
                                         std::function<int64_t()> wall_ms)
    : m_config(config),
      m_planner_factory(std::move(planner_factory)),
      m_demand_source(std::move(demand)),
      m_wall_ms(std::move(wall_ms)) {}

std::vector<ServiceTarget> PlannedTargetSource::GetTargets(const std::string& zone,
                                                           const std::vector<PlatformInstance>& instances,
                                                           TimePoint now) {
  ReportReclaims(instances, now);
  std::vector<ServiceTarget> targets;
  for (const auto& [service, config] : m_config->document().services()) {
    const CapacityPlan plan = FindOrCreatePlanner(service)->Plan(MakeInput(service, instances), now);
    for (const ZoneTarget& target : plan.targets) {
      if (target.zone == zone) {
        targets.push_back({service, target.steady, target.cheap});
      }
    }
  }
  return targets;
}

CapacityPlanner* PlannedTargetSource::FindOrCreatePlanner(const std::string& service) {
  std::unique_ptr<CapacityPlanner>& planner = m_planners[service];
  if (planner == nullptr) {
    planner = m_planner_factory();
  }
  return planner.get();
}

CapacityInput PlannedTargetSource::MakeInput(const std::string& service,
                                             const std::vector<PlatformInstance>& instances) const {
  const ConfigDocument& document = m_config->document();
  const ServiceConfig& config = document.services().at(service);
  CapacityInput input;
  input.service = service;
  input.slots_per_replica = config.slots_per_replica;
  input.min_replicas = config.min_replicas;
  input.max_replicas = config.max_replicas;
  const auto profile = document.profiles().find(config.profile);
  if (profile != document.profiles().end()) {
    input.cheap_share_max = profile->second.cheap_share_max;
    input.spend_limit_per_hour = profile->second.spend_limit_per_hour;
  }
  const ServiceDemand demand = m_demand_source(service);
  input.interactive_demand = demand.interactive;
  input.rollout_demand = demand.rollout;
  input.wall_ms = m_wall_ms();
  for (const auto& [zone, zone_config] : document.zones()) {
    ZoneSupply supply;
    supply.zone = zone;
    supply.steady_price_per_hour = zone_config.steady_price_per_hour;
    supply.cheap_price_per_hour = zone_config.cheap_price_per_hour;
    for (const PlatformInstance& instance : instances) {
      const bool is_available = instance.role == PlatformRole::kEndpoint && instance.service == service &&
                                instance.zone == zone && instance.state == LifecycleState::kLive;
      if (is_available) {
        ++(instance.kind == EndpointKind::kCheap ? supply.cheap : supply.steady);
      }
    }
    input.zones.push_back(supply);
  }
  return input;
}

void PlannedTargetSource::ReportReclaims(const std::vector<PlatformInstance>& instances, TimePoint now) {
  std::set<std::string> leaving_ids;
  for (const PlatformInstance& instance : instances) {
    const bool is_reclaimed = instance.role == PlatformRole::kEndpoint && instance.kind == EndpointKind::kCheap &&
                              instance.state == LifecycleState::kLeaving;
    if (!is_reclaimed) {
      continue;
    }
    leaving_ids.insert(instance.id);
    if (m_leaving_ids.count(instance.id) == 0) {
      FindOrCreatePlanner(instance.service)->OnReclaim(instance.zone, now);
    }
  }
  m_leaving_ids = std::move(leaving_ids);
}

void PlannedTargetSource::OnNoneAvailable(const std::string& zone, const std::string& service, EndpointKind kind,
                                          TimePoint now) {
  FindOrCreatePlanner(service)->OnNoneAvailable(zone, kind == EndpointKind::kCheap, now);
}

}  // namespace quetzalridge
