#include "tools/experiment/straggler_experiment.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/hash.h"
#include "base/random.h"
#include "coordination/group_runner.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {

namespace {

constexpr int kZones = 3;
constexpr int kReplicasPerZone = 4;
constexpr int kSlotsPerReplica = 16;
constexpr int kSteps = 6;
constexpr int kGroupsPerStep = 16;
constexpr int kNeededPerGroup = 8;
constexpr int kSurplusPerGroup = 2;
constexpr int64_t kStalenessBound = 2;
constexpr Duration kTokenTime = Duration::Milliseconds(20);
// Long-tailed lengths: a median of 200 tokens, and one sample in 40 above 800.
constexpr double kLogTokensMean = 5.3;
constexpr double kLogTokensDeviation = 0.7;
constexpr double kMaxTokens = 1500.0;
// A replica is slow for a while, as after a fault or next to a busy neighbour.
constexpr int64_t kSlowFactor = 8;
constexpr double kSlowShare = 0.08;
constexpr int64_t kPhaseMs = 20'000;
constexpr Duration kTrainingTime = Duration::Seconds(12);
constexpr Duration kPublishInterval = Duration::Seconds(25);
constexpr Duration kSwapSpread = Duration::Seconds(4);
// One availability zone is reclaimed during this step, and comes back later.
constexpr int kReclaimedStep = 2;
constexpr int kReclaimedZone = 0;
constexpr Duration kReclaimAfter = Duration::Seconds(3);
constexpr Duration kZoneOutage = Duration::Seconds(40);
constexpr Duration kTick = Duration::Milliseconds(100);
constexpr Duration kStepLimit = Duration::Seconds(600);

struct Strategy {
  const char* name;
  StragglerStrategy strategy;
  int surplus;
  bool resume_interrupted;
  bool forecast_freshness;
};

constexpr Strategy kStrategies[] = {
    {"baseline_restart", StragglerStrategy::kNone, 0, false, false},
    {"resume_interrupted", StragglerStrategy::kNone, 0, true, false},
    {"resume_straggler", StragglerStrategy::kResume, 0, true, false},
    {"second_copy", StragglerStrategy::kSecondCopy, 0, true, false},
    {"second_copy_from_text", StragglerStrategy::kSecondCopyFromText, 0, true, false},
    {"second_copy_from_text_surplus", StragglerStrategy::kSecondCopyFromText, kSurplusPerGroup, true, false},
    {"second_copy_from_text_forecast", StragglerStrategy::kSecondCopyFromText, 0, true, true},
    {"second_copy_from_text_surplus_forecast", StragglerStrategy::kSecondCopyFromText, kSurplusPerGroup, true, true},
};

struct Replica {
  std::string id;
  int zone = 0;
  int running = 0;
  int64_t version = 1;
};

// Replicas in three zones behind the engine interface. Slow phases, lengths and swaps depend on the seed and the time
// only, so that every strategy meets the same ones.
class SimulatedEngines : public SampleEngine {
 public:
  SimulatedEngines(ManualScheduler* scheduler, uint64_t seed) : m_scheduler(scheduler), m_seed(seed) {
    for (int i = 0; i < kZones * kReplicasPerZone; ++i) {
      m_replicas.push_back({"replica-" + std::to_string(i), i % kZones, 0, 1});
    }
    m_scheduler->Post(kPublishInterval, [this] { Publish(); });
  }

  int64_t newest() const { return m_newest; }
  int64_t produced_tokens() const { return m_produced; }

  void ReclaimZone(int zone) {
    m_reclaimed_zone = zone;
    for (Run* run : std::vector<Run*>(m_runs.begin(), m_runs.end())) {
      if (m_runs.count(run) > 0 && m_replicas[run->replica()].zone == zone) {
        run->Interrupt();
      }
    }
    m_scheduler->Post(kZoneOutage, [this] { m_reclaimed_zone = -1; });
  }

  std::unique_ptr<SampleRun> Start(const SampleRequest& request, SampleObserver* observer) override {
    return std::make_unique<Run>(this, request, observer);
  }

 private:
  class Run : public SampleRun {
   public:
    Run(SimulatedEngines* engines, const SampleRequest& request, SampleObserver* observer)
        : m_engines(engines), m_observer(observer), m_request(request), m_tokens(request.resume_tokens) {
      m_timer = engines->m_scheduler->After(Duration::Milliseconds(1), [this] { Begin(); });
    }
    ~Run() override { Leave(); }

