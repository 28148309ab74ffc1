#include "tools/experiment/capacity_experiment.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>

#include "base/random.h"
#include "state/hour_of_day_planner.h"
#include "state/sunset_planner.h"
#include "tools/experiment/deployment.h"
#include "tools/experiment/svg_plot.h"

namespace quetzalridge {

namespace {

constexpr int64_t kMinuteMs = 60'000;
constexpr int kDayMinutes = 24 * 60;
// The first week teaches the forecasts; four weeks are measured.
constexpr int kLearnDays = 7;
constexpr int kDays = 35;
// 2026-03-01, when the sunset moves by about two minutes a day.
constexpr int64_t kStartWallMs = 1'772'323'200'000;
constexpr int kBootMinutes = 8;
constexpr int kSlots = 16;
constexpr double kQuietDemand = 30;
constexpr double kPeakDemand = 130;
constexpr double kRolloutDemand = 60;
constexpr double kReclaimsPerZoneDay = 1.5;
constexpr int kNoneAvailableMinutes = 25;
// What a reclaimed endpoint lost is done again: this much of each sample, as the rest is resumed.
constexpr double kLostMinutesPerSlot = 0.1;

struct ZoneState {
  int steady = 0;
  int cheap = 0;
  int none_until = -1;
  // Minutes at which ordered endpoints start to serve.
  std::deque<int> steady_starts;
  std::deque<int> cheap_starts;
};

struct Totals {
  double cost = 0;
  double interactive_demand = 0;
  double interactive_unserved = 0;
  double rollout_demand = 0;
  double rollout_done = 0;
  double rollout_on_cheap = 0;
  double rollout_lost = 0;
};

double InteractiveDemand(const Location& location, int64_t wall_ms, Random* random) {
  const double hours = static_cast<double>(wall_ms - SunsetOfDay(location, wall_ms)) / (60.0 * kMinuteMs);
  const double demand = kQuietDemand + (kPeakDemand - kQuietDemand) * std::exp(-hours * hours / 0.5);
  return demand * std::max(0.5, 1.0 + random->Normal(0, 0.08));
}

class CapacityRun {
 public:
  CapacityRun(const Deployment& deployment, CapacityPlanner* planner, double spend_limit, uint64_t seed)
      : m_deployment(deployment), m_planner(planner), m_random(seed), m_zones(deployment.zones) {
    m_input.service = "model";
    m_input.slots_per_replica = kSlots;
    m_input.max_replicas = 24;
    m_input.spend_limit_per_hour = spend_limit;
    for (int z = 0; z < deployment.zones; ++z) {
      ZoneSupply supply;
      supply.zone = "zone-" + std::to_string(z);
      supply.cheap_price_per_hour = 0.3 - 0.01 * z;
      m_input.zones.push_back(supply);
    }
  }

  Totals Run() {
    for (m_minute = 0; m_minute < kDays * kDayMinutes; ++m_minute) {
      Step();
    }
    return m_totals;
  }

 private:
  TimePoint Now() const { return TimePoint::FromMilliseconds(m_minute * kMinuteMs); }

  void Step() {
    m_input.wall_ms = kStartWallMs + m_minute * kMinuteMs;
    m_input.interactive_demand = InteractiveDemand(m_deployment.location, m_input.wall_ms, &m_random);
    m_input.rollout_demand = kRolloutDemand;
    for (size_t z = 0; z < m_zones.size(); ++z) {
      // Drawn whether the zone has cheap endpoints or not, so that both planners see the same reclaims.
      if (m_random.Chance(kReclaimsPerZoneDay / kDayMinutes)) {
        Reclaim(z);
      }
    }
    Serve();
    const CapacityPlan plan = m_planner->Plan(m_input, Now());
    for (size_t z = 0; z < m_zones.size(); ++z) {
      Apply(z, plan.targets[z]);
    }
  }

  void Reclaim(size_t z) {
    ZoneState& zone = m_zones[z];
    const int ready = zone.cheap - static_cast<int>(zone.cheap_starts.size());
    if (m_minute >= kLearnDays * kDayMinutes) {
      m_totals.rollout_lost += ready * kSlots * kLostMinutesPerSlot;
    }
    zone.cheap = 0;
    zone.cheap_starts.clear();
    zone.none_until = m_minute + kNoneAvailableMinutes;
    m_input.zones[z].cheap = 0;
    m_planner->OnReclaim(m_input.zones[z].zone, Now());
  }

