#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr int kItems = 20;
const Duration kStep = Duration::Seconds(1);

std::set<std::string> ItemsOf(const BatchPage& page) {
  std::set<std::string> items;
  for (const BatchResult& result : page.results) {
    items.insert(result.item);
  }
  return items;
}

// Guards against jobs that lose items, store a result twice, or join the text of several runs wrongly. Truncated
// streams and refused runs bring this about.
TEST_CASE("all items of a job are run, and any instance returns the results") {
  BatchFixture fixture(1);
  fixture.engines.truncation_chance = 0.1;
  fixture.engines.refusal_chance = 0.1;
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(10));
  for (const char* reader : {"one", "two"}) {
    const BatchPage page = fixture.Read(reader, "job", 0);
    REQUIRE(page.status == BatchCallStatus::kOk);
    CHECK(page.total == kItems);
    REQUIRE(page.results.size() == kItems);
    CHECK(ItemsOf(page).size() == kItems);
    for (const BatchResult& result : page.results) {
      CHECK(result.state == BatchResultState::kCompleted);
      CHECK(result.text == fixture.engines.WholeText(result.item));
      CHECK(result.model_versions == std::vector<int64_t>{1});
    }
  }
}

// Guards against results that are not learned from, in which case items are never placed by their cost.
TEST_CASE("an instance learns the costs of the items that it runs") {
  BatchFixture fixture(1);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(10));
  const PlacementKnowledge& knowledge = *fixture.instances.at("one")->placement;
  for (int group = 0; group < kItems / 2; ++group) {
    CHECK(knowledge.lengths.GroupDeviation("job\ngroup-" + std::to_string(group)).has_value());
  }
  CHECK(knowledge.times.MsPerEvent("engine-0", fixture.scheduler.Now()) > 0.0);
  CHECK(knowledge.times.MsToFirstEvent(false) > 0.0);
}

// Guards against items that run twice when the caller submits the same job to two instances.
TEST_CASE("a job that is submitted to two instances at once runs once") {
  BatchFixture fixture(2);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  const BatchSpec job = BatchFixture::MakeJob("job", kItems);
  std::vector<SubmitOutcome> outcomes;
  for (const char* instance : {"one", "two"}) {
    fixture.instances.at(instance)->coordinator.Submit(
        job, kStep, [&outcomes](SubmitOutcome outcome) { outcomes.push_back(outcome); });
  }
  fixture.scheduler.Advance(Duration::Seconds(5));
  CHECK(outcomes == std::vector<SubmitOutcome>{SubmitOutcome::kAccepted, SubmitOutcome::kAccepted});
  std::set<std::string> runners;
  for (const ItemRunRecord& run : fixture.engines.runs) {
    runners.insert(run.instance);
  }
  CHECK(runners.size() == 1);
  CHECK(fixture.engines.runs.size() == kItems);
}

// Guards against a refusal, which promises that nothing runs, for a job that is stored: the response to the write is
// lost, and the write takes effect late.
TEST_CASE("a job is not refused when the outcome of its write is unknown") {
  BatchFixture fixture(3);
  fixture.StartInstance("one");
  fixture.table.responses_to_lose = 1;
  fixture.table.late_apply_probability = 1.0;
  SubmitOutcome outcome = SubmitOutcome::kRefused;
  fixture.instances.at("one")->coordinator.Submit(BatchFixture::MakeJob("job", kItems), Duration::Milliseconds(500),
                                                  [&outcome](SubmitOutcome result) { outcome = result; });
  fixture.scheduler.Advance(kStep);
  CHECK(outcome == SubmitOutcome::kUnknown);
  fixture.scheduler.Advance(Duration::Seconds(5));
  CHECK(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  CHECK(fixture.engines.runs.size() == kItems);
}

// Guards against jobs that are lost, or resumed too late, when the instance that accepted them is killed.
TEST_CASE("the job of a killed instance is taken over within 5 s") {
  BatchFixture fixture(4);
  fixture.engines.event_gap = Duration::Milliseconds(300);
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  const TimePoint killed_at = fixture.scheduler.Now();
  fixture.KillInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(5));
  TimePoint taken_over_at;
  for (const ItemRunRecord& run : fixture.engines.runs) {
    if (run.instance != "one" && taken_over_at == TimePoint()) {
      taken_over_at = run.at;
    }
  }
  REQUIRE(taken_over_at != TimePoint());
  CHECK(taken_over_at - killed_at < Duration::Seconds(5));
  fixture.scheduler.Advance(Duration::Seconds(15));
  CHECK(fixture.Read("two", "job", 0).results.size() == kItems);
}

