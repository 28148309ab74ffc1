#include "tools/experiment/straggler_experiment.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <vector>

#include "base/hash.h"
#include "base/random.h"
#include "coordination/group_runner.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {

namespace {

constexpr int kSlotsPerReplica = 16;
constexpr int kSteps = 6;
constexpr int kGroupsPerStep = 16;
constexpr int kNeededPerGroup = 8;
constexpr int kSurplusPerGroup = 2;
constexpr int64_t kStalenessBound = 2;
constexpr Duration kTokenTime = Duration::Milliseconds(20);
// The engine model of docs/measurements.md. The cache of a replica holds the prompt of a group only where it ran.
constexpr int64_t kPromptTokens = 1736;
constexpr int64_t kPrefillTokensPerSecond = 6000;
// The daemon reads a KV cache and writes it again; each way takes half of the time that the prefill takes.
constexpr int64_t kKvTokensPerSecond = 12'000;
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
  StragglerStrategy strategy = StragglerStrategy::kNone;
  StragglerDetection rule = StragglerDetection::kRunTime;
  // Samples of a group beyond the needed ones, and when they start.
  int surplus = 0;
  SurplusStart surplus_rule = SurplusStart::kAtOnce;
  bool resume_interrupted = true;
  bool forecast_freshness = true;
  // Groups that the trainer keeps in flight beyond those of a step. It takes the first groups that are ready, and the
  // others count for the next step.
  int groups_ahead = 0;
  // The default of a profile; before this choice it was 2.
  double straggler_factor = 3.0;
  bool export_kv = false;
};

using S = StragglerStrategy;
using R = StragglerDetection;
using U = SurplusStart;

// `run_time_copy` was the default of the daemon before; `token_time_resume_late_surplus` is now, where it has an effect
// only for trainers that submit more samples than they need.
constexpr Strategy kStrategies[] = {
    {"baseline_restart", S::kNone, R::kRunTime, 0, U::kAtOnce, false, false},
    {"resume_interrupted"},
    {"run_time_resume", S::kResume, R::kRunTime, 0, U::kAtOnce, true, true, 0, 2},
    {"run_time_copy_from_prompt", S::kSecondCopy, R::kRunTime, 0, U::kAtOnce, true, true, 0, 2},
    {"run_time_copy", S::kSecondCopyFromText, R::kRunTime, 0, U::kAtOnce, true, true, 0, 2},
    {"run_time_copy_surplus", S::kSecondCopyFromText, R::kRunTime, kSurplusPerGroup, U::kAtOnce, true, true, 0, 2},
    {"token_time_copy", S::kSecondCopyFromText, R::kTokenTime},
    {"token_time_resume", S::kResume, R::kTokenTime},
    {"token_time_resume_kv", S::kResume, R::kTokenTime, 0, U::kAtOnce, true, true, 0, 3, true},
    {"token_time_resume_late_surplus", S::kResume, R::kTokenTime, kSurplusPerGroup, U::kWhenOverdue},
    {"token_time_resume_late_surplus_factor_2", S::kResume, R::kTokenTime, kSurplusPerGroup, U::kWhenOverdue, true,
     true, 0, 2},
    {"token_time_resume_surplus", S::kResume, R::kTokenTime, kSurplusPerGroup},
    {"baseline_restart_ahead_4", S::kNone, R::kRunTime, 0, U::kAtOnce, false, false, 4},
    {"run_time_copy_ahead_4", S::kSecondCopyFromText, R::kRunTime, 0, U::kAtOnce, true, true, 4, 2},
    {"token_time_resume_ahead_2", S::kResume, R::kTokenTime, 0, U::kAtOnce, true, true, 2},
    {"token_time_resume_ahead_4", S::kResume, R::kTokenTime, 0, U::kAtOnce, true, true, 4},
    {"token_time_resume_kv_ahead_4", S::kResume, R::kTokenTime, 0, U::kAtOnce, true, true, 4, 3, true},
    {"token_time_resume_ahead_8", S::kResume, R::kTokenTime, 0, U::kAtOnce, true, true, 8},
    {"token_time_resume_late_surplus_ahead_4", S::kResume, R::kTokenTime, kSurplusPerGroup, U::kWhenOverdue, true, true,
     4},
};

