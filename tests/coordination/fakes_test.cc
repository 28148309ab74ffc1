#include <catch2/catch.hpp>

#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {
namespace {

TableTransaction Insert(const std::string& id, const std::string& key) {
  return {id, {{key, 0}}, {{key, "value of " + id}}};
}

// Guards against a fake with fewer faults than the platform. A transaction whose response is lost must be applied, and
// a retry must fail with a conflict on the row that the first attempt wrote with the same transaction id.
TEST_CASE("a transaction whose response is lost is applied and conflicts when it is sent again") {
  ManualScheduler scheduler;
  PausableScheduler process(&scheduler);
  FakeTable table(&scheduler, 1);
  FakeTableStore store(&table, &process);
  std::vector<TransactResult> results;
  const auto collect = [&](const TransactResult& result) { results.push_back(result); };
  table.responses_to_lose = 1;
  store.Transact(Insert("a", "k"), collect);
  scheduler.Advance(Duration::Seconds(6));
  store.Transact(Insert("a", "k"), collect);
  scheduler.Advance(Duration::Seconds(1));
  REQUIRE(results.size() == 2);
  CHECK(results[0].outcome == TransactOutcome::kUnknown);
  CHECK(results[1].outcome == TransactOutcome::kConflict);
  CHECK(results[1].rows.at(0).transaction_id == "a");
}

// Guards against a fake that runs the callbacks of a paused process before the process resumes.
TEST_CASE("responses and timers of a paused process wait until it resumes") {
  ManualScheduler scheduler;
  PausableScheduler process(&scheduler);
  FakeTable table(&scheduler, 1);
  FakeTableStore store(&table, &process);
  int responses = 0;
  store.Read({"k"}, [&](const ReadResult&) { ++responses; });
  const std::unique_ptr<Timer> timer = process.After(Duration::Seconds(1), [&] { ++responses; });
  process.Pause();
  scheduler.Advance(Duration::Seconds(10));
  CHECK(responses == 0);
  process.Resume();
  CHECK(responses == 2);
}

}  // namespace
}  // namespace quetzalridge
