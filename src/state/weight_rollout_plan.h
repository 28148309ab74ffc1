#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "state/endpoint_state.h"

namespace quetzalridge {

struct WeightRolloutPlanOptions {
  // Orders that may start in one second; each makes an engine read the weight store once.
  double max_swaps_per_second = 4.0;
  // Largest share of a service's replicas that swap at the same time.
  double max_share_at_once = 0.25;
  // Tries of one version on one endpoint before it is set aside.
  int max_attempts = 3;
  // Largest share of the replicas that failed swaps may set aside. Above it, the fault is in the weights or in the
  // weight store rather than in the endpoints.
  double max_share_set_aside = 0.5;
  // Doubles with each failed try.
  Duration retry_delay = Duration::Seconds(1);
  // Load reports that began earlier than this after a swap may still show the old version.
  Duration report_lag = Duration::Seconds(5);
};

// Decides which replicas of one service load new weights next. Orders go out in waves, so that the weight store's rate
// limit holds and most replicas keep serving.
class WeightRolloutPlan {
 public:
  // Time between two waves.
  static constexpr Duration kWaveInterval = Duration::Milliseconds(100);

  explicit WeightRolloutPlan(WeightRolloutPlanOptions options) : m_options(options) {}

  // A new version begins the tries of all endpoints anew.
  void SetTarget(int64_t version);
  int64_t target() const { return m_target; }
  // The replicas of the service with their last reported versions. Leaving ones get no orders.
  void SetEndpoints(const std::vector<EndpointState>& endpoints);

  // The endpoints to order now. Each of them is in flight until one of the results below.
  std::vector<std::string> NextWave(TimePoint now);
  void OnSwapped(const std::string& endpoint, int64_t version, TimePoint now);
  // Returns true when the endpoint is to be set aside.
  bool OnFailed(const std::string& endpoint, TimePoint now);
  // The order had no effect on the endpoint and is no fault of it.
  void OnNotSent(const std::string& endpoint, TimePoint now);

  // True when this plan set the endpoint aside and it has loaded the target since.
  bool TakeRestored(const std::string& endpoint);
  int in_flight() const;
  // Endpoints that have the target version, as far as is known.
  int swapped() const;
  bool complete() const;

 private:
  struct Replica {
    int64_t reported_version = 0;
    TimePoint reported_at;
    bool leaving = false;
    bool in_flight = false;
    int64_t requested_version = 0;
    int64_t swapped_version = 0;
    TimePoint swapped_at;
    int attempts = 0;
    TimePoint next_attempt_at;
    bool set_aside = false;
  };

  bool HasTarget(const Replica& replica) const;
  bool IsDue(const Replica& replica, TimePoint now) const;
  int MaxInFlight() const;
  int MaxSetAside() const;
  void RefillBudget(TimePoint now);

  WeightRolloutPlanOptions m_options;
  int64_t m_target = 0;
  std::map<std::string, Replica> m_replicas;
  std::set<std::string> m_restored;
  // Orders that may start now; fractions carry over.
  double m_budget = 0.0;
  TimePoint m_budget_refilled_at;
  bool m_budget_started = false;
};

}  // namespace quetzalridge
