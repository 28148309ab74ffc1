#include "state/weight_rollout_plan.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>

#include "base/random.h"

namespace quetzalridge {
namespace {

// Replicas that take `swap_duration` to load weights, controlled by a plan with a manual clock.
class SimulatedService {
 public:
  SimulatedService(int replicas, WeightRolloutPlanOptions options, Duration swap_duration)
      : m_plan(options), m_swap_duration(swap_duration) {
    for (int i = 0; i < replicas; ++i) {
      EndpointState endpoint;
      endpoint.id = "e" + std::to_string(i);
      endpoint.weight_version = 1;
      m_endpoints.push_back(endpoint);
    }
    m_plan.SetEndpoints(m_endpoints);
    m_plan.SetTarget(2);
  }

  void Step() {
    while (!m_swaps_in_progress.empty() && m_swaps_in_progress.front().first <= m_clock.Now()) {
      m_plan.OnSwapped(m_swaps_in_progress.front().second, 2, m_clock.Now());
      m_swaps_in_progress.pop_front();
    }
    for (const std::string& id : m_plan.NextWave(m_clock.Now())) {
      m_swaps_in_progress.emplace_back(m_clock.Now() + m_swap_duration, id);
      m_swap_start_times.push_back(m_clock.Now());
    }
    m_max_in_flight = std::max(m_max_in_flight, m_plan.in_flight());
    m_clock.Advance(WeightRolloutPlan::kWaveInterval);
  }
  Duration Run() {
    const TimePoint start = m_clock.Now();
    for (int steps = 0; !m_plan.complete() && steps < 100'000; ++steps) {
      Step();
    }
    REQUIRE(m_plan.complete());
    return m_clock.Now() - start;
  }
  // The largest number of swaps that started within one second.
  int PeakSwapsPerSecond() const {
    size_t peak = 0;
    size_t first = 0;
    for (size_t i = 0; i < m_swap_start_times.size(); ++i) {
      while (m_swap_start_times[i] - m_swap_start_times[first] >= Duration::Seconds(1)) {
        ++first;
      }
      peak = std::max(peak, i - first + 1);
    }
    return static_cast<int>(peak);
  }
  int max_in_flight() const { return m_max_in_flight; }

 private:
  WeightRolloutPlan m_plan;
  Duration m_swap_duration;
  ManualClock m_clock;
  std::vector<EndpointState> m_endpoints;
  std::deque<std::pair<TimePoint, std::string>> m_swaps_in_progress;
  std::vector<TimePoint> m_swap_start_times;
  int m_max_in_flight = 0;
};

// The rate at which 1,000 replicas swap in 19 s, less 1 s for the poll of the version, 1 s for the last swap and two
// waves.
constexpr double kTargetSwapsPerSecond = 64.0;

// Guards against a plan that misses the 19 s of the target size, exceeds the rate limit of the weight store, or takes
// too many replicas out of service at once.
TEST_CASE("new weights reach 10 to 1,000 replicas within 18 s and the rate limit") {
  for (const int replicas : {10, 30, 100, 300, 1000}) {
    WeightRolloutPlanOptions options;
    options.max_swaps_per_second = kTargetSwapsPerSecond;
    SimulatedService service(replicas, options, Duration::Seconds(1));
    const Duration time = service.Run();
    WARN(replicas << " replicas: " << time.ms() << " ms, at most " << service.max_in_flight() << " at once, "
                  << service.PeakSwapsPerSecond() << " orders in a second");
    CHECK(time <= Duration::Seconds(18));
    CHECK(service.max_in_flight() <= std::max(1, replicas / 4));
    CHECK(service.PeakSwapsPerSecond() <= static_cast<int>(kTargetSwapsPerSecond * 1.2) + 1);
  }
}

EndpointState Replica(const std::string& id, int64_t version) {
  EndpointState endpoint;
  endpoint.id = id;
  endpoint.weight_version = version;
  return endpoint;
}

// Guards against an endpoint that fails forever without being set aside, and against a bad version that takes all
// endpoints out of use. All swaps fail here.
TEST_CASE("an endpoint is set aside after repeated failures, but never more than half of them") {
  ManualClock clock;
  WeightRolloutPlan plan(WeightRolloutPlanOptions{});
  plan.SetEndpoints({Replica("a", 1), Replica("b", 1), Replica("c", 1), Replica("d", 1)});
  plan.SetTarget(2);
  std::map<std::string, int> attempts;
  int set_aside = 0;
  for (int i = 0; i < 3000; ++i) {
    for (const std::string& id : plan.NextWave(clock.Now())) {
      ++attempts[id];
      set_aside += plan.OnFailed(id, clock.Now()) ? 1 : 0;
    }
    clock.Advance(WeightRolloutPlan::kWaveInterval);
  }
  CHECK(set_aside == 2);
  CHECK(attempts["a"] >= 3);
  CHECK(attempts["a"] < 30);
}

// Guards against an endpoint that stays out of use after it has recovered.
TEST_CASE("an endpoint that was set aside is restored after a successful swap") {
  ManualClock clock;
  WeightRolloutPlanOptions options;
  options.max_attempts = 1;
  WeightRolloutPlan plan(options);
  plan.SetEndpoints({Replica("a", 1), Replica("b", 2)});
  plan.SetTarget(2);
  REQUIRE(plan.NextWave(clock.Now()) == std::vector<std::string>{"a"});
  CHECK(plan.OnFailed("a", clock.Now()));
  clock.Advance(Duration::Seconds(2));
  REQUIRE(plan.NextWave(clock.Now()) == std::vector<std::string>{"a"});
  plan.OnSwapped("a", 2, clock.Now());
  CHECK(plan.TakeRestored("a"));
  CHECK(plan.complete());
}

// Guards against a replica that restarts with older weights after its swap and gets no further command. A report 4 s
// after the swap may still be old; a report 8 s after the swap is not.
TEST_CASE("a report that is newer than the swap takes precedence") {
  ManualClock clock;
  WeightRolloutPlan plan(WeightRolloutPlanOptions{});
  plan.SetEndpoints({Replica("a", 1)});
  plan.SetTarget(2);
  REQUIRE(plan.NextWave(clock.Now()).size() == 1);
  plan.OnSwapped("a", 2, clock.Now());
  clock.Advance(Duration::Seconds(4));
  EndpointState report = Replica("a", 1);
  report.reported_at = clock.Now();
  plan.SetEndpoints({report});
  CHECK(plan.NextWave(clock.Now()).empty());
  clock.Advance(Duration::Seconds(4));
  report.reported_at = clock.Now();
  plan.SetEndpoints({report});
  CHECK(plan.NextWave(clock.Now()).size() == 1);
}

}  // namespace
}  // namespace quetzalridge
