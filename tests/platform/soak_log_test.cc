#include "tests/soak/soak_log.h"

#include <catch2/catch.hpp>

namespace quetzalridge::soak {
namespace {

// Guards against a soak test that passes although a guarantee was violated: each section records a history of events
// and checks how many violations are found.
TEST_CASE("the checks of the soak test find violated guarantees") {
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
  SECTION("a request that must run only once runs twice") {
    log.SetSingleRun("a");
    log.AddRun("replica", "a");
    CHECK(log.violations() == 0);
    log.AddRun("other", "a");
    CHECK(log.violations() == 1);
  }
  SECTION("a call has a lower fencing token than an earlier call") {
    log.AddFencedCall("usage", "one", 2);
    log.AddFencedCall("usage", "two", 1);
    CHECK(log.violations() == 1);
  }
  SECTION("two holders use the same fencing token") {
    log.AddFencedCall("usage", "one", 2);
    log.AddFencedCall("usage", "one", 2);
    CHECK(log.violations() == 0);
    log.AddFencedCall("usage", "two", 2);
    CHECK(log.violations() == 1);
  }
  SECTION("a late call right after a pause of its sender is not a violation") {
    log.AddFencedCall("usage", "two", 2);
    log.SetResumed();
    log.AddFencedCall("usage", "one", 1);
    CHECK(log.violations() == 0);
  }
}

}  // namespace
}  // namespace quetzalridge::soak
