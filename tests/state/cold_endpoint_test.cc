#include "state/cold_endpoint.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace quetzalridge {
namespace {

TimePoint At(int64_t ms) {
  return TimePoint::FromMilliseconds(ms);
}

// Guards against a cold period that an instance ends while others still count the endpoint as cold, and against one
// that an entry written before the endpoint became cold ends.
TEST_CASE("a cold period lasts for the reported time and a margin, and only a later report ends it earlier") {
  ColdPeriod period;
  period.OnReport(At(1'000), Duration());
  CHECK_FALSE(period.IsCold(At(1'000)));
  period.OnReport(At(10'000), Duration::Seconds(8));
  CHECK(period.IsCold(At(18'000)));
  CHECK_FALSE(period.IsCold(At(19'000)));
  // An entry that was written before the endpoint became cold arrives after its response.
  period.OnReport(At(11'300), Duration());
  CHECK(period.IsCold(At(18'000)));
  period.OnReport(At(13'000), Duration());
  CHECK_FALSE(period.IsCold(At(13'000)));
  // The endpoint becomes cold again.
  period.OnReport(At(13'500), Duration::Seconds(2));
  CHECK(period.IsCold(At(15'000)));
}

// Guards against a limit without end after a malformed entry.
TEST_CASE("a cold period has a longest time") {
  ColdPeriod period;
  period.OnReport(At(0), Duration::Seconds(1'000'000));
  CHECK_FALSE(period.IsCold(At(700'000)));
}

// The most requests that are sent within one second if `pacers` instances grant permits as often as they may, and each
// permit is used at some time within its lifetime and the time of a call through another instance.
int MostInOneSecond(int pacers, double requests_per_s, const ColdBounds& bounds, GrantAuthority authority) {
  constexpr int kLatestUseMs = 350;
  const double pace = ColdPace(requests_per_s, bounds, authority);
  std::vector<ColdPacer> granting(static_cast<size_t>(pacers));
  std::vector<int64_t> granted;
  for (int64_t ms = 0; ms < 20'000; ++ms) {
    for (ColdPacer& pacer : granting) {
      if (pacer.Request(At(ms), pace, "one").granted) {
        granted.push_back(ms);
      }
    }
  }
  // The worst case: early permits are used late, and late ones at once.
  int most = 0;
  for (const int64_t first : granted) {
    const auto in_window = std::count_if(granted.begin(), granted.end(), [first](int64_t ms) {
      return ms >= first && ms < first + 1'000 + kLatestUseMs;
    });
    most = std::max(most, static_cast<int>(in_window));
  }
  return most;
}

// Guards against bursts while two instances grant permits for one endpoint, and while permits are used late.
TEST_CASE("two granting instances stay within the bounds of a cold endpoint, with an order to spare") {
  const ColdBounds bounds;
  for (const double requests_per_s : {0.3, 0.5, 1.0, 2.0, 3.7, 8.0, 20.0, 100.0}) {
    INFO("requests per second " << requests_per_s);
    const double allowed = requests_per_s * bounds.overage + bounds.slack;
    CHECK(MostInOneSecond(2, requests_per_s, bounds, GrantAuthority::kSettled) + 2 <= allowed);
    CHECK(MostInOneSecond(3, requests_per_s, bounds, GrantAuthority::kNew) + 2 <= allowed);
  }
}

// Guards against cold endpoints that get next to nothing, so that a service whose endpoints are all cold is not served.
TEST_CASE("the pace of a cold endpoint is at least half of the rate that it tolerates") {
  for (const double requests_per_s : {0.3, 1.0, 2.0, 8.0, 20.0}) {
    const double pace = ColdPace(requests_per_s, ColdBounds(), GrantAuthority::kSettled);
    CHECK(pace >= requests_per_s / 2);
    CHECK(pace <= requests_per_s);
  }
  CHECK(ColdPace(2.0, ColdBounds(), GrantAuthority::kNone) == 0.0);
}

TEST_CASE("permits for a cold endpoint are spaced, and the first one waits") {
  ColdPacer pacer;
  const PermitReply first = pacer.Request(At(0), 2.0, "one");
  CHECK_FALSE(first.granted);
  CHECK(first.wait == Duration::Milliseconds(500));
  CHECK(pacer.Request(At(500), 2.0, "one").granted);
  CHECK_FALSE(pacer.Request(At(999), 2.0, "one").granted);
  // A pause gives no credit.
  CHECK(pacer.Request(At(9'000), 2.0, "one").granted);
  CHECK_FALSE(pacer.Request(At(9'001), 2.0, "one").granted);
}

// Guards against an instance that gets no permits because others ask earlier each time, as the granting one itself
// does.
TEST_CASE("instances that want permits all the time take turns") {
  ColdPacer pacer;
  std::map<std::string, int> granted;
  std::map<std::string, int64_t> next_at = {{"near", 0}, {"far", 0}, {"farther", 0}};
  const std::map<std::string, int64_t> delays = {{"near", 0}, {"far", 5}, {"farther", 20}};
  for (int64_t ms = 0; ms < 30'000; ++ms) {
    for (auto& [name, at] : next_at) {
      if (ms < at) {
        continue;
      }
      const PermitReply reply = pacer.Request(At(ms), 2.0, name);
      granted[name] += reply.granted ? 1 : 0;
      at = ms + reply.wait.ms() + delays.at(name) + 1;
    }
  }
  for (const auto& [name, count] : granted) {
    INFO(name);
    CHECK(count >= 15);
  }
  // An instance that no longer asks delays the others once.
  int alone = 0;
  for (int64_t ms = 30'000; ms < 40'000; ++ms) {
    alone += pacer.Request(At(ms), 2.0, "near").granted ? 1 : 0;
  }
  CHECK(alone >= 18);
}

}  // namespace
}  // namespace quetzalridge