    size_t replica() const { return m_replica; }
    void Interrupt() {
      Leave();
      m_timer.reset();
      m_observer->OnSampleEnd(SampleEnd::kInterrupted);
    }

   private:
    void Begin() {
      const int chosen = m_engines->Choose(m_request);
      if (chosen < 0) {
        m_observer->OnSampleEnd(SampleEnd::kNotStarted);
        return;
      }
      m_replica = static_cast<size_t>(chosen);
      m_running = true;
      ++m_engines->m_replicas[m_replica].running;
      m_engines->m_runs.insert(this);
      m_length = m_engines->DrawLength(m_request);
      m_observer->OnSampleStarted(m_engines->m_replicas[m_replica].id);
      Next();
    }
    void Next() {
      if (m_tokens >= m_length) {
        Leave();
        m_observer->OnSampleEnd(SampleEnd::kFinished);
        return;
      }
      m_timer = m_engines->m_scheduler->After(m_engines->TokenTime(m_replica), [this] {
        ++m_tokens;
        ++m_engines->m_produced;
        const std::string text = m_tokens == 1 ? std::to_string(m_length) + " " : "t";
        m_observer->OnSampleToken(text, m_engines->m_replicas[m_replica].version);
        Next();
      });
    }
    void Leave() {
      if (m_running) {
        m_running = false;
        --m_engines->m_replicas[m_replica].running;
        m_engines->m_runs.erase(this);
      }
    }

    SimulatedEngines* m_engines;
    SampleObserver* m_observer;
    SampleRequest m_request;
    size_t m_replica = 0;
    bool m_running = false;
    int64_t m_tokens;
    int64_t m_length = 0;
    std::unique_ptr<Timer> m_timer;
  };

  int Choose(const SampleRequest& request) const {
    int best = -1;
    for (size_t i = 0; i < m_replicas.size(); ++i) {
      const Replica& replica = m_replicas[i];
      const bool excluded =
          std::find(request.excluded.begin(), request.excluded.end(), replica.id) != request.excluded.end();
      if (excluded || replica.zone == m_reclaimed_zone || replica.running >= kSlotsPerReplica ||
          replica.version < request.min_weight_version) {
        continue;
      }
      if (best < 0 || replica.running < m_replicas[static_cast<size_t>(best)].running) {
        best = static_cast<int>(i);
      }
    }
    return best;
  }

  // The first token names the length, so that a resumed sample comes to the same end. A copy from the prompt draws its
  // own length.
  int64_t DrawLength(const SampleRequest& request) {
    if (request.resume_tokens > 0) {
      return std::stoll(request.resume_text);
    }
    Random random(Hash64(request.prompt + "/" + std::to_string(m_draws[request.prompt]++), m_seed));
    const double tokens = std::min(kMaxTokens, std::exp(random.Normal(kLogTokensMean, kLogTokensDeviation)));
    return std::max<int64_t>(static_cast<int64_t>(tokens), 1);
  }

  Duration TokenTime(size_t replica) const {
    const int64_t phase = m_scheduler->Now().ms() / kPhaseMs;
    Random random(Hash64(m_replicas[replica].id + "/" + std::to_string(phase), m_seed));
    return random.Chance(kSlowShare) ? kTokenTime * kSlowFactor : kTokenTime;
  }

  void Publish() {
    ++m_newest;
    for (size_t i = 0; i < m_replicas.size(); ++i) {
      const auto delay = Duration::Milliseconds(kSwapSpread.ms() * static_cast<int64_t>(i + 1) /
                                                static_cast<int64_t>(m_replicas.size()));
      m_scheduler->Post(delay, [this, i, version = m_newest] { m_replicas[i].version = version; });
    }
    m_scheduler->Post(kPublishInterval, [this] { Publish(); });
  }

  ManualScheduler* m_scheduler;
  uint64_t m_seed;
  std::vector<Replica> m_replicas;
  std::set<Run*> m_runs;
  std::map<std::string, int> m_draws;
  int64_t m_newest = 1;
  int64_t m_produced = 0;
  int m_reclaimed_zone = -1;
};

// The groups of one step until all of them are complete and fresh.
class StragglerRun {
 public:
  StragglerRun(uint64_t seed, const Strategy& strategy) : m_strategy(strategy), m_engines(&m_scheduler, seed) {}

