#include "state/request_pacer.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

// Guards against a limit that is exceeded, and against one that is not used up, when many instances ask all the time.
TEST_CASE("requests that are always wanted are granted at the limit") {
  for (const double limit : {0.7, 1.0, 4.3, 250.0, 3000.0}) {
    INFO("limit " << limit);
    ManualClock clock;
    RequestPacer pacer;
    const int seconds = 20;
    int granted = 0;
    for (int ms = 0; ms < seconds * 1000; ++ms) {
      for (int instance = 0; instance < 5; ++instance) {
        granted += pacer.Request(clock.Now(), limit).granted ? 1 : 0;
      }
      clock.Advance(Duration::Milliseconds(1));
    }
    CHECK(granted <= limit * seconds + 1);
    CHECK(granted >= limit * (seconds - 2) - 1);
  }
}

TEST_CASE("after a pause at most two requests are granted at once") {
  ManualClock clock;
  RequestPacer pacer;
  pacer.Request(clock.Now(), 1.0);
  clock.Advance(Duration::Seconds(60));
  int granted = 0;
  for (int i = 0; i < 10; ++i) {
    granted += pacer.Request(clock.Now(), 1.0).granted ? 1 : 0;
  }
  CHECK(granted == 2);
}

TEST_CASE("a refused request may be repeated when the pacer says so") {
  ManualClock clock;
  RequestPacer pacer;
  const PermitReply refused = pacer.Request(clock.Now(), 2.0);
  REQUIRE(!refused.granted);
  clock.Advance(refused.wait);
  CHECK(pacer.Request(clock.Now(), 2.0).granted);
}

}  // namespace
}  // namespace quetzalridge
