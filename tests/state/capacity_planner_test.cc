#include "state/capacity_planner.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdlib>

#include "state/hour_of_day_planner.h"
#include "state/sunset_forecast.h"
#include "state/sunset_planner.h"

namespace quetzalridge {
namespace {

constexpr int64_t kMinuteMs = 60 * 1000LL;
constexpr int64_t kDayMs = 24 * 60 * kMinuteMs;
const Location kCentralSlovakia = {48.7, 19.1};
const Location kTasmania = {-42.9, 147.3};
const TimePoint kStart = TimePoint::FromMilliseconds(1'000'000);

int64_t MinuteOfDay(int64_t wall_ms) {
  return wall_ms % kDayMs / kMinuteMs;
}

// Guards against a sunset computed for the wrong hemisphere, season or day. The expected times are published times in
// UTC.
TEST_CASE("the sunset follows latitude, longitude and day") {
  const int64_t june_21 = 1'782'000'000'000;      // 2026-06-21 00:00 UTC
  const int64_t december_21 = 1'797'811'200'000;  // 2026-12-21 00:00 UTC
  CHECK(std::llabs(MinuteOfDay(SunsetOfDay(kCentralSlovakia, june_21 + 12 * 60 * kMinuteMs)) - (18 * 60 + 47)) <= 6);
  CHECK(std::llabs(MinuteOfDay(SunsetOfDay(kCentralSlovakia, december_21 + 12 * 60 * kMinuteMs)) - (14 * 60 + 55)) <=
        6);
  CHECK(std::llabs(MinuteOfDay(SunsetOfDay(kTasmania, december_21 + 2 * 60 * kMinuteMs)) - (9 * 60 + 49)) <= 6);
  // Where the sun does not set, the forecast still needs a reference time of the day.
  CHECK(std::isfinite(static_cast<double>(SunsetOfDay({80, 0}, june_21))));
}

// Guards against a forecast by time of day: four weeks later, the peak must be expected at the new time of sunset.
TEST_CASE("the forecast moves with the sunset") {
  SunsetForecast forecast(kCentralSlovakia);
  const int64_t march_1 = 1'772'323'200'000;
  const auto demand = [](int64_t at) {
    const double hours = static_cast<double>(at - SunsetOfDay(kCentralSlovakia, at)) / (60.0 * kMinuteMs);
    return 10.0 + 90.0 * std::exp(-hours * hours);
  };
  for (int64_t at = march_1; at < march_1 + 5 * kDayMs; at += 5 * kMinuteMs) {
    forecast.Observe(at, demand(at));
  }
  const int64_t later = SunsetOfDay(kCentralSlovakia, march_1 + 28 * kDayMs);
  CHECK(forecast.PeakBetween(later, later) > 85);
  const int64_t before = later - 6 * 60 * kMinuteMs;
  CHECK(forecast.PeakBetween(before, before) < 20);
}

CapacityInput MakeInput() {
  CapacityInput input;
  input.max_replicas = 40;
  input.interactive_demand = 64;
  input.rollout_demand = 128;
  input.zones = {{"z0", 0, 0, 1.0, 0.3}, {"z1", 0, 0, 1.0, 0.3}, {"z2", 0, 0, 1.0, 0.25}};
  return input;
}

int Total(const CapacityPlan& plan, bool cheap) {
  int total = 0;
  for (const ZoneTarget& target : plan.targets) {
    total += cheap ? target.cheap : target.steady;
  }
  return total;
}

// Guards against a plan with all cheap endpoints in one zone, where a single reclaim stops them all, and against
// interactive requests that depend on cheap endpoints.
TEST_CASE("cheap endpoints are distributed over zones and limited by the configuration") {
  SunsetPlanner planner(kCentralSlovakia);
  const CapacityPlan plan = planner.Plan(MakeInput(), kStart);
  CHECK(Total(plan, true) == 6);
  CHECK(Total(plan, false) == 7);
  for (const ZoneTarget& target : plan.targets) {
    CHECK(target.cheap == 2);
  }
  HourOfDayPlanner baseline;
  CHECK(baseline.Plan(MakeInput(), kStart).targets[2].cheap == 6);
}

// Guards against orders in a zone that has just reclaimed its endpoints, and against reclaimed endpoints that are not
// replaced in other zones.
TEST_CASE("after a reclaim the zone gets no cheap endpoints for some time, and the total is kept") {
  SunsetPlanner planner(kCentralSlovakia);
  CapacityInput input = MakeInput();
  const CapacityPlan before = planner.Plan(input, kStart);
  planner.OnReclaim("z1", kStart);
  const CapacityPlan after = planner.Plan(input, kStart + Duration::Seconds(1));
  CHECK(after.targets[1].cheap == 0);
  CHECK(Total(after, true) + Total(after, false) == Total(before, true) + Total(before, false));
  planner.OnReclaim("z0", kStart);
  planner.OnReclaim("z2", kStart);
  const CapacityPlan none = planner.Plan(input, kStart + Duration::Seconds(2));
  CHECK(Total(none, true) == 0);
  CHECK(Total(none, false) == 13);
  CHECK(Total(planner.Plan(input, kStart + Duration::Seconds(1000)), true) == 6);
}

// Guards against orders that wait for a zone without available endpoints while other zones have some.
TEST_CASE("a zone without available endpoints gets no orders and the others get its part") {
  SunsetPlanner planner(kCentralSlovakia);
  CapacityInput input = MakeInput();
  planner.OnNoneAvailable("z0", false, kStart);
  planner.OnNoneAvailable("z0", true, kStart);
  const CapacityPlan plan = planner.Plan(input, kStart);
  CHECK(plan.targets[0].steady == 0);
  CHECK(plan.targets[0].cheap == 0);
  CHECK(Total(plan, true) + Total(plan, false) == 13);
}

// Guards against a plan that costs more than the limit, and against a limit that stops running endpoints that are
// needed.
TEST_CASE("the spending limit prevents new orders and keeps running endpoints that are needed") {
  SunsetPlanner planner(kCentralSlovakia);
  CapacityInput input = MakeInput();
  input.spend_limit_per_hour = 6.0;
  const CapacityPlan plan = planner.Plan(input, kStart);
  CHECK(plan.cost_per_hour <= 6.0);
  CHECK(plan.refused_orders > 0);
  // 64 interactive slots with a fifth of headroom need five replicas of 16. Endpoints for rollouts are removed first.
  CHECK(Total(plan, false) == 5);
  for (ZoneSupply& zone : input.zones) {
    zone.steady = 2;
    zone.cheap = 2;
  }
  const CapacityPlan running = planner.Plan(input, kStart + Duration::Seconds(1));
  for (const ZoneTarget& target : running.targets) {
    CHECK(target.steady >= 2);
    CHECK(target.cheap == 2);
  }
}

// Guards against endpoints that are stopped and started again with each short change of the demand.
TEST_CASE("a short dip of the demand does not lower the targets") {
  SunsetPlanner planner(kCentralSlovakia);
  CapacityInput input = MakeInput();
  const CapacityPlan before = planner.Plan(input, kStart);
  input.rollout_demand = 0;
  const CapacityPlan dip = planner.Plan(input, kStart + Duration::Seconds(300));
  CHECK(Total(dip, false) == Total(before, false));
  const CapacityPlan later = planner.Plan(input, kStart + Duration::Seconds(1000));
  CHECK(Total(later, false) + Total(later, true) == 5);
}

}  // namespace
}  // namespace quetzalridge
