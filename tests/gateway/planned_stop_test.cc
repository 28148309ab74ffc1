#include "gateway/planned_stop.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

struct StopWorld {
  PlannedStop Make() {
    PlannedStopHooks hooks;
    hooks.active_requests = [this] { return active; };
    hooks.handed_over = [this] { return handed_over; };
    hooks.write_last_rows = [this](std::function<void()> callback) {
      last_rows_at = scheduler.Now();
      rows_timer = scheduler.After(store_latency, std::move(callback));
    };
    hooks.finish = [this] { finished_at = scheduler.Now(); };
    return PlannedStop(&scheduler, {Duration::Milliseconds(2500), Duration::Seconds(8), Duration::Milliseconds(900)},
                       hooks);
  }

  ManualScheduler scheduler;
  int active = 0;
  bool handed_over = true;
  Duration store_latency = Duration::Milliseconds(10);
  std::optional<TimePoint> last_rows_at;
  std::optional<TimePoint> finished_at;
  std::unique_ptr<Timer> rows_timer;
};

// Guards against a connection that is cut after its request was read: the process ended while its last rows were being
// written and a request that had come in meanwhile was at an endpoint. Seen on fresh-c02f of srw-hobart-grown (LOST).
TEST_CASE("a stopping process ends only after the requests that came while its last rows were written") {
  StopWorld world;
  PlannedStop stop = world.Make();
  stop.Begin();
  while (!world.last_rows_at.has_value()) {
    world.scheduler.Advance(Duration::Milliseconds(1));
  }
  world.active = 1;
  world.scheduler.Advance(Duration::Seconds(1));
  CHECK_FALSE(world.finished_at.has_value());
  world.active = 0;
  world.scheduler.Advance(Duration::Milliseconds(100));
  CHECK(world.finished_at.has_value());
}

// Guards against requests that are cut because the platform kills a process that has not ended by itself.
TEST_CASE("a stopping process ends before the platform kills it, whatever is left") {
  StopWorld world;
  world.active = 1;
  world.handed_over = false;
  world.store_latency = Duration::Seconds(60);
  PlannedStop stop = world.Make();
  const TimePoint began_at = world.scheduler.Now();
  stop.Begin();
  world.scheduler.Advance(Duration::Seconds(8));
  REQUIRE(world.last_rows_at.has_value());
  CHECK(*world.last_rows_at - began_at < Duration::Milliseconds(7200));
  REQUIRE(world.finished_at.has_value());
  CHECK(*world.finished_at - began_at < Duration::Seconds(8));
}

// Guards against an end before callers have learnt of it from the readiness answers.
TEST_CASE("a stopping process serves on through its lame-duck time") {
  StopWorld world;
  PlannedStop stop = world.Make();
  stop.Begin();
  world.scheduler.Advance(Duration::Milliseconds(2400));
  CHECK_FALSE(world.last_rows_at.has_value());
  world.scheduler.Advance(Duration::Milliseconds(300));
  CHECK(world.finished_at.has_value());
}

}  // namespace
}  // namespace quetzalridge