  static int Ready(int ordered, std::deque<int>* starts, int minute) {
    while (!starts->empty() && starts->front() <= minute) {
      starts->pop_front();
    }
    return ordered - static_cast<int>(starts->size());
  }

  void Serve() {
    double steady = 0;
    double cheap = 0;
    double cost = 0;
    for (size_t z = 0; z < m_zones.size(); ++z) {
      ZoneState& zone = m_zones[z];
      steady += Ready(zone.steady, &zone.steady_starts, m_minute) * kSlots;
      cheap += Ready(zone.cheap, &zone.cheap_starts, m_minute) * kSlots;
      cost += zone.steady * m_input.zones[z].steady_price_per_hour + zone.cheap * m_input.zones[z].cheap_price_per_hour;
    }
    if (m_minute < kLearnDays * kDayMinutes) {
      return;
    }
    const double interactive = std::min(steady, m_input.interactive_demand);
    const double on_cheap = std::min(cheap, m_input.rollout_demand);
    const double on_steady = std::min(steady - interactive, m_input.rollout_demand - on_cheap);
    m_totals.cost += cost / 60.0;
    m_totals.interactive_demand += m_input.interactive_demand;
    m_totals.interactive_unserved += m_input.interactive_demand - interactive;
    m_totals.rollout_demand += m_input.rollout_demand;
    m_totals.rollout_done += on_cheap + on_steady;
    m_totals.rollout_on_cheap += on_cheap;
  }

  void Apply(size_t z, const ZoneTarget& target) {
    ZoneState& zone = m_zones[z];
    Order(target.steady, &zone.steady, &zone.steady_starts);
    if (target.cheap > zone.cheap && m_minute < zone.none_until) {
      m_planner->OnNoneAvailable(target.zone, true, Now());
    } else {
      Order(target.cheap, &zone.cheap, &zone.cheap_starts);
    }
    m_input.zones[z].steady = zone.steady;
    m_input.zones[z].cheap = zone.cheap;
  }

  void Order(int target, int* ordered, std::deque<int>* starts) {
    for (; *ordered < target; ++*ordered) {
      starts->push_back(m_minute + kBootMinutes);
    }
    for (; *ordered > target; --*ordered) {
      if (!starts->empty()) {
        starts->pop_back();
      }
    }
  }

  const Deployment& m_deployment;
  CapacityPlanner* m_planner;
  Random m_random;
  CapacityInput m_input;
  std::vector<ZoneState> m_zones;
  Totals m_totals;
  int m_minute = 0;
};

}  // namespace

void CapacityExperiment::Run(const ExperimentOptions& options, ResultTable* results) {
  for (const Deployment& deployment : Deployments()) {
    for (const double limit : {100.0, 10.0}) {
      for (const bool decision : {false, true}) {
        const std::string variant = decision ? "sunset" : "hour_of_day";
        for (const uint64_t seed : options.seeds) {
          std::unique_ptr<CapacityPlanner> planner;
          if (decision) {
            planner = std::make_unique<SunsetPlanner>(deployment.location);
          } else {
            planner = std::make_unique<HourOfDayPlanner>();
          }
          const Totals totals = CapacityRun(deployment, planner.get(), limit, seed).Run();
          const std::string suffix = limit < 100 ? ", limit 10 per hour" : "";
          const auto add = [&](const std::string& measure, const char* unit, Better better, double value) {
            results->Add({deployment.name, variant, measure + suffix, unit, better, seed, value});
          };
          add("cost", "price/h", Better::kLower, totals.cost / ((kDays - kLearnDays) * 24.0));
          add("interactive demand not served", "%", Better::kLower,
              100.0 * totals.interactive_unserved / totals.interactive_demand);
          add("rollout work done", "%", Better::kHigher, 100.0 * totals.rollout_done / totals.rollout_demand);
          add("rollout work on cheap endpoints", "%", Better::kHigher,
              100.0 * totals.rollout_on_cheap / std::max(totals.rollout_done, 1.0));
          add("rollout work done again after reclaims", "%", Better::kLower,
              100.0 * totals.rollout_lost / std::max(totals.rollout_done, 1.0));
        }
      }
    }
  }
}

}  // namespace quetzalridge