// Guards against an acknowledged job that is lost when all instances stop right after the acknowledgement.
TEST_CASE("a job survives the loss of all instances right after its acceptance") {
  BatchFixture fixture(5);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  bool accepted = false;
  fixture.instances.at("one")->coordinator.Submit(
      BatchFixture::MakeJob("job", kItems), kStep,
      [&accepted](SubmitOutcome outcome) { accepted = outcome == SubmitOutcome::kAccepted; });
  while (!accepted) {
    fixture.scheduler.Advance(Duration::Milliseconds(1));
  }
  fixture.KillInstance("one");
  fixture.KillInstance("two");
  fixture.scheduler.Advance(kStep);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(fixture.Read("one", "job", 0).results.size() == kItems);
}

// Guards against two results at one position: a former owner that had lost its connection to the table returned the
// results of its own runs at positions where the new owner had stored other results.
TEST_CASE("a former owner returns the results that the new owner stored") {
  BatchFixture fixture(6);
  fixture.engines.event_gap = Duration::Milliseconds(100);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.PartitionInstance("one", true);
  // The new owner's runs use a newer model version, so that its results differ.
  fixture.engines.model_version = 2;
  fixture.scheduler.Advance(Duration::Seconds(6));
  const BatchPage page = fixture.Read("two", "job", 0);
  REQUIRE(!page.results.empty());
  std::vector<BatchResult> shown;
  fixture.instances.at("one")->coordinator.ReadResults("job", kBatchWorkspace, 0, Duration::Seconds(5),
                                                       [&shown](const BatchPage& read) { shown = read.results; });
  fixture.PartitionInstance("one", false);
  fixture.scheduler.Advance(Duration::Seconds(5));
  REQUIRE(!shown.empty());
  for (size_t i = 0; i < std::min(shown.size(), page.results.size()); ++i) {
    CHECK(shown[i].item == page.results[i].item);
    CHECK(shown[i].model_versions == page.results[i].model_versions);
  }
}

// Guards against items that run after their caller has ended the job, even if the owner's process was paused at that
// time.
TEST_CASE("no item of an ended job starts later than 3 s after the end") {
  BatchFixture fixture(7);
  fixture.engines.event_gap = Duration::Milliseconds(200);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems * 3)) == SubmitOutcome::kAccepted);
  fixture.PauseInstance("one");
  bool ended = false;
  fixture.instances.at("two")->coordinator.End(
      "job", kBatchWorkspace, [&ended](BatchCallStatus status) { ended = status == BatchCallStatus::kOk; });
  fixture.scheduler.Advance(Duration::Milliseconds(100));
  REQUIRE(ended);
  const TimePoint ended_at = fixture.scheduler.Now();
  fixture.scheduler.Advance(Duration::Seconds(4));
  fixture.ResumeInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(10));
  for (const ItemRunRecord& run : fixture.engines.runs) {
    CHECK(run.at - ended_at <= Duration::Seconds(3));
  }
}

// Guards against endless runs of an item that can never succeed.
TEST_CASE("an item whose runs keep failing is reported as failed after the route's number of attempts") {
  BatchFixture fixture(8);
  fixture.engines.failing_items = {{"job-item-0", 500}, {"job-item-1", 422}};
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(10));
  const BatchPage page = fixture.Read("one", "job", 0);
  REQUIRE(page.results.size() == kItems);
  std::map<std::string, int> runs;
  for (const ItemRunRecord& run : fixture.engines.runs) {
    ++runs[run.item];
  }
  CHECK(runs["job-item-0"] == 3);
  CHECK(runs["job-item-1"] == 1);
  for (const BatchResult& result : page.results) {
    const bool fails = fixture.engines.failing_items.count(result.item) > 0;
    CHECK((result.state == BatchResultState::kFailed) == fails);
  }
}

