#include "tests/soak/soak_log.h"

#include <catch2/catch.hpp>

namespace quetzalridge::soak {
namespace {

// Shows that the checks of the soak find histories that break a promise.
TEST_CASE("the soak's checks find broken promises") {
  ManualClock clock;
  SoakLog log(&clock);
  SECTION("a request that was refused runs later") {
    log.SetRefused("a");
    log.AddRun("replica", "a");
    CHECK(log.violations() == 1);
  }
  SECTION("a request that has run is refused") {
    log.AddRun("replica", "a");
    log.SetRefused("a");
    CHECK(log.violations() == 1);
  }
  SECTION("a request that must run once runs twice") {
    log.SetSingleRun("a");
    log.AddRun("replica", "a");
    CHECK(log.violations() == 0);
    log.AddRun("other", "a");
    CHECK(log.violations() == 1);
  }
  SECTION("a call with a lower fence") {
    log.AddFencedCall("usage", "one", 2);
    log.AddFencedCall("usage", "two", 1);
    CHECK(log.violations() == 1);
  }
  SECTION("two holders with one fence") {
    log.AddFencedCall("usage", "one", 2);
    log.AddFencedCall("usage", "one", 2);
    CHECK(log.violations() == 0);
    log.AddFencedCall("usage", "two", 2);
    CHECK(log.violations() == 1);
  }
  SECTION("a late call right after a pause of its sender does not count") {
    log.AddFencedCall("usage", "two", 2);
    log.SetResumed();
    log.AddFencedCall("usage", "one", 1);
    CHECK(log.violations() == 0);
  }
}

}  // namespace
}  // namespace quetzalridge::soak
