#include "state/circuit_breaker.h"

#include <catch2/catch.hpp>

#include "state/retry_budget.h"

namespace quetzalridge {
namespace {

// Guards against a breaker that opens too early, lets many calls through after its open time, or never closes.
TEST_CASE("five failures open a breaker, one trial call decides after the open time") {
  CircuitBreaker breaker;
  ManualClock clock;
  for (int i = 0; i < 4; ++i) {
    breaker.OnFailure(false, clock.Now());
  }
  CHECK(breaker.Allows(clock.Now()));
  breaker.OnFailure(false, clock.Now());
  CHECK_FALSE(breaker.Allows(clock.Now()));
  // Calls that were in flight when the breaker opened may fail later. These failures do not extend the open time.
  clock.Advance(Duration::Milliseconds(900));
  breaker.OnFailure(false, clock.Now());
  clock.Advance(Duration::Milliseconds(100));
  REQUIRE(breaker.Allows(clock.Now()));
  breaker.OnStart(clock.Now());
  CHECK_FALSE(breaker.Allows(clock.Now()));
  breaker.OnFailure(true, clock.Now());
  clock.Advance(Duration::Milliseconds(1999));
  CHECK_FALSE(breaker.Allows(clock.Now()));
  clock.Advance(Duration::Milliseconds(1));
  breaker.OnStart(clock.Now());
  breaker.OnSuccess(true);
  CHECK(breaker.Allows(clock.Now()));
}

// Guards against an open time that grows without limit, and against a breaker that stays open forever because the
// caller of the trial call has disconnected.
TEST_CASE("the open time is at most 30 s and a trial without a result allows another trial") {
  CircuitBreaker breaker;
  ManualClock clock;
  for (int i = 0; i < 5; ++i) {
    breaker.OnFailure(false, clock.Now());
  }
  for (int i = 0; i < 10; ++i) {
    clock.Advance(Duration::Seconds(30));
    REQUIRE(breaker.Allows(clock.Now()));
    REQUIRE(breaker.OnStart(clock.Now()));
    breaker.OnFailure(true, clock.Now());
  }
  clock.Advance(Duration::Seconds(30));
  breaker.OnStart(clock.Now());
  // Only the end of the trial itself allows another trial or closes the breaker.
  breaker.OnInconclusive(false);
  breaker.OnSuccess(false);
  CHECK_FALSE(breaker.Allows(clock.Now()));
  breaker.OnInconclusive(true);
  CHECK(breaker.Allows(clock.Now()));
}

// Guards against retries that amplify an overload, and against a budget of zero with little traffic.
TEST_CASE("retries are a tenth of the recent requests and at least three") {
  RetryBudget budget;
  ManualClock clock;
  int taken = 0;
  for (int i = 0; i < 10; ++i) {
    taken += budget.TakeRetry(clock.Now()) ? 1 : 0;
  }
  CHECK(taken == 3);
  clock.Advance(Duration::Seconds(11));
  for (int i = 0; i < 200; ++i) {
    budget.OnRequest(clock.Now());
  }
  taken = 0;
  for (int i = 0; i < 100; ++i) {
    taken += budget.TakeRetry(clock.Now()) ? 1 : 0;
  }
  CHECK(taken == 20);
}

}  // namespace
}  // namespace quetzalridge