  // A step's samples are generated while the trainer works on the step before; it idles for the rest.
  StragglerResult Run() {
    StragglerResult result;
    result.strategy = m_strategy.name;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint submitted = m_scheduler.Now();
      if (step == kReclaimedStep) {
        m_scheduler.Post(kReclaimAfter, [this] { m_engines.ReclaimZone(kReclaimedZone); });
      }
      for (int group = 0; group < kGroupsPerStep; ++group) {
        StartGroup("step-" + std::to_string(step) + "-group-" + std::to_string(group));
      }
      const Duration taken = WaitForStep(submitted);
      result.idle_s += static_cast<double>(std::max<int64_t>(0, (taken - kTrainingTime).ms())) / 1000.0;
      if (taken < kTrainingTime) {
        m_scheduler.Advance(kTrainingTime - taken);
      }
      m_running.clear();
    }
    result.produced_tokens = m_engines.produced_tokens();
    result.wasted_tokens = m_engines.produced_tokens() - m_used_tokens;
    result.regenerated_groups = m_regenerated;
    return result;
  }

 private:
  void StartGroup(const std::string& id) {
    SampleGroupSpec spec;
    spec.id = id;
    spec.prompt = id;
    spec.samples = kNeededPerGroup + m_strategy.surplus;
    spec.needed = kNeededPerGroup;
    GroupRunOptions options;
    options.staleness_bound = kStalenessBound;
    options.strategy = m_strategy.strategy;
    options.resume_interrupted = m_strategy.resume_interrupted;
    options.forecast_freshness = m_strategy.forecast_freshness;
    m_forecast.Observe(m_engines.newest(), m_scheduler.Now());
    m_running[id] =
        std::make_unique<GroupRunner>(&m_engines, &m_scheduler, &m_forecast, std::move(spec), options, [] {});
    m_running[id]->Start();
  }

  // The trainer takes the step as a whole, so groups that became too old meanwhile run again.
  Duration WaitForStep(TimePoint submitted) {
    while (m_scheduler.Now() - submitted < kStepLimit) {
      m_scheduler.Advance(kTick);
      m_forecast.Observe(m_engines.newest(), m_scheduler.Now());
      const bool complete = std::all_of(m_running.begin(), m_running.end(),
                                        [](const auto& entry) { return entry.second->group().complete(); });
      if (complete && RegenerateStale() == 0) {
        break;
      }
    }
    for (const auto& [id, runner] : m_running) {
      for (const FinishedSample& sample : runner->group().Results()) {
        m_used_tokens += TokenCount(sample.runs);
      }
    }
    return m_scheduler.Now() - submitted;
  }

  int RegenerateStale() {
    const FreshnessRule rule(kStalenessBound);
    std::vector<std::string> stale;
    for (const auto& [id, runner] : m_running) {
      const std::vector<FinishedSample> samples = runner->group().Results();
      if (std::any_of(samples.begin(), samples.end(), [&](const FinishedSample& sample) {
            return !rule.IsFresh(OldestVersion(sample.runs), m_engines.newest());
          })) {
        stale.push_back(id);
      }
    }
    for (const std::string& id : stale) {
      ++m_regenerated;
      StartGroup(id);
    }
    return static_cast<int>(stale.size());
  }

  Strategy m_strategy;
  ManualScheduler m_scheduler;
  SimulatedEngines m_engines;
  VersionForecast m_forecast;
  std::map<std::string, std::unique_ptr<GroupRunner>> m_running;
  int64_t m_used_tokens = 0;
  int64_t m_regenerated = 0;
};

}  // namespace

void StragglerExperiment::Run(std::ostream& csv) const {
  csv << "strategy,seed,idle_s,produced_tokens,wasted_tokens,regenerated_groups\n";
  for (const Strategy& strategy : kStrategies) {
    const StragglerResult result = StragglerRun(m_seed, strategy).Run();
    csv << result.strategy << "," << m_seed << "," << result.idle_s << "," << result.produced_tokens << ","
        << result.wasted_tokens << "," << result.regenerated_groups << "\n";
  }
}

void RunStragglerExperiment(uint64_t seed, std::ostream& csv) {
  StragglerExperiment(seed).Run(csv);
}

}  // namespace quetzalridge
