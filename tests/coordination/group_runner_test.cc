#include "coordination/group_runner.h"

#include <catch2/catch.hpp>

#include "tests/fakes/fake_rollout_world.h"

namespace quetzalridge {
namespace {

struct RunnerWorld {
  explicit RunnerWorld(GroupRunOptions run_options = {}) : options(run_options) {}

  GroupRunner& Start(int samples, int needed) {
    SampleGroupSpec spec;
    spec.id = "g";
    spec.prompt = "p";
    spec.samples = samples;
    spec.needed = needed;
    spec.max_tokens = 5;
    runner = std::make_unique<GroupRunner>(&engine, &scheduler, &forecast, spec, options, [this] { ++completions; });
    runner->Start();
    return *runner;
  }
  ManualScheduler scheduler;
  FakeWeights weights;
  FakeSampleEngine engine{&scheduler, &weights, 3};
  VersionForecast forecast;
  GroupRunOptions options;
  std::unique_ptr<GroupRunner> runner;
  int completions = 0;
};

// Guards against surplus samples that occupy engines after the group is complete.
TEST_CASE("surplus samples are cancelled when enough are finished") {
  RunnerWorld world;
  world.engine.slow_starts = 1;
  const GroupRunner& runner = world.Start(4, 3);
  world.scheduler.Advance(Duration::Milliseconds(200));
  CHECK(world.completions == 1);
  CHECK(world.engine.live_runs() == 0);
  CHECK(runner.group().Results().size() == 3);
}

// Guards against a resumed sample that names only the version that finished it.
TEST_CASE("a straggler that is resumed names the versions of both parts and avoids its endpoint") {
  GroupRunOptions options;
  options.strategy = StragglerStrategy::kResume;
  RunnerWorld world(options);
  world.engine.slow_starts = 1;
  world.engine.slow_factor = 20;
  const GroupRunner& runner = world.Start(3, 3);
  world.scheduler.Advance(Duration::Milliseconds(450));
  world.weights.version = 2;
  world.scheduler.Advance(Duration::Seconds(2));
  REQUIRE(world.completions == 1);
  const SampleRequest& resumed = world.engine.requests.back();
  CHECK(resumed.resume_tokens == 1);
  CHECK(resumed.resume_text == "v1 ");
  CHECK(resumed.excluded.size() == 1);
  CHECK(runner.group().Results()[0].runs == WeightVersionRuns{{1, 1}, {2, 4}});
}

// Guards against two results of one sample, and against a slow copy that runs on.
TEST_CASE("the first of two copies is used and the other is cancelled") {
  RunnerWorld world;
  world.engine.slow_starts = 1;
  const GroupRunner& runner = world.Start(3, 3);
  world.scheduler.Advance(Duration::Seconds(2));
  CHECK(world.completions == 1);
  CHECK(world.engine.requests.size() == 4);
  CHECK(world.engine.live_runs() == 0);
  CHECK(runner.group().Results().size() == 3);
}

// Guards against a group that waits forever for a sample that will not be run again.
TEST_CASE("a group of which a member failed is complete without it") {
  SampleGroup group({"g", 1, "p", "m", 2, 2, 5}, 2.0);
  const TimePoint now = TimePoint::FromMilliseconds(1);
  const SampleGroup::CopyId first = group.AddCopy(0, now);
  const SampleGroup::CopyId second = group.AddCopy(1, now);
  group.OnMemberFailed(first);
  CHECK_FALSE(group.complete());
  group.OnFinished(second, now);
  CHECK(group.complete());
  CHECK(group.Results().size() == 1);
  CHECK(group.failed_members() == 1);
}

// Guards against work on text that will be past the bound when it is handed over.
TEST_CASE("an interrupted sample is not resumed when its text would be too old at hand-over") {
  GroupRunOptions options;
  options.staleness_bound = 1;
  for (const bool forecast_freshness : {false, true}) {
    options.forecast_freshness = forecast_freshness;
    RunnerWorld world(options);
    world.forecast.Observe(1, TimePoint::FromMilliseconds(900'000));
    world.forecast.Observe(2, TimePoint::FromMilliseconds(950'000));
    world.forecast.Observe(3, TimePoint::FromMilliseconds(1'000'000));
    world.forecast.ObserveRunTime(Duration::Seconds(60));
    world.weights.version = 2;
    world.engine.interrupt_chance = 0.5;
    world.Start(1, 1);
    // The next version is expected in 50 s and the hand-over in 60 s, so text of version 2 is too old for it.
    world.scheduler.Advance(Duration::Milliseconds(600));
    bool resumed = false;
    for (const SampleRequest& request : world.engine.requests) {
      resumed = resumed || request.resume_tokens > 0;
      CHECK(request.min_weight_version == (forecast_freshness ? 3 : 2));
    }
    REQUIRE(world.engine.requests.size() > 1);
    CHECK(resumed == !forecast_freshness);
  }
}

}  // namespace
}  // namespace quetzalridge
