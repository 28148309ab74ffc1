#include <catch2/catch.hpp>
#include <string>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr int kItems = 8;
constexpr char kOtherWorkspace[] = "sellers";

// Guards against an acceptance that is worth nothing: the job under this id belongs to another workspace, whose callers
// alone can read it.
TEST_CASE("a submission under the id of another workspace's job is refused at each instance") {
  BatchFixture fixture(1);
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  const BatchSpec job = BatchFixture::MakeJob("job", kItems);
  BatchSpec other = job;
  other.workspace = kOtherWorkspace;
  REQUIRE(fixture.Submit("one", job) == SubmitOutcome::kAccepted);
  for (const char* name : {"two", "one", "three"}) {
    INFO(name);
    CHECK(fixture.Submit(name, other) == SubmitOutcome::kRefused);
    CHECK(fixture.Submit(name, job) == SubmitOutcome::kAccepted);
  }
  fixture.scheduler.Advance(Duration::Seconds(5));
  CHECK(fixture.Read("two", "job", 0).results.size() == kItems);
  CHECK(fixture.engines.runs.size() == kItems);
}

// Guards against a job that is lost because earlier versions kept the jobs of public routes without a workspace.
TEST_CASE("a job that was stored without a workspace is read and ended with any key") {
  BatchFixture fixture(2);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  BatchSpec stored = BatchFixture::MakeJob("job", kItems);
  stored.workspace = "";
  REQUIRE(fixture.Submit("one", stored) == SubmitOutcome::kAccepted);
  CHECK(fixture.Submit("two", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(5));
  for (const char* name : {"one", "two"}) {
    CHECK(fixture.Read(name, "job", 0).results.size() == kItems);
  }
  BatchCallStatus ended = BatchCallStatus::kUnavailable;
  fixture.instances.at("two")->coordinator.End("job", kBatchWorkspace,
                                               [&ended](BatchCallStatus status) { ended = status; });
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK(ended == BatchCallStatus::kOk);
}

// Guards against items that run on the service of a route of another kind, because its prefix begins the path of their
// job.
TEST_CASE("the items of a job run only on services of batch routes") {
  for (const char* prefix : {"/", kBatchPath, "/hides/special/"}) {
    INFO(prefix);
    BatchFixture fixture(3);
    fixture.engines.services["engine-3"] = "streams";
    fixture.engines.event_gap = Duration::Milliseconds(200);
    fixture.StartInstance("one");
    BatchSpec job = BatchFixture::MakeJob("job", 40);
    job.path = "/hides/special/job";
    REQUIRE(fixture.Submit("one", job) == SubmitOutcome::kAccepted);
    auto& instance = *fixture.instances.at("one");
    ServingConfig config = BatchFixture::Instance::MakeConfig(fixture);
    ServiceRoute streams = config.routes[0];
    streams.name = "streams";
    streams.prefix = prefix;
    streams.kind = RouteKind::kStream;
    streams.services = {{"streams", 1}};
    const ServiceRoute batch = config.routes[0];
    const bool replaces_batch_route = streams.prefix == batch.prefix;
    config.version = 2;
    config.routes = {streams, fixture.ScoreRoute()};
    if (!replaces_batch_route) {
      config.routes.push_back(batch);
    }
    instance.routes.Apply(config);
    fixture.scheduler.Advance(Duration::Seconds(10));
    for (const ItemRunRecord& run : fixture.engines.runs) {
      CHECK(run.endpoint != "engine-3");
    }
    CHECK((replaces_batch_route || fixture.Read("one", "job", 0).results.size() == 40));
    // The operator removes the batch route, which leaves the other one.
    config.version = 3;
    config.routes = {streams, fixture.ScoreRoute()};
    instance.routes.Apply(config);
    REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("late", 4)) == SubmitOutcome::kAccepted);
    fixture.scheduler.Advance(Duration::Seconds(5));
    for (const ItemRunRecord& run : fixture.engines.runs) {
      CHECK(run.endpoint != "engine-3");
    }
  }
}

}  // namespace
}  // namespace quetzalridge
