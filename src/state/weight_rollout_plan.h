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
  // Number of swaps that may start in one second. Each swap makes an engine read the weight store once.
  double max_swaps_per_second = 4.0;
  // The largest share of the replicas of a service that swap at the same time.
  double max_share_at_once = 0.25;
  // Number of attempts of one version on one endpoint before the endpoint is set aside.
  int max_attempts = 3;
  // The largest share of the replicas that failed swaps may set aside. If more replicas fail, the fault is in the
  // weights or in the weight store rather than in the endpoints.
  double max_share_set_aside = 0.5;
  // The delay after the first failed attempt. The delay doubles with each further failure.
  Duration retry_delay = Duration::Seconds(1);
  // For this time after a swap, load reports may still show the old version.
  Duration report_lag = Duration::Seconds(5);
};

// Decides which replicas of one service load new weights next. A swap replaces the weights of one replica, which does
// not serve meanwhile. Swaps start in waves, so that the rate limit of the weight store is kept and most replicas
// continue to serve. A replica whose swaps keep failing is set aside: it gets no requests until a swap succeeds.
class WeightRolloutPlan {
 public:
  // Time between two waves.
  static constexpr Duration kWaveInterval = Duration::Milliseconds(100);

  explicit WeightRolloutPlan(WeightRolloutPlanOptions options) : m_options(options) {}

  // Sets the version to load. A new version resets the attempts and the delays of all endpoints.
  void SetTarget(int64_t version);
  int64_t target() const { return m_target; }
  // Sets the replicas of the service, with the versions that they reported last. Replicas that are leaving get no
  // commands.
  void SetEndpoints(const std::vector<EndpointState>& endpoints);

  // Returns the endpoints that should load the target version now. Each of them counts as in flight until one of the
  // three methods below reports its result.
  std::vector<std::string> NextWave(TimePoint now);
  void OnSwapped(const std::string& endpoint, int64_t version, TimePoint now);
  // Returns true if the endpoint must be set aside now.
  bool OnFailed(const std::string& endpoint, TimePoint now);
  // The command had no effect on the endpoint, and the endpoint is not at fault.
  void OnNotSent(const std::string& endpoint, TimePoint now);

  // Returns true, once, if this plan had set the endpoint aside and the endpoint has loaded the target version since.
  bool TakeRestored(const std::string& endpoint);
  int in_flight() const;
  // Number of endpoints that are known to have the target version.
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
  // Number of swaps that may start now. Fractions are kept for the next wave.
  double m_budget = 0.0;
  TimePoint m_budget_refilled_at;
  bool m_budget_started = false;
};

}  // namespace quetzalridge