// Guards against results that were generated by an older model version than the job accepts.
TEST_CASE("text of a model version that is too old is not used") {
  BatchFixture fixture(9);
  fixture.StartInstance("one");
  BatchSpec job = BatchFixture::MakeJob("job", 2);
  job.oldest_version = 1;
  fixture.engines.model_version = 0;
  REQUIRE(fixture.Submit("one", job) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK(fixture.Read("one", "job", 0).results.empty());
  fixture.engines.model_version = 1;
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(fixture.Read("one", "job", 0).results.size() == 2);
}

// Guards against jobs that wait until other instances detect that their owner has stopped. An item may be without an
// endpoint for at most 5 s.
TEST_CASE("an instance hands its jobs over during a graceful shutdown") {
  BatchFixture fixture(10);
  fixture.engines.event_gap = Duration::Milliseconds(200);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  bool drained = false;
  fixture.instances.at("one")->coordinator.Drain([&drained] { drained = true; });
  fixture.scheduler.Advance(Duration::Seconds(3));
  CHECK(drained);
  const bool other_runs = std::any_of(fixture.engines.runs.begin(), fixture.engines.runs.end(),
                                      [](const ItemRunRecord& run) { return run.instance == "two"; });
  CHECK(other_runs);
}

// Guards against a training step that is delayed by seconds at each graceful shutdown: a job that was released without
// a new owner waits until another instance finds it.
TEST_CASE("the items of a stopping instance are resumed on another one within 200 ms") {
  BatchFixture fixture(13);
  fixture.engines.event_gap = Duration::Milliseconds(50);
  fixture.engines.events_per_item = 40;
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 4)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(1));
  const size_t runs_before = fixture.engines.runs.size();
  const TimePoint stopped_at = fixture.scheduler.Now();
  bool drained = false;
  fixture.instances.at("one")->coordinator.Drain([&drained] { drained = true; });
  SECTION("the new owner receives the notice") {
    fixture.scheduler.Advance(Duration::Milliseconds(200));
    REQUIRE(fixture.engines.runs.size() == runs_before + 4);
  }
  SECTION("the notice to the new owner is lost") {
    fixture.drop_owner_notices = true;
    fixture.scheduler.Advance(Duration::Milliseconds(1500));
    REQUIRE(fixture.engines.runs.size() == runs_before + 4);
  }
  CHECK(drained);
  for (size_t i = runs_before; i < fixture.engines.runs.size(); ++i) {
    CHECK(fixture.engines.runs[i].instance != "one");
    CHECK(fixture.engines.runs[i].resume_after.value_or(0) >= 15);
    CHECK(fixture.engines.runs[i].at - stopped_at <= Duration::Milliseconds(1500));
  }
  fixture.KillInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(6));
  CHECK(fixture.Read("two", "job", 0).results.size() == 4);
}

// Guards against a job that waits for the timeout of its former owner although the same instance has already restarted.
TEST_CASE("a restarted instance resumes its own jobs at once") {
  BatchFixture fixture(14);
  fixture.engines.event_gap = Duration::Milliseconds(100);
  fixture.engines.events_per_item = 40;
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 4)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(1));
  fixture.KillInstance("one");
  fixture.StartInstance("one");
  const size_t runs_before = fixture.engines.runs.size();
  fixture.scheduler.Advance(Duration::Milliseconds(200));
  CHECK(fixture.engines.runs.size() == runs_before + 4);
}

// Guards against a training step that misses the trainer's deadline of 7.5 s because one endpoint is four times slower
// than the others, as in incidents of the users. A long item that started on the slow endpoint needs 16 s if it
// stays there.
TEST_CASE("long items are moved from a slow endpoint, and the step ends before its deadline") {
  BatchFixture fixture(14);
  fixture.engines.event_gap = Duration::Milliseconds(40);
  fixture.engines.events_per_item = 10;
  fixture.engines.slow_endpoints = {{"engine-0", 4}};
  // Each endpoint has four slots, so at least one long item starts on the slow one.
  for (int i = 0; i < 13; ++i) {
    fixture.engines.long_items["job-item-" + std::to_string(i)] = 100;
  }
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 16)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Milliseconds(7400));
  const BatchPage page = fixture.Read("one", "job", 0);
  REQUIRE(page.results.size() == 16);
  for (const BatchResult& result : page.results) {
    CHECK(result.text == fixture.engines.WholeText(result.item));
  }
}

// Guards against items that are moved back and forth, because several events that another instance passes on at once
// look like a fast endpoint.
TEST_CASE("items that run through another instance are not moved for the times at which their events arrive") {
  BatchFixture fixture(14);
  fixture.engines.event_gap = Duration::Milliseconds(40);
  fixture.engines.relayed = true;
  for (int i = 0; i < 8; ++i) {
    fixture.engines.long_items["job-item-" + std::to_string(i)] = 100;
  }
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 8)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(6));
  CHECK(fixture.engines.runs.size() == 8);
  CHECK(fixture.Read("one", "job", 0).results.size() == 8);
}

// Guards against a training step that makes no progress during an outage of the table. Items may start during it, since
// nobody can end the job then.
TEST_CASE("items continue to start during an outage of the table") {
  BatchFixture fixture(15);
  fixture.engines.event_gap = Duration::Milliseconds(200);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 60)) == SubmitOutcome::kAccepted);
  fixture.table.unavailable = true;
  fixture.scheduler.Advance(Duration::Seconds(6));
  fixture.table.unavailable = false;
  fixture.scheduler.Advance(Duration::Seconds(1));
  // 16 slots, and a bit over one second per item.
  CHECK(fixture.Read("one", "job", 0).results.size() >= 48);
}

