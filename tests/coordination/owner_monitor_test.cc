#include "coordination/owner_monitor.h"

#include <catch2/catch.hpp>

#include "coordination/roster.h"
#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {
namespace {

constexpr Duration kInterval = Duration::Milliseconds(500);
constexpr Duration kSilence = Duration::Milliseconds(2500);

// The monitor of one instance, and a second instance that renews its row in the roster.
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

// Guards against jobs that wait for seconds after their owner was lost. With 44 instances the whole roster is read only
// every 6.6 s, and without the monitor each owner counts as alive in between.
TEST_CASE("an owner that no longer renews its row counts as stopped soon after the timeout") {
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

// Guards against waiting for the timeout of a process although a new process of the same instance already runs.
TEST_CASE("the process of an owner that has restarted counts as stopped at the next read") {
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

// Guards against taking a job from a running owner: when all instances start at once, the roster may be read before the
// new owner of a job has written its row.
TEST_CASE("a read that began before the owner was known does not show that the owner has stopped") {
  MonitorFixture fixture;
  fixture.monitor.Watch({"owner"});
  fixture.scheduler.Advance(Duration::Milliseconds(100));
  fixture.since = fixture.scheduler.Now();
  fixture.StartOwner("first");
  CHECK_FALSE(fixture.HasStopped("first"));
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK_FALSE(fixture.HasStopped("first"));
}

// Guards against taking over all jobs after an outage of the table, during which no instance could renew its row.
TEST_CASE("an owner does not count as stopped because of an outage of the table") {
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

// Guards against an alarm about lost instances at each planned stop, in which an instance removes its row.
TEST_CASE("an instance that no longer renews its row is reported as silent, and one that removed its row is not") {
  for (const bool removes_row : {false, true}) {
    MonitorFixture fixture;
    fixture.StartOwner("first");
    fixture.monitor.Watch({"owner"});
    fixture.scheduler.Advance(Duration::Seconds(5));
    std::set<std::string> silent;
    fixture.monitor.SetSilentCallback([&silent](const std::string& instance, int64_t) { silent.insert(instance); });
    fixture.scheduler.Advance(Duration::Seconds(5));
    CHECK(silent.empty());
    fixture.KillOwner();
    if (removes_row) {
      TableTransaction removal;
      removal.id = "removal";
      removal.writes = {{RosterKey("owner"), std::nullopt}};
      fixture.table.Apply(removal);
    }
    fixture.scheduler.Advance(Duration::Seconds(5));
    CHECK(silent.empty() == removes_row);
  }
}

}  // namespace
}  // namespace quetzalridge
