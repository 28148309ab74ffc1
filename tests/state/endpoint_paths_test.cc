#include "state/endpoint_paths.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace quetzalridge {
namespace {

const std::set<std::string> kAll = {"e0", "e1", "e2"};
constexpr Duration kTick = Duration::Milliseconds(10);

struct PathsFixture {
  ManualClock clock;
  EndpointPaths paths{&clock};
  size_t probes = 0;

  TimePoint Now() const { return clock.Now(); }

  // Runs rounds of probes, to which these endpoints respond, for a time. Returns the largest round.
  size_t Probe(const std::set<std::string>& responding, Duration time) {
    size_t largest = 0;
    const TimePoint end = Now() + time;
    while (Now() < end) {
      const std::vector<std::string> round = paths.BeginProbes();
      largest = std::max(largest, round.size());
      probes += round.size();
      for (const std::string& endpoint : round) {
        paths.OnProbeResult(endpoint, responding.count(endpoint) > 0);
      }
      clock.Advance(kTick);
    }
    return largest;
  }
};

TEST_CASE("a failure to reach an endpoint alone does not make calls go through other instances") {
  PathsFixture f;
  CHECK(f.paths.IsDirect("e0"));
  CHECK(f.paths.lost_count() == 0);
}

TEST_CASE("when no endpoint has responded since the failure began, the second call does not have to find out again") {
  PathsFixture f;
  f.paths.OnContact("e1");
  f.clock.Advance(kTick);
  const TimePoint failed_since = f.Now();
  f.clock.Advance(kTick);
  CHECK(f.paths.OnPathFailed("e0", failed_since, kAll).size() == 3);
  CHECK(f.paths.is_isolated());
  CHECK(!f.paths.IsDirect("e1"));
}

TEST_CASE("when another endpoint has responded since the failure began, only the one path counts as failed") {
  PathsFixture f;
  const TimePoint failed_since = f.Now();
  f.clock.Advance(kTick);
  f.paths.OnContact("e1");
  CHECK(f.paths.OnPathFailed("e0", failed_since, kAll) == std::vector<std::string>{"e0"});
  CHECK(!f.paths.is_isolated());
  CHECK(!f.paths.IsDirect("e0"));
  CHECK(f.paths.IsDirect("e2"));
}

TEST_CASE("an endpoint that has responded since the failure began is still called over own connections") {
  PathsFixture f;
  const TimePoint failed_since = f.Now();
  f.clock.Advance(kTick);
  f.paths.OnContact("e0");
  CHECK(f.paths.OnPathFailed("e0", failed_since, kAll).empty());
  CHECK(f.paths.IsDirect("e0"));
}

TEST_CASE("one response during a cut does not bring a path back") {
  PathsFixture f;
  f.paths.OnPathFailed("e0", f.Now(), {"e0"});
  REQUIRE(f.paths.BeginProbes().size() == 1);
  CHECK(!f.paths.OnProbeResult("e0", true));
  f.clock.Advance(Duration::Seconds(1));
  REQUIRE(f.paths.BeginProbes().size() == 1);
  CHECK(!f.paths.OnProbeResult("e0", false));
  CHECK(!f.paths.IsDirect("e0"));
  CHECK(f.paths.is_isolated());
  f.Probe({"e0"}, Duration::Seconds(2));
  CHECK(f.paths.IsDirect("e0"));
  CHECK(!f.paths.is_isolated());
}

TEST_CASE("while the cut lasts, one endpoint at a time is probed") {
  PathsFixture f;
  f.paths.OnPathFailed("e0", f.Now(), kAll);
  CHECK(f.Probe({}, Duration::Seconds(5)) == 1);
  CHECK(f.paths.lost_count() == 3);
}

TEST_CASE("after the cut the paths to a thousand endpoints are back within a second, after a few connections") {
  PathsFixture f;
  std::set<std::string> many;
  for (int i = 0; i < 1000; ++i) {
    many.insert("e" + std::to_string(i));
  }
  f.paths.OnPathFailed("e0", f.Now(), many);
  f.Probe({}, Duration::Seconds(3));
  f.probes = 0;
  f.Probe(many, Duration::Seconds(1));
  CHECK(f.paths.lost_count() == 0);
  CHECK(f.probes <= 8);
}

TEST_CASE("when some paths work again and others do not, only the first are called over own connections") {
  PathsFixture f;
  f.paths.OnPathFailed("e0", f.Now(), kAll);
  f.Probe({"e1", "e2"}, Duration::Seconds(10));
  CHECK(!f.paths.IsDirect("e0"));
  CHECK(f.paths.IsDirect("e1"));
  CHECK(f.paths.IsDirect("e2"));
}

TEST_CASE("an endpoint that is new while no path works is not called over own connections") {
  PathsFixture f;
  f.paths.OnPathFailed("e0", f.Now(), kAll);
  f.paths.Retain({"e0", "e1", "e2", "e3"});
  CHECK(!f.paths.IsDirect("e3"));
}

TEST_CASE("the paths to endpoints that are gone are forgotten") {
  PathsFixture f;
  f.paths.OnPathFailed("e0", f.Now(), kAll);
  f.paths.Retain({});
  CHECK(f.paths.lost_count() == 0);
  CHECK(!f.paths.is_isolated());
  CHECK(f.paths.IsDirect("e0"));
}

}  // namespace
}  // namespace quetzalridge