// Guards against items that start from the beginning when a trainer submits the unfinished items of its last step
// again. These are the longest items, and they would delay the next step by the same time again.
TEST_CASE("an item that is submitted again continues the text that an ended job generated") {
  BatchFixture fixture(16);
  fixture.engines.event_gap = Duration::Milliseconds(40);
  BatchSpec first = BatchFixture::MakeJob("first", 4);
  const std::string long_item = first.items[0].id;
  fixture.engines.long_items[long_item] = 100;
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", first) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(3));
  bool ended = false;
  fixture.instances.at("two")->coordinator.End("first", kBatchWorkspace, [&ended](BatchCallStatus) { ended = true; });
  fixture.scheduler.Advance(Duration::Seconds(1));
  REQUIRE(ended);
  BatchSpec second = BatchFixture::MakeJob("second", 4);
  second.items.push_back(first.items[0]);
  const size_t runs_before = fixture.engines.runs.size();
  REQUIRE(fixture.Submit("two", second) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(2));
  const BatchPage page = fixture.Read("two", "second", 0);
  REQUIRE(page.results.size() == 5);
  for (const BatchResult& result : page.results) {
    CHECK(result.text == fixture.engines.WholeText(result.item));
  }
  for (size_t i = runs_before; i < fixture.engines.runs.size(); ++i) {
    CHECK(fixture.engines.runs[i].resume_after.value_or(0) >= (fixture.engines.runs[i].item == long_item ? 60 : 0));
  }
}

// Guards against a long item that each new owner starts from the beginning during a rolling restart, in which owners
// stop one after the other. The item then took 12 s instead of 4 s.
TEST_CASE("a long item continues where it was when its owner stops or is killed") {
  for (const bool planned : {true, false}) {
    BatchFixture fixture(18);
    fixture.engines.event_gap = Duration::Milliseconds(40);
    BatchSpec job = BatchFixture::MakeJob("job", 1);
    fixture.engines.long_items[job.items[0].id] = 150;
    fixture.StartInstance("one");
    fixture.StartInstance("two");
    REQUIRE(fixture.Submit("one", job) == SubmitOutcome::kAccepted);
    fixture.scheduler.Advance(Duration::Seconds(4));
    if (planned) {
      fixture.instances.at("one")->coordinator.Drain([] {});
    } else {
      fixture.KillInstance("one");
    }
    fixture.scheduler.Advance(Duration::Seconds(8));
    REQUIRE(fixture.engines.runs.size() == 2);
    CHECK(fixture.engines.runs[1].instance == "two");
    CHECK(fixture.engines.runs[1].resume_after.value_or(0) >= (planned ? 90 : 50));
    const BatchPage page = fixture.Read("two", "job", 0);
    REQUIRE(page.results.size() == 1);
    CHECK(page.results[0].text == fixture.engines.WholeText(job.items[0].id));
  }
}

// Guards against results that contain text of an ended job from an older model version than the later job accepts.
TEST_CASE("text of an ended job is not used if its model version is too old") {
  BatchFixture fixture(17);
  fixture.engines.event_gap = Duration::Milliseconds(40);
  BatchSpec first = BatchFixture::MakeJob("first", 1);
  fixture.engines.long_items[first.items[0].id] = 50;
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", first) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(1));
  fixture.instances.at("one")->coordinator.End("first", kBatchWorkspace, [](BatchCallStatus) {});
  fixture.scheduler.Advance(Duration::Milliseconds(500));
  BatchSpec second = BatchFixture::MakeJob("second", 1);
  second.items = first.items;
  second.oldest_version = 2;
  fixture.engines.model_version = 2;
  for (const char* engine : {"engine-0", "engine-1", "engine-2", "engine-3"}) {
    fixture.instances.at("one")->directory.OnModelVersion(engine, kBatchModel, 2);
  }
  REQUIRE(fixture.Submit("one", second) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(4));
  const BatchPage page = fixture.Read("one", "second", 0);
  REQUIRE(page.results.size() == 1);
  CHECK(page.results[0].model_versions == std::vector<int64_t>{2});
  CHECK(page.results[0].text == fixture.engines.WholeText(first.items[0].id));
}