// How one sample spent its time over all its copies.
struct SampleTrace {
  int64_t length = 0;
  // Time beyond the usual token time, on slow replicas.
  Duration slow;
};

struct Replica {
  std::string id;
  int zone = 0;
  int running = 0;
  int64_t version = 1;
};

// Replicas in several zones behind the engine interface. Slow phases, lengths and swaps depend on the seed and the time
// only, so that every strategy meets the same ones.
class SimulatedEngines : public SampleEngine {
 public:
  SimulatedEngines(ManualScheduler* scheduler, const Deployment& deployment, uint64_t seed, bool export_kv)
      : m_scheduler(scheduler), m_seed(seed), m_export_kv(export_kv) {
    for (int i = 0; i < deployment.replicas; ++i) {
      m_replicas.push_back({"replica-" + std::to_string(i), i % deployment.zones, 0, 1});
    }
    m_scheduler->Post(kPublishInterval, [this] { Publish(); });
  }

  int64_t newest() const { return m_newest; }
  int64_t produced_tokens() const { return m_produced; }
  int64_t resumed_prefill_tokens() const { return m_resumed_prefill; }
  const SampleTrace& last_finished() const { return m_last_finished; }

  void ReclaimZone(int zone) {
    m_reclaimed_zone = zone;
    const std::map<uint64_t, Run*> runs = m_runs;
    for (const auto& [id, run] : runs) {
      if (m_runs.count(id) > 0 && m_replicas[run->replica()].zone == zone) {
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

    void Export(std::function<void(SampleKv)> callback) override {
      if (!m_engines->m_export_kv || m_tokens == 0) {
        callback(nullptr);
        return;
      }
      const auto kv = std::make_shared<const std::string>(std::to_string(m_tokens));
      const Duration time = Duration::Milliseconds((kPromptTokens + m_tokens) * 1000 / kKvTokensPerSecond);
      m_export = m_engines->m_scheduler->After(time, [kv, callback = std::move(callback)] { callback(kv); });
    }

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
      m_id = m_engines->m_next_run++;
      m_engines->m_runs[m_id] = this;
      m_trace = m_engines->FindTrace(m_request);
      m_length = m_engines->m_traces[m_trace].length;
      m_observer->OnSampleStarted(m_engines->m_replicas[m_replica].id);
      m_timer = m_engines->m_scheduler->After(m_engines->PrefillTime(m_request), [this] { Next(); });
    }
    void Next() {
      if (m_tokens >= m_length) {
        Leave();
        m_engines->m_last_finished = m_engines->m_traces[m_trace];
        m_observer->OnSampleEnd(SampleEnd::kFinished);
        return;
      }
      const Duration token_time = m_engines->TokenTime(m_replica);
      m_timer = m_engines->m_scheduler->After(token_time, [this, token_time] {
        ++m_tokens;
        ++m_engines->m_produced;
        m_engines->m_traces[m_trace].slow = m_engines->m_traces[m_trace].slow + (token_time - kTokenTime);
        const std::string text = m_tokens == 1 ? std::to_string(m_trace) + " " : "t";
        m_observer->OnSampleToken(text, m_engines->m_replicas[m_replica].version);
        Next();
      });
    }
    void Leave() {
      if (m_running) {
        m_running = false;
        --m_engines->m_replicas[m_replica].running;
        m_engines->m_runs.erase(m_id);
      }
    }

    SimulatedEngines* m_engines;
    SampleObserver* m_observer;
    SampleRequest m_request;
    size_t m_replica = 0;
    uint64_t m_id = 0;
    bool m_running = false;
    int64_t m_tokens;
    int64_t m_length = 0;
    size_t m_trace = 0;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_export;
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

  // The first token names the trace with the length, so that a resumed sample comes to the same end. A copy from the
  // prompt draws its own length.
  size_t FindTrace(const SampleRequest& request) {
    if (request.resume_tokens > 0) {
      return std::stoull(request.resume_text);
    }
    Random random(Hash64(request.prompt + "/" + std::to_string(m_draws[request.prompt]++), m_seed));
    const double tokens = std::min(kMaxTokens, std::exp(random.Normal(kLogTokensMean, kLogTokensDeviation)));
    m_traces.push_back({std::max<int64_t>(static_cast<int64_t>(tokens), 1), Duration()});
    return m_traces.size() - 1;
  }

  Duration PrefillTime(const SampleRequest& request) {
    const int64_t covered = request.kv != nullptr ? kPromptTokens + std::stoll(*request.kv) : 0;
    const int64_t tokens = kPromptTokens + request.resume_tokens - covered;
    m_resumed_prefill += request.resume_tokens > 0 ? tokens : 0;
    return Duration::Milliseconds(tokens * 1000 / kPrefillTokensPerSecond + covered * 1000 / kKvTokensPerSecond);
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
  bool m_export_kv;
  std::vector<Replica> m_replicas;
  // By the order of their start, which is the same in each execution of the program.
  std::map<uint64_t, Run*> m_runs;
  uint64_t m_next_run = 0;
  std::map<std::string, int> m_draws;
  int64_t m_newest = 1;
  int64_t m_produced = 0;
  int64_t m_resumed_prefill = 0;
  std::vector<SampleTrace> m_traces;
  SampleTrace m_last_finished;
  int m_reclaimed_zone = -1;
};

// The groups of one step until all of them are complete and fresh.
class StragglerRun {
 public:
  StragglerRun(const Deployment& deployment, uint64_t seed, const Strategy& strategy)
      : m_strategy(strategy), m_engines(&m_scheduler, deployment, seed, strategy.export_kv) {}

  // A step's samples are generated while the trainer works on the step before; it idles for the rest.
  StragglerResult Run() {
    StragglerResult result;
    result.strategy = m_strategy.name;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint submitted = m_scheduler.Now();
      if (step == kReclaimedStep) {
        m_scheduler.Post(kReclaimAfter, [this] { m_engines.ReclaimZone(kReclaimedZone); });
      }
      const int groups = kGroupsPerStep + (step == 0 ? m_strategy.groups_ahead : 0);
      for (int group = 0; group < groups; ++group) {
        StartGroup("step-" + std::to_string(step) + "-group-" + std::to_string(group));
      }
      const Duration taken = WaitForGroups(kGroupsPerStep, submitted);
      AddIdleTime(taken, &result);
      if (taken < kTrainingTime) {
        m_scheduler.Advance(kTrainingTime - taken);
      }
    }
    // Groups that are ahead at the end are no waste; the trainer would use them.
    WaitForGroups(m_running.size(), m_scheduler.Now());
    result.produced_tokens = m_engines.produced_tokens();
    result.resumed_prefill_tokens = m_engines.resumed_prefill_tokens();
    const auto samples = static_cast<double>(m_samples);
    result.wasted_tokens = static_cast<double>(m_engines.produced_tokens() - m_used_tokens) / samples;
    result.sample_tokens = static_cast<double>(m_used_tokens) / samples;
    result.sample_age = static_cast<double>(m_ages) / samples;
    result.oldest_sample_age = m_oldest_age;
    result.regenerated_groups = m_regenerated;
    return result;
  }

 private:
  // The sample that finished last tells what the trainer waited for: first its length on a fast replica, then its time
  // on slow replicas. The rest is prefill, waiting for a slot, and work done again.
  void AddIdleTime(Duration taken, StragglerResult* result) const {
    const auto seconds = [](int64_t ms) { return static_cast<double>(ms) / 1000.0; };
    const SampleTrace& last = m_engines.last_finished();
    const int64_t idle = std::max<int64_t>(0, (taken - kTrainingTime).ms());
    const int64_t length = std::clamp<int64_t>((kTokenTime * last.length - kTrainingTime).ms(), 0, idle);
    const int64_t slow = std::min(last.slow.ms(), idle - length);
    result->idle_s += seconds(idle);
    result->idle_length_s += seconds(length);
    result->idle_slow_s += seconds(slow);
    result->idle_rest_s += seconds(idle - length - slow);
  }

  void StartGroup(const std::string& id) {
    SampleGroupSpec spec;
    spec.id = id;
    spec.prompt = id;
    spec.samples = kNeededPerGroup + m_strategy.surplus;
    spec.needed = kNeededPerGroup;
    GroupRunOptions options;
    options.staleness_bound = kStalenessBound;
    options.straggler_factor = m_strategy.straggler_factor;
    options.strategy = m_strategy.strategy;
    options.detection = m_strategy.rule;
    options.surplus_start = m_strategy.surplus_rule;
    options.resume_interrupted = m_strategy.resume_interrupted;
    options.forecast_freshness = m_strategy.forecast_freshness;
    m_forecast.Observe(m_engines.newest(), m_scheduler.Now());
    m_running[id] =
        std::make_unique<GroupRunner>(&m_engines, &m_scheduler, &m_forecast, &m_speed, std::move(spec), options, [] {});
    m_running[id]->Start();
  }

  // The trainer takes so many groups as a whole, so groups that became too old meanwhile run again.
  Duration WaitForGroups(size_t count, TimePoint submitted) {
    std::vector<std::string> ready;
    while (m_scheduler.Now() - submitted < kStepLimit) {
      m_scheduler.Advance(kTick);
      m_forecast.Observe(m_engines.newest(), m_scheduler.Now());
      ready = CompleteGroups();
      if (ready.size() >= count && RegenerateStale(ready) == 0) {
        break;
      }
    }
    ready.resize(std::min(ready.size(), count));
    for (const std::string& id : ready) {
      for (const FinishedSample& sample : m_running[id]->group().Results()) {
        ++m_samples;
        m_used_tokens += TokenCount(sample.version_runs);
        const int64_t age = m_engines.newest() - OldestVersion(sample.version_runs);
        m_ages += age;
        m_oldest_age = std::max(m_oldest_age, age);
      }
      m_running.erase(id);
    }
    return m_scheduler.Now() - submitted;
  }

  // Identities begin with the step, so the groups of earlier steps come first.
  std::vector<std::string> CompleteGroups() const {
    std::vector<std::string> ids;
    for (const auto& [id, runner] : m_running) {
      if (runner->group().complete()) {
        ids.push_back(id);
      }
    }
    return ids;
  }

  int RegenerateStale(const std::vector<std::string>& ids) {
    const FreshnessRule rule(kStalenessBound);
    int stale = 0;
    for (const std::string& id : ids) {
      const std::vector<FinishedSample> samples = m_running[id]->group().Results();
      if (std::any_of(samples.begin(), samples.end(), [&](const FinishedSample& sample) {
            return !rule.IsFresh(OldestVersion(sample.version_runs), m_engines.newest());
          })) {
        ++stale;
        ++m_regenerated;
        StartGroup(id);
      }
    }
    return stale;
  }

  Strategy m_strategy;
  ManualScheduler m_scheduler;
  SimulatedEngines m_engines;
  VersionForecast m_forecast;
  TokenTimeEstimator m_speed;
  std::map<std::string, std::unique_ptr<GroupRunner>> m_running;
  int64_t m_used_tokens = 0;
  int64_t m_samples = 0;
  int64_t m_regenerated = 0;
  int64_t m_ages = 0;
  int64_t m_oldest_age = 0;
};

}  // namespace

std::vector<StragglerResult> RunStragglerExperiment(const Deployment& deployment, uint64_t seed) {
  std::vector<StragglerResult> results;
  for (const Strategy& strategy : kStrategies) {
    results.push_back(StragglerRun(deployment, seed, strategy).Run());
  }
  return results;
}

}  // namespace quetzalridge
