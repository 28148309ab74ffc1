#include "placement/cost_choice.h"

#include <catch2/catch.hpp>

#include "placement/endpoint_times.h"
#include "placement/remaining_work.h"

namespace quetzalridge {
namespace {

DirectoryEndpoint MakeEndpoint(const std::string& id, int in_flight) {
  DirectoryEndpoint endpoint;
  endpoint.entry.id = id;
  endpoint.entry.slots = 4;
  endpoint.entry.model_versions["m"] = 5;
  endpoint.in_flight = in_flight;
  return endpoint;
}

CostCandidate MakeCandidate(const DirectoryEndpoint& endpoint, double ms_per_event, double remaining_ms) {
  CostCandidate candidate;
  candidate.candidate = {&endpoint, ms_per_event, true};
  candidate.ms_per_event = ms_per_event;
  candidate.remaining_ms = remaining_ms;
  return candidate;
}

ItemPlacement MakePlacement() {
  ItemPlacement placement;
  placement.model = "m";
  return placement;
}

ItemCosts MakeCosts(double events, bool usable = true) {
  ItemCosts costs;
  costs.length = {events, 0.5, usable};
  costs.ms_to_first_event = 120.0;
  costs.ms_to_first_event_cached = 20.0;
  return costs;
}

// Guards against long items on slow endpoints, and against short items that take the fast endpoints from them.
TEST_CASE("a long item starts on the fastest endpoint, and a short one on the least loaded") {
  const DirectoryEndpoint fast = MakeEndpoint("fast", 2);
  const DirectoryEndpoint slow = MakeEndpoint("slow", 2);
  const std::vector<CostCandidate> candidates = {MakeCandidate(slow, 80, 500), MakeCandidate(fast, 50, 4000)};
  CHECK(ChooseByCost(candidates, MakePlacement(), MakeCosts(100), "") == &fast);
  CHECK(ChooseByCost(candidates, MakePlacement(), MakeCosts(2), "") == &slow);
}

// Guards against decisions by predictions that are not usable, and by endpoints that may not take the item.
TEST_CASE("without a usable prediction the choice is that by requests in flight, and all rules hold with one") {
  const DirectoryEndpoint fast = MakeEndpoint("fast", 2);
  const DirectoryEndpoint idle = MakeEndpoint("idle", 1);
  const DirectoryEndpoint full = MakeEndpoint("full", 4);
  const std::vector<CostCandidate> candidates = {MakeCandidate(fast, 50, 0), MakeCandidate(idle, 55, 9000),
                                                 MakeCandidate(full, 10, 0)};
  CHECK(ChooseByCost(candidates, MakePlacement(), MakeCosts(100, false), "") == &idle);
  CHECK(ChooseByCost(candidates, MakePlacement(), MakeCosts(100), "") == &fast);
  ItemPlacement placement = MakePlacement();
  placement.avoided_endpoint = "fast";
  CHECK(ChooseByCost(candidates, placement, MakeCosts(100), "") == &idle);
  placement.oldest_version = 6;
  CHECK(ChooseByCost(candidates, placement, MakeCosts(100), "") == nullptr);
}

// Guards against moves for which the prefill on the new endpoint takes longer than they gain.
TEST_CASE("a straggler moves only if its predicted end elsewhere is clearly earlier") {
  const DirectoryEndpoint slow = MakeEndpoint("slow", 1);
  DirectoryEndpoint fast = MakeEndpoint("fast", 1);
  const CostCandidate current = MakeCandidate(slow, 100, 0);
  const std::vector<CostCandidate> candidates = {current, MakeCandidate(fast, 50, 0)};
  CHECK(ChooseMoveByCost(candidates, MakePlacement(), current, MakeCosts(40), 10) == &fast);
  CHECK(ChooseMoveByCost(candidates, MakePlacement(), current, MakeCosts(12), 10) == nullptr);
  ItemCosts slow_prefill = MakeCosts(40);
  slow_prefill.ms_to_first_event = 1400.0;
  CHECK(ChooseMoveByCost(candidates, MakePlacement(), current, slow_prefill, 10) == nullptr);
  fast.rate_limit = 10.0;
  CHECK(ChooseMoveByCost(candidates, MakePlacement(), current, MakeCosts(40), 10) == nullptr);
}

// Guards against a rest that is zero or negative once an item is longer than predicted.
TEST_CASE("the rest of an item that is longer than predicted grows with its length and error") {
  CHECK(ExpectedRest({40, 0.5, true}, 10) == Approx(30));
  CHECK(ExpectedRest({40, 0.5, true}, 100) == Approx(50));
  CHECK(ExpectedRest({40, 2.0, true}, 100) == Approx(100));
  CHECK(ExpectedRest({40, 0.0, true}, 40) == Approx(1));
}

// Guards against negative work after a late end, and against expectations that outlive the reports behind them.
TEST_CASE("remaining work falls with time, stays positive, and fades to the requests in flight") {
  RemainingWork work;
  TimePoint now;
  CHECK(work.RemainingMs("e", 3, 0, now) == Approx(3));
  const RemainingWork::Call call(&work, "e", 20, now);
  const double one_unknown = work.RemainingMs("other", 1, 50, now);
  CHECK(work.RemainingMs("e", 1, 50, now) == Approx(1000));
  CHECK(work.RemainingMs("e", 2, 50, now) == Approx(1000 + one_unknown));
  now = now + Duration::Milliseconds(500);
  CHECK(work.RemainingMs("e", 1, 50, now) == Approx(500));
  now = now + Duration::Milliseconds(500);
  CHECK(work.RemainingMs("e", 1, 50, now) == Approx(100));
  now = now + Duration::Seconds(10);
  CHECK(work.RemainingMs("e", 1, 50, now) == Approx(one_unknown));
}

// Guards against a reference to an endpoint's calls that a later call to another endpoint invalidates.
TEST_CASE("calls of endpoints that are no longer used are forgotten") {
  RemainingWork work;
  const TimePoint now;
  const RemainingWork::Call first(&work, "a", 20, now);
  { const RemainingWork::Call ended(&work, "b", 20, now); }
  RemainingWork::Call last(&work, "c", 10, now);
  last.OnEvent(now);
  CHECK(work.RemainingMs("a", 1, 10, now) == Approx(200));
  CHECK(work.RemainingMs("b", 0, 10, now) == Approx(0));
  CHECK(work.RemainingMs("c", 1, 10, now) == Approx(90));
}

// Guards against a speed that is kept although nothing has confirmed it for long, and against a short disturbance that
// counts as the speed of an endpoint.
TEST_CASE("the speed of an endpoint is a mean that fades to the mean of all endpoints") {
  EndpointTimes times;
  TimePoint now;
  CHECK(times.MsPerEvent("fast", now) == Approx(0));
  for (int i = 0; i < 20; ++i) {
    times.OnIntervals("fast", 10, Duration::Milliseconds(400), now);
    times.OnIntervals("slow", 10, Duration::Milliseconds(1000), now);
  }
  CHECK(times.MsPerEvent("fast", now) < 45);
  CHECK(times.MsPerEvent("slow", now) > 90);
  times.OnIntervals("fast", 10, Duration::Milliseconds(1000), now);
  CHECK(times.MsPerEvent("fast", now) < 50);
  const double mean = times.MsPerEvent("unknown", now);
  now = now + Duration::Seconds(600);
  CHECK(times.MsPerEvent("slow", now) == Approx(mean).epsilon(0.05));
}

}  // namespace
}  // namespace quetzalridge
