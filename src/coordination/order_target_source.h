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

// The number of endpoints of each kind that one service should have in one availability zone.
struct ServiceTarget {
  std::string service;
  int steady = 0;
  int cheap = 0;
};

// Gives the order duty its targets.
class OrderTargetSource {
 public:
  virtual ~OrderTargetSource() = default;
  // Returns the targets of all services in `zone`. `instances` is the platform's list, read just before.
  virtual std::vector<ServiceTarget> GetTargets(const std::string& zone, const std::vector<PlatformInstance>& instances,
                                                TimePoint now) = 0;
  // Called when the platform had no capacity for endpoints of this kind.
  virtual void OnNoneAvailable(const std::string& zone, const std::string& service, EndpointKind kind, TimePoint now) {}
};

// The demand for one service from all instances, as the number of endpoint slots that its requests need.
struct ServiceDemand {
  double interactive = 0;
  double rollout = 0;
};

// Computes the targets with one capacity planner for each service, from the configuration, the platform's list and the
// demand.
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
  // Ids of the cheap endpoints that the last list showed as leaving. Each reclaim is reported to the planner once.
  std::set<std::string> m_leaving_ids;
};

}  // namespace quetzalridge
