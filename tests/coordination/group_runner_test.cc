#include "coordination/group_runner.h"

#include <catch2/catch.hpp>
#include <memory>
#include <utility>

#include "tests/fakes/fake_rollout_world.h"

namespace quetzalridge {
namespace {

struct RunnerWorld {
  explicit RunnerWorld(GroupRunOptions run_options = {}) : options(std::move(run_options)) {}

  GroupRunner& Start(int samples, int needed) {
    SampleGroupSpec spec;
    spec.id = "g";
    spec.prompt = "p";
    spec.samples = samples;
    spec.needed = needed;
    spec.max_tokens = 5;
    runner =
        std::make_unique<GroupRunner>(&engine, &scheduler, &forecast, &speed, spec, options, [this] { ++completions; });
    runner->Start();
    return *runner;
  }
  ManualScheduler scheduler;
  FakeWeights weights;
  FakeSampleEngine engine{&scheduler, &weights, 3};
  VersionForecast forecast;
  TokenTimeEstimator speed;
  GroupRunOptions options;
  std::unique_ptr<GroupRunner> runner;
  int completions = 0;
};

// Guards against surplus samples that occupy engines after the group is complete.
TEST_CASE("surplus samples are cancelled when enough are finished") {
  GroupRunOptions options;
  options.surplus = SurplusRule::kAtOnce;
  RunnerWorld world(options);
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
  options.rule = StragglerRule::kRunTime;
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
  GroupRunOptions options;
  options.strategy = StragglerStrategy::kSecondCopyFromText;
  options.rule = StragglerRule::kRunTime;
  RunnerWorld world(options);
  world.engine.slow_starts = 1;
  const GroupRunner& runner = world.Start(3, 3);
  world.scheduler.Advance(Duration::Seconds(2));
  CHECK(world.completions == 1);
  CHECK(world.engine.requests.size() == 4);
  CHECK(world.engine.live_runs() == 0);
  CHECK(runner.group().Results().size() == 3);
}

// A group of which the members run on endpoints of their own, with the token times that the test gives.
class TokenTimes {
 public:
  TokenTimes(int members, int needed) : m_group({"g", 1, "p", "m", members, needed, 5}, 2.0) {
    for (int i = 0; i < needed; ++i) {
      m_group.OnStarted(m_group.AddCopy(i, m_now), "endpoint-" + std::to_string(i));
    }
  }
  // Each copy yields one token in each of its token times, for one window.
  void RunWindow(const std::vector<int64_t>& token_ms) {
    const TimePoint start = m_now;
    while (m_now - start < SampleGroup::kTokenWindow) {
      m_now = m_now + Duration::Milliseconds(10);
      for (size_t copy = 0; copy < token_ms.size(); ++copy) {
        if (token_ms[copy] > 0 && (m_now - start).ms() % token_ms[copy] == 0) {
          m_group.OnToken(copy, "t", 1, m_now);
        }
      }
    }
    m_now = m_now + Duration::Milliseconds(10);
    for (const EndpointTokenTime& time : m_group.TakeTokenTimes(m_now)) {
      m_speed.Observe(time.endpoint, time.token_ms, m_now);
    }
  }
  std::vector<SampleGroup::CopyId> Slow() const {
    const std::optional<double> typical = m_speed.MedianMs(m_now);
    return typical.has_value() ? m_group.SlowCopies(2.0 * *typical) : std::vector<SampleGroup::CopyId>();
  }

