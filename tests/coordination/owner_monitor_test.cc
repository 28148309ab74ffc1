#include "coordination/owner_monitor.h"

#include <catch2/catch.hpp>

#include "coordination/roster.h"
#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {
namespace {

constexpr Duration kInterval = Duration::Milliseconds(500);
constexpr Duration kSilence = Duration::Milliseconds(2500);

// One watching instance, and another one that keeps its row in the roster.
struct MonitorFixture {
  MonitorFixture()
      : table(&scheduler, 1), store(&table, &scheduler), monitor(&store, &scheduler, {kInterval, kSilence}) {}

  void StartOwner(const std::string& incarnation) {
    RosterOptions options;
    options.instance = "owner";
    options.incarnation = incarnation;
    options.renewal = Duration::Seconds(1);
    process = std::make_unique<PausableScheduler>(&scheduler);
    owner_store = std::make_unique<FakeTableStore>(&table, process.get());
    roster = std::make_unique<Roster>(owner_store.get(), process.get(), options);
    roster->Start();
  }
  void KillOwner() {
    roster.reset();
    owner_store.reset();
    process.reset();
  }
  bool HasStopped(const std::string& incarnation) const { return monitor.HasStopped("owner", incarnation, since); }

  ManualScheduler scheduler;
  FakeTable table;
  FakeTableStore store;
  OwnerMonitor monitor;
  TimePoint since;
  std::unique_ptr<PausableScheduler> process;
  std::unique_ptr<FakeTableStore> owner_store;
  std::unique_ptr<Roster> roster;
};

// Guards against jobs that wait for seconds after their owner was lost. With 44 instances the roster was read every
// 6.6 s, and each owner counted as alive in between. Seen on trouble-2 of kamzik-tatry-grown.
TEST_CASE("an owner that stops renewing its row is gone soon after its silence") {
  MonitorFixture fixture;
  fixture.StartOwner("first");
  fixture.scheduler.Advance(Duration::Seconds(2));
  fixture.monitor.Watch({"owner"});
  fixture.scheduler.Advance(Duration::Seconds(20));
  CHECK_FALSE(fixture.HasStopped("first"));
  fixture.KillOwner();
  fixture.scheduler.Advance(Duration::Milliseconds(1400));
  CHECK_FALSE(fixture.HasStopped("first"));
  fixture.scheduler.Advance(Duration::Milliseconds(1800));
  CHECK(fixture.HasStopped("first"));
}

// Guards against waiting for the silence of a process whose successor already runs.
TEST_CASE("an owner that has started again is gone at the next read") {
  MonitorFixture fixture;
  fixture.StartOwner("first");
  fixture.monitor.Watch({"owner"});
  fixture.scheduler.Advance(Duration::Seconds(5));
  int change_count = 0;
  fixture.monitor.SetChangedCallback([&change_count] { ++change_count; });
  fixture.KillOwner();
  fixture.StartOwner("second");
  fixture.scheduler.Advance(Duration::Milliseconds(600));
  CHECK(fixture.HasStopped("first"));
  CHECK_FALSE(fixture.HasStopped("second"));
  CHECK(change_count >= 1);
}

// Guards against a claim on a job whose new owner had not written its row yet when the roster was read: after a start
// of all instances, jobs were taken from owners that ran. Seen on trouble-2 of kamzik-tatry-grown.
TEST_CASE("a read that began before the owner was known does not show that it has gone") {
  MonitorFixture fixture;
  fixture.monitor.Watch({"owner"});
  fixture.scheduler.Advance(Duration::Milliseconds(100));
  fixture.since = fixture.scheduler.Now();
  fixture.StartOwner("first");
  CHECK_FALSE(fixture.HasStopped("first"));
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK_FALSE(fixture.HasStopped("first"));
}

// Guards against taking all jobs over when the store comes back after an outage in which nobody renewed.
TEST_CASE("an outage of the table says nothing about an owner") {
  MonitorFixture fixture;
  fixture.StartOwner("first");
  fixture.monitor.Watch({"owner"});
  fixture.scheduler.Advance(Duration::Seconds(5));
  fixture.table.unavailable = true;
  for (int second = 0; second < 10; ++second) {
    fixture.scheduler.Advance(Duration::Seconds(1));
    CHECK_FALSE(fixture.HasStopped("first"));
  }
  fixture.table.unavailable = false;
  for (int step = 0; step < 20; ++step) {
    fixture.scheduler.Advance(Duration::Milliseconds(100));
    CHECK_FALSE(fixture.HasStopped("first"));
  }
}

}  // namespace
}  // namespace quetzalridge
