#include "coordination/rate_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr double kLimit = 1.0;
constexpr Duration kWindow = Duration::Seconds(4);
// Instances know of a limit this long after an endpoint first set it.
constexpr Duration kNotice = Duration::Seconds(3);
// Calls in one window that the users' platform allows at most.
constexpr int kMostCalls = static_cast<int>(1.5 * kLimit * 4) + 5;

// The largest number of runs that began on the endpoint within one window, from `begin` on.
int MostRunsInWindow(const std::vector<ItemRunRecord>& runs, const std::string& endpoint, TimePoint begin) {
  std::vector<TimePoint> times;
  for (const ItemRunRecord& run : runs) {
    if (run.endpoint == endpoint && run.at >= begin) {
      times.push_back(run.at);
    }
  }
  size_t most = 0;
  for (size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

TEST_CASE("endpoints with a rate limit get no more items from all instances than it allows", "[!shouldfail]") {
  BatchFixture fixture(1);
  fixture.engines.event_gap = Duration::Milliseconds(100);
  fixture.engines.rate_limits = {{"engine-0", kLimit}, {"engine-1", kLimit}};
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  const TimePoint start = fixture.scheduler.Now();
  for (const char* name : {"one", "two", "three"}) {
    REQUIRE(fixture.Submit(name, BatchFixture::MakeJob(std::string("job-of-") + name, 300)) ==
            SubmitOutcome::kAccepted);
  }
  fixture.scheduler.Advance(Duration::Seconds(15));
  for (const char* endpoint : {"engine-0", "engine-1"}) {
    CHECK(MostRunsInWindow(fixture.engines.runs, endpoint, start + kNotice) <= kMostCalls);
  }
}

}  // namespace
}  // namespace quetzalridge
