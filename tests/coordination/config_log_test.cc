#include "coordination/config_log.h"

#include <catch2/catch.hpp>

#include "coordination/config_record.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/in_memory_object_store.h"

namespace quetzalridge {
namespace {

// The configuration log of one simulated instance without peers.
struct Instance {
  Instance(ManualScheduler* scheduler, FakeTable* table, InMemoryObjectStore* objects, const std::string& name)
      : process(scheduler), store(table, &process), log(&store, objects, &process, Options(name)) {
    log.Start();
  }

  static ConfigLogOptions Options(const std::string& name) {
    ConfigLogOptions options;
    options.incarnation = name;
    return options;
  }

  bool MayServe() const { return log.MayServeKeyedRoutes(process.clock().Now()); }

  PausableScheduler process;
  FakeTableStore store;
  ConfigLog log;
};

struct Fixture {
  ManualScheduler scheduler;
  FakeTable table{&scheduler, 1};
  InMemoryObjectStore objects{&scheduler};

  ProposalResult Propose(Instance* instance, ConfigProposal proposal, Duration wait = Duration::Seconds(60)) {
    ProposalResult result;
    instance->log.Propose(std::move(proposal), [&](const ProposalResult& r) { result = r; });
    scheduler.Advance(wait);
    return result;
  }

  static ConfigProposal Workspace(int64_t base, const std::string& name) {
    return {base, ConfigKind::kWorkspace, name, "{\"share\":2}"};
  }
};

// Guards against an instance that does not apply a change which another instance accepted.
TEST_CASE("a change that one instance accepts is applied by the others within a poll interval") {
  Fixture f;
  Instance a(&f.scheduler, &f.table, &f.objects, "a");
  Instance b(&f.scheduler, &f.table, &f.objects, "b");
  f.scheduler.Advance(Duration::Milliseconds(10));
  const ProposalResult result = f.Propose(&a, Fixture::Workspace(0, "w"), Duration::Milliseconds(1100));
  CHECK(result.outcome == ProposalOutcome::kInForce);
  CHECK(result.version == 1);
  CHECK(b.log.document().workspaces().count("w") == 1);
}

// Guards against a lost update when two operators change the configuration at the same time. The one whose change is
// rejected must get the other change.
TEST_CASE("a conflicting proposal returns the changes since its base version") {
  Fixture f;
  Instance a(&f.scheduler, &f.table, &f.objects, "a");
  Instance b(&f.scheduler, &f.table, &f.objects, "b");
  f.scheduler.Advance(Duration::Milliseconds(10));
  ProposalResult first;
  a.log.Propose(Fixture::Workspace(0, "one"), [&](const ProposalResult& r) { first = r; });
  const ProposalResult second = f.Propose(&b, Fixture::Workspace(0, "two"));
  CHECK(first.outcome == ProposalOutcome::kInForce);
  CHECK(second.outcome == ProposalOutcome::kConflict);
  REQUIRE(second.changes.size() == 1);
  CHECK(second.changes[0].name == "one");
  CHECK(second.version == 1);
}

// Guards against a change that is accepted twice, or is reported as failed although it was accepted, when the response
// to the transaction is lost.
TEST_CASE("a lost response is resolved by the transaction id in the change row") {
  Fixture f;
  Instance a(&f.scheduler, &f.table, &f.objects, "a");
  f.scheduler.Advance(Duration::Milliseconds(10));
  f.table.responses_to_lose = 1;
  const ProposalResult result = f.Propose(&a, Fixture::Workspace(0, "w"));
  CHECK(result.outcome == ProposalOutcome::kInForce);
  CHECK(a.log.document().version() == 1);
  CHECK(f.table.Row(ConfigChangeKey(2)).version == 0);
}

// Guards against an invalid value that gets into the log, where no instance could apply it.
TEST_CASE("an invalid value is rejected and leaves the log unchanged") {
  Fixture f;
  Instance a(&f.scheduler, &f.table, &f.objects, "a");
  f.scheduler.Advance(Duration::Milliseconds(10));
  const ProposalResult result = f.Propose(&a, {0, ConfigKind::kWorkspace, "w", "{\"share\":-1}"});
  CHECK(result.outcome == ProposalOutcome::kInvalid);
  CHECK(f.table.Row(kConfigHeadKey).version == 0);
}

// Guards against an instance that accepts withdrawn API keys because it does not know the current configuration: before
// the first confirmation of the head, after an outage of the store, or after a pause of the process.
TEST_CASE("the serving permission expires 3 s after the last confirmation") {
  Fixture f;
  Instance a(&f.scheduler, &f.table, &f.objects, "a");
  CHECK_FALSE(a.MayServe());
  f.scheduler.Advance(Duration::Milliseconds(10));
  CHECK(a.MayServe());
  SECTION("when the store is unreachable") {
    a.store.partitioned = true;
    f.scheduler.Advance(Duration::Milliseconds(2900));
    CHECK(a.MayServe());
    f.scheduler.Advance(Duration::Milliseconds(200));
    CHECK_FALSE(a.MayServe());
  }
  SECTION("when the process was paused") {
    a.process.Pause();
    f.scheduler.Advance(Duration::Seconds(60));
    CHECK_FALSE(a.MayServe());
    a.process.Resume();
    CHECK_FALSE(a.MayServe());
    f.scheduler.Advance(Duration::Milliseconds(1010));
    CHECK(a.MayServe());
  }
}

// Guards against snapshots that are not written, which would make a new instance read the whole log, and against an
// instance that cannot start, or starts with a wrong configuration, when a snapshot is missing.
TEST_CASE("a new instance starts from a snapshot and the changes after it") {
  Fixture f;
  const bool with_snapshots = GENERATE(true, false);
  f.objects.unavailable = !with_snapshots;
  Instance a(&f.scheduler, &f.table, &f.objects, "a");
  f.scheduler.Advance(Duration::Milliseconds(10));
  constexpr int kChanges = 150;
  for (int i = 0; i < kChanges; ++i) {
    f.Propose(&a, Fixture::Workspace(i, "w" + std::to_string(i)), Duration::Milliseconds(20));
  }
  f.objects.unavailable = false;
  Instance b(&f.scheduler, &f.table, &f.objects, "b");
  f.scheduler.Advance(Duration::Milliseconds(100));
  CHECK(b.log.loaded());
  CHECK(b.log.document().ToJson() == a.log.document().ToJson());
  CHECK(f.objects.objects().count(ConfigSnapshotName(128)) == (with_snapshots ? 1 : 0));
}

}  // namespace
}  // namespace quetzalridge
