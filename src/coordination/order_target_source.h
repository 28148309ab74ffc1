#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/config_view.h"
#include "coordination/platform.h"
#include "state/capacity_planner.h"

namespace quetzalridge {

// How many endpoints of one service one availability zone should have.
struct ServiceTarget {
  std::string service;
  int steady = 0;
  int cheap = 0;
};

// Where the order duty takes its targets from.
class OrderTargetSource {
 public:
  virtual ~OrderTargetSource() = default;
  // `instances` is the platform's list as just read.
  virtual std::vector<ServiceTarget> GetTargets(const std::string& zone, const std::vector<PlatformInstance>& instances,
                                                TimePoint now) = 0;
  // The platform had no endpoints of this kind.
  virtual void OnNoneAvailable(const std::string& zone, const std::string& service, EndpointKind kind, TimePoint now) {}
};

// Requests of one service over all instances, in slots.
struct ServiceDemand {
  double interactive = 0;
  double rollout = 0;
};

// GetTargets by a planner for each service, from the configuration, the platform's list and the demand.
class PlannedTargetSource : public OrderTargetSource {
 public:
  using PlannerFactory = std::function<std::unique_ptr<CapacityPlanner>()>;
  using DemandSource = std::function<ServiceDemand(const std::string& service)>;

  PlannedTargetSource(const ConfigView* config, PlannerFactory planner_factory, DemandSource demand,
                      std::function<int64_t()> wall_ms);

  std::vector<ServiceTarget> GetTargets(const std::string& zone, const std::vector<PlatformInstance>& instances,
                                        TimePoint now) override;
  void OnNoneAvailable(const std::string& zone, const std::string& service, EndpointKind kind, TimePoint now) override;

 private:
  CapacityPlanner* FindOrCreatePlanner(const std::string& service);
  CapacityInput MakeInput(const std::string& service, const std::vector<PlatformInstance>& instances) const;
  void ReportReclaims(const std::vector<PlatformInstance>& instances, TimePoint now);

  const ConfigView* m_config;
  PlannerFactory m_planner_factory;
  DemandSource m_demand_source;
  std::function<int64_t()> m_wall_ms;
  std::map<std::string, std::unique_ptr<CapacityPlanner>> m_planners;
  // Cheap endpoints that were seen leaving.
  std::set<std::string> m_leaving_ids;
};

}  // namespace quetzalridge
