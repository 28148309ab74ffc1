#include "gateway/graceful_shutdown.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

struct ShutdownFixture {
  GracefulShutdown MakeShutdown() {
    GracefulShutdownHooks hooks;
    hooks.active_requests = [this] { return active; };
    hooks.work_handed_over = [this] { return work_handed_over; };
    hooks.write_last_rows = [this](std::function<void()> callback) {
      last_rows_at = scheduler.Now();
      rows_timer = scheduler.After(store_latency, std::move(callback));
    };
    hooks.on_finished = [this] { finished_at = scheduler.Now(); };
    return GracefulShutdown(&scheduler,
                            {Duration::Milliseconds(2500), Duration::Seconds(8), Duration::Milliseconds(900)}, hooks);
  }

  ManualScheduler scheduler;
  int active = 0;
  bool work_handed_over = true;
  Duration store_latency = Duration::Milliseconds(10);
  std::optional<TimePoint> last_rows_at;
  std::optional<TimePoint> finished_at;
  std::unique_ptr<Timer> rows_timer;
};

// Guards against a connection that is closed after its request was read: the process exited after it had written its
// last rows, although a request that had arrived during the write was still at an endpoint. Seen on fresh-c02f of
// srw-hobart-grown (LOST).
TEST_CASE("a shutdown finishes only after the requests that arrived while the last rows were written") {
  ShutdownFixture fixture;
  GracefulShutdown shutdown = fixture.MakeShutdown();
  shutdown.Start();
  while (!fixture.last_rows_at.has_value()) {
    fixture.scheduler.Advance(Duration::Milliseconds(1));
  }
  fixture.active = 1;
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK_FALSE(fixture.finished_at.has_value());
  fixture.active = 0;
  fixture.scheduler.Advance(Duration::Milliseconds(100));
  CHECK(fixture.finished_at.has_value());
}

// Guards against aborted requests because the platform kills a process that has not exited by the end of its grace
// time.
TEST_CASE("a shutdown finishes before the platform kills the process, even if work is left") {
  ShutdownFixture fixture;
  fixture.active = 1;
  fixture.work_handed_over = false;
  fixture.store_latency = Duration::Seconds(60);
  GracefulShutdown shutdown = fixture.MakeShutdown();
  const TimePoint started_at = fixture.scheduler.Now();
  shutdown.Start();
  fixture.scheduler.Advance(Duration::Seconds(8));
  REQUIRE(fixture.last_rows_at.has_value());
  CHECK(*fixture.last_rows_at - started_at < Duration::Milliseconds(7200));
  REQUIRE(fixture.finished_at.has_value());
  CHECK(*fixture.finished_at - started_at < Duration::Seconds(8));
}

// Guards against refused connections because the process exits before callers have learned of the shutdown from the
// readiness checks.
TEST_CASE("a process without work still serves requests for the minimum serving time") {
  ShutdownFixture fixture;
  GracefulShutdown shutdown = fixture.MakeShutdown();
  shutdown.Start();
  fixture.scheduler.Advance(Duration::Milliseconds(2400));
  CHECK_FALSE(fixture.last_rows_at.has_value());
  fixture.scheduler.Advance(Duration::Milliseconds(300));
  CHECK(fixture.finished_at.has_value());
}

// Guards against requests that are accepted late in the grace time, and cut off without an answer at its end.
TEST_CASE("a request that may take longer than the process runs is refused, once callers can find another instance") {
  ShutdownFixture fixture;
  fixture.active = 1;
  GracefulShutdown shutdown = fixture.MakeShutdown();
  const Duration limit = Duration::Seconds(2);
  CHECK(shutdown.MayAccept(Duration::Seconds(60)));
  shutdown.Start();
  CHECK(shutdown.MayAccept(Duration::Seconds(60)));
  fixture.scheduler.Advance(Duration::Seconds(4));
  CHECK(shutdown.MayAccept(limit));
  CHECK_FALSE(shutdown.MayAccept(Duration::Seconds(60)));
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK_FALSE(shutdown.MayAccept(limit));
}

}  // namespace
}  // namespace quetzalridge