// Guards against a "not found" response when the table did not respond, so that the job may exist.
TEST_CASE("a job that cannot be looked up is not reported as missing") {
  BatchFixture fixture(11);
  fixture.StartInstance("one");
  CHECK(fixture.Read("one", "none", 0).status == BatchCallStatus::kNotFound);
  fixture.table.unavailable = true;
  CHECK(fixture.Read("one", "none", 0).status == BatchCallStatus::kUnavailable);
}

// Guards against finished jobs that stay in the table and in memory without limit, and against jobs that are removed
// too early.
TEST_CASE("a finished job is removed after its retention, and not before") {
  BatchFixture fixture(19);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("done", 5)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(kBatchRetention - Duration::Seconds(2));
  CHECK(fixture.Read("two", "done", 0).results.size() == 5);
  fixture.scheduler.Advance(Duration::Seconds(90));
  CHECK(fixture.Read("two", "done", 0).status == BatchCallStatus::kNotFound);
  CHECK(fixture.table.rows().empty());
}

// Guards against a caller that reads the job of another workspace.
TEST_CASE("a job is invisible to other workspaces") {
  BatchFixture fixture(12);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 2)) == SubmitOutcome::kAccepted);
  BatchCallStatus status = BatchCallStatus::kOk;
  fixture.instances.at("one")->coordinator.ReadResults("job", "stranger", 0, Duration(),
                                                       [&status](const BatchPage& page) { status = page.status; });
  CHECK(status == BatchCallStatus::kNotFound);
}

// Guards against an instance that cannot return item bodies because it does not own the job.
TEST_CASE("any instance returns the body of an item") {
  BatchFixture fixture(13);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 3)) == SubmitOutcome::kAccepted);
  for (const char* reader : {"one", "two"}) {
    std::string body;
    fixture.instances.at(reader)->coordinator.ReadItemBody(
        "job", kBatchWorkspace, "job-item-2", [&body](BatchCallStatus, const std::string& read) { body = read; });
    fixture.scheduler.Advance(Duration::Milliseconds(100));
    CHECK(body == "body of job-item-2");
  }
}

// Guards against the end of a job that is acknowledged although it is not stored, so that the items run again after a
// restart: the first attempt fails because the table is unavailable, and the second finds the job already stopped.
TEST_CASE("an end that was acknowledged after a failed attempt survives the restart of all instances") {
  BatchFixture fixture(21);
  fixture.engines.event_gap = Duration::Milliseconds(300);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  std::vector<BatchCallStatus> statuses;
  const auto end = [&fixture, &statuses] {
    fixture.instances.at("one")->coordinator.End("job", kBatchWorkspace,
                                                 [&statuses](BatchCallStatus status) { statuses.push_back(status); });
    fixture.scheduler.Advance(Duration::Milliseconds(50));
  };
  fixture.table.unavailable = true;
  end();
  fixture.scheduler.Advance(Duration::Seconds(2));
  REQUIRE(statuses == std::vector<BatchCallStatus>{BatchCallStatus::kUnavailable});
  end();
  CHECK(statuses.back() == BatchCallStatus::kUnavailable);
  fixture.table.unavailable = false;
  end();
  CHECK(statuses.back() == BatchCallStatus::kOk);
  const size_t runs = fixture.engines.runs.size();
  fixture.KillInstance("one");
  fixture.scheduler.Advance(kStep);
  fixture.StartInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(fixture.engines.runs.size() == runs);
}

// Guards against items that run outside the home regions of their workspace, and against owners elsewhere, which would
// read the bodies of the items.
TEST_CASE("items run, and jobs are taken over, only in their home regions") {
  BatchFixture fixture(1);
  fixture.engines.event_gap = Duration::Milliseconds(100);
  fixture.engines.regions = {{"engine-0", "east"}, {"engine-1", "east"}, {"engine-2", "west"}};
  fixture.engines.home_regions = HomeRegions({"east"});
  fixture.possible_owners = [](std::vector<std::string> live) {
    live.erase(std::remove(live.begin(), live.end(), "three"), live.end());
    return live;
  };
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  constexpr int kJobs = 8;
  for (int i = 0; i < kJobs; ++i) {
    REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job-" + std::to_string(i), 20)) == SubmitOutcome::kAccepted);
  }
  fixture.KillInstance("one");
  const size_t before = fixture.engines.runs.size();
  fixture.scheduler.Advance(Duration::Seconds(15));
  REQUIRE(fixture.engines.runs.size() > before);
  for (size_t i = 0; i < fixture.engines.runs.size(); ++i) {
    const ItemRunRecord& run = fixture.engines.runs[i];
    CHECK((run.endpoint == "engine-0" || run.endpoint == "engine-1"));
    CHECK(run.instance != "three");
  }
}

}  // namespace
}  // namespace quetzalridge
