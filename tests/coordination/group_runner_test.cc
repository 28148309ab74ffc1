#include "coordination/group_runner.h"

#include <catch2/catch.hpp>
#include <memory>
#include <utility>

#include "tests/fakes/rollout_fakes.h"

namespace quetzalridge {
namespace {

struct GroupRunnerFixture {
  explicit GroupRunnerFixture(GroupRunOptions run_options = {}) : options(std::move(run_options)) {}

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

// Guards against samples that occupy engines although their group is complete. One of four samples is slow, and three
// are needed.
TEST_CASE("surplus samples are cancelled when enough are finished") {
  GroupRunOptions options;
  options.surplus_start = SurplusStart::kAtOnce;
  GroupRunnerFixture fixture(options);
  fixture.engine.slow_starts = 1;
  const GroupRunner& runner = fixture.Start(4, 3);
  fixture.scheduler.Advance(Duration::Milliseconds(200));
  CHECK(fixture.completions == 1);
  CHECK(fixture.engine.live_runs() == 0);
  CHECK(runner.group().Results().size() == 3);
}

// Guards against a resumed sample that lists only the weight version that finished it. The version changes between the
// first part of the text and the resumed part.
TEST_CASE("a resumed straggler lists the weight versions of both parts and avoids its former endpoint") {
  GroupRunOptions options;
  options.strategy = StragglerStrategy::kResume;
  options.detection = StragglerDetection::kRunTime;
  GroupRunnerFixture fixture(options);
  fixture.engine.slow_starts = 1;
  fixture.engine.slow_factor = 20;
  const GroupRunner& runner = fixture.Start(3, 3);
  fixture.scheduler.Advance(Duration::Milliseconds(450));
  fixture.weights.version = 2;
  fixture.scheduler.Advance(Duration::Seconds(2));
  REQUIRE(fixture.completions == 1);
  const SampleRequest& resumed = fixture.engine.requests.back();
  CHECK(resumed.resume_tokens == 1);
  CHECK(resumed.resume_text == "v1 ");
  CHECK(resumed.excluded.size() == 1);
  CHECK(runner.group().Results()[0].version_runs == WeightVersionRuns{{1, 1}, {2, 4}});
}

// Guards against two results of one sample, and against a slow copy that continues to run after the other copy has
// finished.
TEST_CASE("the first of two copies is used and the other is cancelled") {
  GroupRunOptions options;
  options.strategy = StragglerStrategy::kSecondCopyFromText;
  options.detection = StragglerDetection::kRunTime;
  GroupRunnerFixture fixture(options);
  fixture.engine.slow_starts = 1;
  const GroupRunner& runner = fixture.Start(3, 3);
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK(fixture.completions == 1);
  CHECK(fixture.engine.requests.size() == 4);
  CHECK(fixture.engine.live_runs() == 0);
  CHECK(runner.group().Results().size() == 3);
}

// A group whose members run on one endpoint each, with the token times that the test gives.
class TokenTimeFixture {
 public:
  TokenTimeFixture(int members, int needed) : m_group({"g", 1, "p", "m", members, needed, 5}, 2.0) {
    for (int i = 0; i < needed; ++i) {
      m_group.OnStarted(m_group.AddCopy(i, m_now), "endpoint-" + std::to_string(i));
    }
  }
  // Runs one window, in which each copy produces a token every `token_ms` milliseconds. 0 produces none.
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

// Guards against a sample that stays on a slow endpoint until half of its group is finished, and against a sample that
// is moved only because it is long or because its endpoint paused once, as in a weight swap.
TEST_CASE("a copy is slow if its tokens are slow in two windows in a row") {
  TokenTimeFixture fixture(4, 4);
  fixture.RunWindow({20, 20, 160, 20});
  fixture.RunWindow({20, 20, 160, 20});
  CHECK(fixture.Slow().empty());
  fixture.RunWindow({20, 20, 160, 20});
  CHECK(fixture.Slow() == std::vector<SampleGroup::CopyId>{2});
  fixture.RunWindow({20, 0, 20, 20});
  CHECK(fixture.Slow().empty());
  fixture.RunWindow({20, 20, 20, 20});
  CHECK(fixture.Slow().empty());
  fixture.RunWindow({20, 20, 20, 0});
  fixture.RunWindow({20, 20, 20, 0});
  CHECK(fixture.Slow() == std::vector<SampleGroup::CopyId>{3});
}

// Guards against samples that are moved back and forth between endpoints. With only two endpoints, the typical token
// time is not known.
TEST_CASE("no copy is slow when only two endpoints are observed") {
  TokenTimeFixture fixture(2, 2);
  for (int i = 0; i < 4; ++i) {
    fixture.RunWindow({20, 160});
  }
  CHECK(fixture.Slow().empty());
}

// Guards against a slow sample that is moved only after the median run time of its group is known, and against the loss
// of its text.
TEST_CASE("a sample with slow tokens is resumed elsewhere before any sample of its group is finished") {
  GroupRunnerFixture fixture;
  fixture.engine.tokens_per_sample = 1000;
  fixture.engine.slow_starts = 1;
  fixture.engine.slow_factor = 10;
  const GroupRunner& runner = fixture.Start(9, 9);
  fixture.scheduler.Advance(Duration::Seconds(4));
  REQUIRE(fixture.engine.requests.size() == 10);
  CHECK(fixture.engine.requests.back().resume_tokens > 0);
  CHECK(fixture.engine.requests.back().excluded.size() == 1);
  CHECK(fixture.engine.live_runs() == 9);
  fixture.scheduler.Advance(Duration::Seconds(60));
  CHECK(fixture.completions == 1);
  CHECK(fixture.engine.requests.size() == 10);
  CHECK(runner.group().WastedTokens() == 0);
}

// Starts a group with one slow sample and advances the clock by `time`.
void MoveSlowSample(GroupRunnerFixture* fixture, Duration time) {
  fixture->engine.tokens_per_sample = 1000;
  fixture->engine.slow_starts = 1;
  fixture->engine.slow_factor = 10;
  fixture->Start(9, 9);
  fixture->scheduler.Advance(time);
}

// Guards against a KV cache that does not reach the new engine, tokens that are lost during the export, and a moved
// sample that lists wrong weight versions. The version changes before the sample is moved.
TEST_CASE("a slow sample is resumed from its KV cache with the tokens and versions that it has after the export") {
  GroupRunnerFixture fixture;
  fixture.engine.kv = std::make_shared<const std::string>("cache");
  fixture.engine.export_time = Duration::Milliseconds(450);
  MoveSlowSample(&fixture, Duration::Milliseconds(1100));
  // The weights are swapped in the middle of the stream, before the sample is moved.
  fixture.weights.version = 2;
  fixture.scheduler.Advance(Duration::Seconds(4));
  REQUIRE(fixture.engine.requests.size() == 10);
  const SampleRequest moved = fixture.engine.requests.back();
  CHECK(moved.kv == fixture.engine.kv);
  fixture.scheduler.Advance(Duration::Seconds(60));
  REQUIRE(fixture.completions == 1);
  const std::vector<FinishedSample> samples = fixture.runner->group().Results();
  for (const FinishedSample& sample : samples) {
    REQUIRE(sample.version_runs.size() == 2);
    // The fake engine writes the version of each token into the text.
    std::string text;
    for (const WeightVersionRun& run : sample.version_runs) {
      for (int64_t i = 0; i < run.tokens; ++i) {
        text += "v" + std::to_string(run.version) + " ";
      }
    }
    CHECK(sample.text == text);
    CHECK(TokenCount(sample.version_runs) == 1000);
  }
  CHECK(samples[0].text.compare(0, moved.resume_text.size(), moved.resume_text) == 0);
  CHECK(OldestVersion(samples[0].version_runs) == 1);
}

// Guards against a sample that waits forever or is lost because its engine exports no KV cache.
TEST_CASE("a slow sample is resumed from its text when there is no KV cache") {
  GroupRunnerFixture fixture;
  MoveSlowSample(&fixture, Duration::Seconds(4));
  REQUIRE(fixture.engine.requests.size() == 10);
  CHECK(fixture.engine.requests.back().kv == nullptr);
  CHECK(fixture.engine.requests.back().resume_tokens > 0);
}

// Guards against a second copy of a sample that finished while its KV cache was being exported.
TEST_CASE("a sample that ends during the export is not moved") {
  GroupRunnerFixture fixture;
  fixture.engine.export_time = Duration::Seconds(500);
  MoveSlowSample(&fixture, Duration::Seconds(400));
  CHECK(fixture.completions == 1);
  CHECK(fixture.engine.requests.size() == 9);
  CHECK(fixture.engine.live_runs() == 0);
}

// Guards against a KV cache that brings back text that exceeds the staleness bound. The newest version changes from 1
// to 4 during the export.
TEST_CASE("a sample whose text is too old starts again without its KV cache") {
  GroupRunnerFixture fixture;
  fixture.engine.kv = std::make_shared<const std::string>("cache");
  fixture.engine.export_time = Duration::Seconds(2);
  MoveSlowSample(&fixture, Duration::Seconds(2));
  fixture.forecast.Observe(4, fixture.scheduler.Now());
  fixture.scheduler.Advance(Duration::Seconds(3));
  REQUIRE(fixture.engine.requests.size() == 10);
  CHECK(fixture.engine.requests.back().kv == nullptr);
  CHECK(fixture.engine.requests.back().resume_text.empty());
  CHECK(fixture.engine.requests.back().min_weight_version == 2);
}

// Guards against surplus samples that start although no other sample delays the group, and against a group that never
// uses its surplus samples.
TEST_CASE("a surplus sample starts when another one is overdue") {
  GroupRunnerFixture fixture;
  fixture.engine.slow_starts = 1;
  fixture.Start(5, 3);
  fixture.scheduler.Advance(Duration::Milliseconds(300));
  CHECK(fixture.engine.requests.size() == 3);
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK(fixture.engine.requests.size() == 4);
  CHECK(fixture.completions == 1);
  CHECK(fixture.engine.live_runs() == 0);
}

// Guards against a group that completes with too few samples although an unused surplus sample could replace the failed
// one.
TEST_CASE("a surplus sample replaces a quarantined one") {
  GroupRunnerFixture fixture;
  fixture.engine.quarantined_starts = 1;
  const GroupRunner& runner = fixture.Start(4, 3);
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK(fixture.completions == 1);
  CHECK(runner.group().Results().size() == 3);
}

// Guards against a value of the service profile that has no effect.
TEST_CASE("each straggler handling selects its strategy and its start of surplus samples") {
  GroupRunOptions options;
  options.ApplyStragglerHandling(StragglerHandling::kResume);
  CHECK(options.strategy == StragglerStrategy::kResume);
  CHECK(options.surplus_start == SurplusStart::kWhenOverdue);
  options.ApplyStragglerHandling(StragglerHandling::kSecondCopy);
  CHECK(options.strategy == StragglerStrategy::kSecondCopyFromText);
  CHECK(options.surplus_start == SurplusStart::kWhenOverdue);
  options.ApplyStragglerHandling(StragglerHandling::kSurplus);
  CHECK(options.strategy == StragglerStrategy::kResume);
  CHECK(options.surplus_start == SurplusStart::kAtOnce);
}

// Guards against a group that waits forever for a sample that will not be run again.
TEST_CASE("a group is complete without a member that failed") {
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

// Guards against work on text that will exceed the staleness bound when the trainer fetches it.
TEST_CASE("an interrupted sample is not resumed when its text would be too old at the fetch") {
  GroupRunOptions options;
  options.staleness_bound = 1;
  for (const bool forecast_freshness : {false, true}) {
    options.forecast_freshness = forecast_freshness;
    GroupRunnerFixture fixture(options);
    fixture.forecast.Observe(1, TimePoint::FromMilliseconds(900'000));
    fixture.forecast.Observe(2, TimePoint::FromMilliseconds(950'000));
    fixture.forecast.Observe(3, TimePoint::FromMilliseconds(1'000'000));
    fixture.forecast.ObserveRunTime(Duration::Seconds(60));
    fixture.weights.version = 2;
    fixture.engine.interrupt_chance = 0.5;
    fixture.Start(1, 1);
    // The next version is expected in 50 s and the fetch in 60 s, so text of version 2 will be too old then.
    fixture.scheduler.Advance(Duration::Milliseconds(600));
    bool resumed = false;
    for (const SampleRequest& request : fixture.engine.requests) {
      resumed = resumed || request.resume_tokens > 0;
      CHECK(request.min_weight_version == (forecast_freshness ? 3 : 2));
    }
    REQUIRE(fixture.engine.requests.size() > 1);
    CHECK(resumed == !forecast_freshness);
  }
}

}  // namespace
}  // namespace quetzalridge