 private:
  TimePoint m_now = TimePoint::FromMilliseconds(1);
  SampleGroup m_group;
  TokenTimeEstimator m_speed;
};

// Guards against a sample that stays on a slow endpoint until half of its group is finished, and against one that is
// moved because it is long or because its endpoint paused once, as for a weight swap.
TEST_CASE("a copy is slow by its token time over two windows") {
  TokenTimes times(4, 4);
  times.RunWindow({20, 20, 160, 20});
  times.RunWindow({20, 20, 160, 20});
  CHECK(times.Slow().empty());
  times.RunWindow({20, 20, 160, 20});
  CHECK(times.Slow() == std::vector<SampleGroup::CopyId>{2});
  times.RunWindow({20, 0, 20, 20});
  CHECK(times.Slow().empty());
  times.RunWindow({20, 20, 20, 20});
  CHECK(times.Slow().empty());
  times.RunWindow({20, 20, 20, 0});
  times.RunWindow({20, 20, 20, 0});
  CHECK(times.Slow() == std::vector<SampleGroup::CopyId>{3});
}

// Guards against samples that are moved back and forth when the service shows too few endpoints to tell a slow one.
TEST_CASE("two endpoints do not tell which of them is slow") {
  TokenTimes times(2, 2);
  for (int i = 0; i < 4; ++i) {
    times.RunWindow({20, 160});
  }
  CHECK(times.Slow().empty());
}

// Guards against a slow sample that waits for the median of its group, and against the loss of its text.
TEST_CASE("a sample with slow tokens goes on elsewhere before any sample of its group is finished") {
  RunnerWorld world;
  world.engine.tokens_per_sample = 1000;
  world.engine.slow_starts = 1;
  world.engine.slow_factor = 10;
  const GroupRunner& runner = world.Start(9, 9);
  world.scheduler.Advance(Duration::Seconds(4));
  REQUIRE(world.engine.requests.size() == 10);
  CHECK(world.engine.requests.back().resume_tokens > 0);
  CHECK(world.engine.requests.back().excluded.size() == 1);
  CHECK(world.engine.live_runs() == 9);
  world.scheduler.Advance(Duration::Seconds(60));
  CHECK(world.completions == 1);
  CHECK(world.engine.requests.size() == 10);
  CHECK(runner.group().WastedTokens() == 0);
}

// A group of which one sample is slow, until it was moved.
void MoveSlowSample(RunnerWorld* world, Duration time) {
  world->engine.tokens_per_sample = 1000;
  world->engine.slow_starts = 1;
  world->engine.slow_factor = 10;
  world->Start(9, 9);
  world->scheduler.Advance(time);
}

// Guards against a cache that does not reach the new engine, against tokens that are lost during the export, and
// against stamps of the moved sample that are not those of its tokens.
TEST_CASE("a slow sample goes on from its cache with the tokens and stamps that it has by then") {
  RunnerWorld world;
  world.engine.kv = std::make_shared<const std::string>("cache");
  world.engine.export_time = Duration::Milliseconds(450);
  MoveSlowSample(&world, Duration::Milliseconds(1100));
  // The swap comes in the middle of the stream, and before the move.
  world.weights.version = 2;
  world.scheduler.Advance(Duration::Seconds(4));
  REQUIRE(world.engine.requests.size() == 10);
  const SampleRequest moved = world.engine.requests.back();
  CHECK(moved.kv == world.engine.kv);
  world.scheduler.Advance(Duration::Seconds(60));
  REQUIRE(world.completions == 1);
  const std::vector<FinishedSample> samples = world.runner->group().Results();
  for (const FinishedSample& sample : samples) {
    REQUIRE(sample.runs.size() == 2);
    // The text of the fake repeats the version of each token.
    std::string text;
    for (const WeightVersionRun& run : sample.runs) {
      for (int64_t i = 0; i < run.tokens; ++i) {
        text += "v" + std::to_string(run.version) + " ";
      }
    }
    CHECK(sample.text == text);
    CHECK(TokenCount(sample.runs) == 1000);
  }
  CHECK(samples[0].text.compare(0, moved.resume_text.size(), moved.resume_text) == 0);
  CHECK(OldestVersion(samples[0].runs) == 1);
}

// Guards against a sample that waits for ever, or is lost, because its engine exports nothing.
TEST_CASE("a slow sample goes on from its text when there is no cache") {
  RunnerWorld world;
  MoveSlowSample(&world, Duration::Seconds(4));
  REQUIRE(world.engine.requests.size() == 10);
  CHECK(world.engine.requests.back().kv == nullptr);
  CHECK(world.engine.requests.back().resume_tokens > 0);
}

// Guards against a second copy of a sample that finished while its cache was exported.
TEST_CASE("a sample that ends during the export is not moved") {
  RunnerWorld world;
  world.engine.export_time = Duration::Seconds(500);
  MoveSlowSample(&world, Duration::Seconds(400));
  CHECK(world.completions == 1);
  CHECK(world.engine.requests.size() == 9);
  CHECK(world.engine.live_runs() == 0);
}

// Guards against a cache that brings back text that is past the bound.
TEST_CASE("a sample whose text is too old starts again without its cache") {
  RunnerWorld world;
  world.engine.kv = std::make_shared<const std::string>("cache");
  world.engine.export_time = Duration::Seconds(2);
  MoveSlowSample(&world, Duration::Seconds(2));
  world.forecast.Observe(4, world.scheduler.Now());
  world.scheduler.Advance(Duration::Seconds(3));
  REQUIRE(world.engine.requests.size() == 10);
  CHECK(world.engine.requests.back().kv == nullptr);
  CHECK(world.engine.requests.back().resume_text.empty());
  CHECK(world.engine.requests.back().min_weight_version == 2);
}

// Guards against surplus samples that start although no other sample holds up the group, and against a group that never
// uses them.
TEST_CASE("a surplus sample starts when another one is overdue") {
  RunnerWorld world;
  world.engine.slow_starts = 1;
  world.Start(5, 3);
  world.scheduler.Advance(Duration::Milliseconds(300));
  CHECK(world.engine.requests.size() == 3);
  world.scheduler.Advance(Duration::Seconds(1));
  CHECK(world.engine.requests.size() == 4);
  CHECK(world.completions == 1);
  CHECK(world.engine.live_runs() == 0);
}

// Guards against a group that ends short although samples are left that could replace a failed one.
TEST_CASE("a surplus sample replaces one that will not be run again") {
  RunnerWorld world;
  world.engine.quarantined_starts = 1;
  const GroupRunner& runner = world.Start(4, 3);
  world.scheduler.Advance(Duration::Seconds(1));
  CHECK(world.completions == 1);
  CHECK(runner.group().Results().size() == 3);
}

// Guards against a profile value that has no effect.
TEST_CASE("each handling of stragglers selects its own way") {
  GroupRunOptions options;
  options.SetHandling(StragglerHandling::kResume);
  CHECK(options.strategy == StragglerStrategy::kResume);
  CHECK(options.surplus == SurplusRule::kWhenOverdue);
  options.SetHandling(StragglerHandling::kSecondCopy);
  CHECK(options.strategy == StragglerStrategy::kSecondCopyFromText);
  CHECK(options.surplus == SurplusRule::kWhenOverdue);
  options.SetHandling(StragglerHandling::kSurplus);
  CHECK(options.strategy == StragglerStrategy::kResume);
  CHECK(options.surplus == SurplusRule::kAtOnce);
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
