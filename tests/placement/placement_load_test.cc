#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <future>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/random.h"
#include "placement/job_placer.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

// The choices that are compared. Those without costs differ in what they count as the load of an endpoint.
enum class Choice {
  kInFlight,
  kRequestedTokens,
  kEstimates,
  kCost
};
enum class Hints {
  kAsSpecified,
  kRandom,
  // As specified in the first half of the load, random in the second.
  kTurningRandom,
};

constexpr int kInstances = 8;
constexpr int kTrainers = 6;
constexpr int kEngines = 46;
constexpr int kGroupSize = 8;
constexpr double kMsPerEvent = 60.0;
constexpr double kTokensPerEvent = 7.0;
constexpr double kWantedGroups = 0.9;
constexpr Duration kStepInterval = Duration::Seconds(4);
constexpr Duration kGiveUp = Duration::Seconds(12);
constexpr Duration kTick = Duration::Milliseconds(50);
constexpr Duration kLoadTime = Duration::Seconds(40);
constexpr Duration kHalfTime = Duration::Seconds(20);
constexpr Duration kHeadTime = Duration::Milliseconds(15);

struct Figures {
  // Time until the trainer has the groups that it needs; kGiveUp if it gives up.
  double job_mean_ms = 0.0;
  double job_p90_ms = 0.0;
  double item_p50_ms = 0.0;
  double item_p99_ms = 0.0;
  double late_jobs = 0.0;
};

double Quantile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(quantile * static_cast<double>(values.size() - 1))];
}

// The load of docs/design/work-items.md, part C: engines of different speeds, and instances each of which knows only
// its own calls. Both are the same for all choices with the same seed.
class PlacementLoad {
 public:
  PlacementLoad(uint64_t seed, Choice choice, Hints hints) : m_choice(choice), m_hints(hints), m_random(seed) {
    std::vector<EndpointEntry> entries;
    for (int i = 0; i < kEngines; ++i) {
      EndpointEntry entry;
      entry.id = "e" + std::to_string(i);
      entry.service = "s";
      entry.slots = m_random.Chance(0.5) ? 6 : 8;
      entry.model_versions["m"] = 1;
      entries.push_back(entry);
      Engine& engine = m_engines[entry.id];
      engine.slots = entry.slots;
      engine.ms_per_event = kMsPerEvent / (0.55 + 0.65 * m_random.Uniform());
      engine.noise_seed = m_random.Next();
    }
    for (int i = 0; i < kInstances; ++i) {
      m_instances.push_back(std::make_unique<Instance>(&m_scheduler.clock()));
      m_instances.back()->directory.Update(entries, false);
    }
    for (int i = 0; i < kTrainers; ++i) {
      const auto phase = static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(kStepInterval.ms())));
      // The mean length of the items differs between trainers.
      const double mean_events = 8.0 + 12.0 * m_random.Uniform();
      m_scheduler.Post(Duration::Milliseconds(phase), [this, i, mean_events] { BeginStep(i, mean_events); });
    }
  }

  Figures Play() {
    m_ends_at = m_scheduler.Now() + kLoadTime;
    m_scheduler.Advance(kLoadTime + kGiveUp + kTick);
    Figures figures;
    figures.job_mean_ms = std::accumulate(m_job_ms.begin(), m_job_ms.end(), 0.0) / static_cast<double>(m_job_ms.size());
    figures.job_p90_ms = Quantile(m_job_ms, 0.9);
    figures.item_p50_ms = Quantile(m_item_ms, 0.5);
    figures.item_p99_ms = Quantile(m_item_ms, 0.99);
    const auto late = std::count_if(m_job_ms.begin(), m_job_ms.end(), [](double ms) { return ms > 7500.0; });
    figures.late_jobs = static_cast<double>(late) / static_cast<double>(m_job_ms.size());
    return figures;
  }

 private:
  struct Engine {
    int slots = 0;
    int busy = 0;
    double ms_per_event = 0.0;
    uint64_t noise_seed = 0;
    std::set<std::string> prompts;
  };
  struct Run {
    Run(JobPlacer* placer, size_t item, const std::string& id, Engine* target)
        : placed(placer, item, id), endpoint(id), engine(target) {
      ++engine->busy;
    }
    ~Run() { --engine->busy; }
    Run(const Run&) = delete;
    Run& operator=(const Run&) = delete;

    JobPlacer::Run placed;
    std::string endpoint;
    Engine* engine;
    std::unique_ptr<Timer> timer;
  };
  struct Instance {
    explicit Instance(const Clock* clock) : directory(clock) { knowledge.uses_predictions = true; }
    EndpointDirectory directory;
    PlacementKnowledge knowledge;
    // What the items in flight on an endpoint count, for the baselines.
    std::map<std::string, double> weights;
  };
  struct Job {
    Job(BatchSpec job_spec, Instance* owner, const Clock* clock)
        : spec(std::move(job_spec)),
          instance(owner),
          progress(&spec),
          placer(&spec, &progress, &owner->knowledge, &owner->directory, clock, "route", "zone") {}
    BatchSpec spec;
    Instance* instance;
    BatchProgress progress;
    JobPlacer placer;
    std::vector<int64_t> events;
    std::map<size_t, std::unique_ptr<Run>> runs;
    TimePoint submitted_at;
    std::unique_ptr<Timer> tick;
  };

  void BeginStep(int trainer, double mean_events) {
    if (m_scheduler.Now() >= m_ends_at) {
      return;
    }
    m_scheduler.Post(kStepInterval, [this, trainer, mean_events] { BeginStep(trainer, mean_events); });
    constexpr double kGroupSpread = 0.5;
    constexpr double kItemSpread = 0.7;
    const bool is_second_half = m_ends_at - m_scheduler.Now() < kHalfTime;
    const bool is_random = m_hints == Hints::kRandom || (m_hints == Hints::kTurningRandom && is_second_half);
    BatchSpec spec;
    spec.id = "job-" + std::to_string(m_next_job++);
    spec.workspace = "trainer-" + std::to_string(trainer);
    spec.model = "m";
    const int groups = 13 + static_cast<int>(m_random.Below(12));
    spec.desired_groups = static_cast<int>(std::ceil(kWantedGroups * groups));
    std::vector<int64_t> events;
    for (int i = 0; i < groups * kGroupSize; ++i) {
      if (i % kGroupSize == 0) {
        m_group_log = m_random.Normal(0.0, kGroupSpread);
      }
      const double spread = kGroupSpread * kGroupSpread + kItemSpread * kItemSpread;
      const double length = mean_events * std::exp(m_group_log + m_random.Normal(0.0, kItemSpread) - spread / 2);
      events.push_back(std::max<int64_t>(std::lround(length), 1));
      const double tokens = kTokensPerEvent * static_cast<double>(events.back());
      const double error = m_random.Chance(0.7) ? 0.15 : 1.2;
      const double hint = tokens * std::exp(m_random.Normal(0.0, error));
      const double random_hint = 100.0 * std::exp(m_random.Normal(0.0, 1.0));
      BatchItem item;
      item.id = std::to_string(i);
      item.group = std::to_string(i / kGroupSize);
      item.length_hint = std::lround(is_random ? random_hint : hint) + 1;
      item.requested_tokens = std::lround(400.0 * std::exp(m_random.Normal(0.0, 1.0)));
      if (!is_random) {
        // The caller knows roughly how long its items may become.
        item.requested_tokens = std::lround(tokens * (1.0 + 7.0 * m_random.Uniform())) + 200;
      }
      spec.items.push_back(item);
    }
    Instance* owner = m_instances[m_random.Below(m_instances.size())].get();
    m_jobs.emplace_back(std::move(spec), owner, &m_scheduler.clock());
    const auto job = std::prev(m_jobs.end());
    job->events = std::move(events);
    job->submitted_at = m_scheduler.Now();
    Tick(job);
  }

  void Tick(std::list<Job>::iterator job) {
    if (m_scheduler.Now() - job->submitted_at >= kGiveUp) {
      EndJob(job);
      return;
    }
    job->tick = m_scheduler.After(kTick, [this, job] { Tick(job); });
    const std::vector<CostCandidate> candidates = job->placer.CandidatesFor("s", HomeRegions());
    for (const auto& [item, run] : job->runs) {
      const DirectoryEndpoint* target = job->placer.ChooseForMove(candidates, item, run->endpoint);
      if (target != nullptr) {
        const size_t moved = item;
        StopRun(&*job, moved);
        Start(&*job, moved, target->entry.id);
        break;
      }
    }
    StartItems(&*job);
  }

  void StartItems(Job* job) {
    bool started = true;
    while (started) {
      started = false;
      for (const size_t item : job->progress.NextItems(m_scheduler.Now())) {
        const ItemPlacement placement = job->placer.PlacementOf(item);
        const DirectoryEndpoint* endpoint = ChooseFor(job, item, placement);
        if (endpoint != nullptr) {
          Start(job, item, endpoint->entry.id);
          started = true;
          break;
        }
      }
    }
  }

  double WeightOf(const Job& job, size_t item) const {
    const BatchItem& traits = job.spec.items[item];
    return static_cast<double>(m_choice == Choice::kEstimates ? traits.length_hint : traits.requested_tokens);
  }

  const DirectoryEndpoint* ChooseFor(Job* job, size_t item, const ItemPlacement& placement) {
    const std::vector<CostCandidate> candidates = job->placer.CandidatesFor("s", HomeRegions());
    if (m_choice == Choice::kInFlight || m_choice == Choice::kCost) {
      return job->placer.Choose(candidates, item, placement);
    }
    // The order of ChooseForItem, with another load.
    constexpr double kSlowRatio = 1.2;
    double fastest = std::numeric_limits<double>::max();
    for (const CostCandidate& candidate : candidates) {
      const double ms = candidate.candidate.ms_per_event;
      fastest = ms > 0.0 ? std::min(fastest, ms) : fastest;
    }
    const DirectoryEndpoint* best = nullptr;
    std::tuple<bool, bool, double> best_rank;
    for (const CostCandidate& candidate : candidates) {
      const DirectoryEndpoint* endpoint = candidate.candidate.endpoint;
      const std::tuple<bool, bool, double> rank{candidate.candidate.ms_per_event > kSlowRatio * fastest,
                                                endpoint->entry.id != placement.preferred_endpoint,
                                                job->instance->weights[endpoint->entry.id] / endpoint->entry.slots};
      if (CanTakeItem(candidate.candidate, placement) && (best == nullptr || rank < best_rank)) {
        best = endpoint;
        best_rank = rank;
      }
    }
    return best;
  }

  void Start(Job* job, size_t item, const std::string& id) {
    Engine& engine = m_engines[id];
    if (engine.busy >= engine.slots) {
      job->instance->directory.OnFull(id);
      return;
    }
    job->progress.SetPhase(item, ItemPhase::kRunning);
    auto run = std::make_unique<Run>(&job->placer, item, id, &engine);
    job->instance->weights[id] += WeightOf(*job, item);
    job->progress.item(item).transcript.BeginRun(1, "", "");
    const std::string prompt = job->spec.id + job->spec.items[item].group;
    const Duration prefill = Duration::Milliseconds(engine.prompts.insert(prompt).second ? 120 : 20);
    run->timer = m_scheduler.After(kHeadTime, [this, job, item, prefill] {
      Run* started = job->runs.at(item).get();
      job->instance->directory.OnResponse(started->endpoint);
      started->timer = m_scheduler.After(prefill + NextInterval(started->engine), [=] { OnEvent(job, item); });
      StartItems(job);
    });
    job->runs[item] = std::move(run);
  }

  void StopRun(Job* job, size_t item) {
    job->instance->weights[job->runs.at(item)->endpoint] -= WeightOf(*job, item);
    job->runs.erase(item);
    job->progress.SetPhase(item, ItemPhase::kWaiting);
  }

  // A tenth of the periods of 600 ms are 2.5 times slower.
  Duration NextInterval(Engine* engine) {
    Random noise(engine->noise_seed + static_cast<uint64_t>(m_scheduler.Now().ms() / 600));
    const double factor = (noise.Chance(0.1) ? 2.5 : 1.0) * (0.8 + 0.4 * m_noise.Uniform());
    return Duration::Milliseconds(std::lround(engine->ms_per_event * factor));
  }

  void OnEvent(Job* job, size_t item) {
    Run* run = job->runs.at(item).get();
    EventTranscript& transcript = job->progress.item(item).transcript;
    transcript.Append(transcript.event_count() + 1, "", 1);
    run->placed.OnEvent(false);
    if (transcript.event_count() < job->events[item]) {
      run->timer = m_scheduler.After(NextInterval(run->engine), [this, job, item] { OnEvent(job, item); });
      return;
    }
    if (m_choice == Choice::kCost) {
      job->placer.OnTextComplete(item);
    }
    StopRun(job, item);
    job->progress.SetPhase(item, ItemPhase::kStored);
    m_item_ms.push_back(static_cast<double>((m_scheduler.Now() - job->submitted_at).ms()));
    if (job->progress.MissingGroups() == 0) {
      EndJob(std::find_if(m_jobs.begin(), m_jobs.end(), [job](const Job& other) { return &other == job; }));
      return;
    }
    StartItems(job);
  }

  // The trainer has enough groups, or gives up. Items that it does not wait for end with the job.
  void EndJob(std::list<Job>::iterator job) {
    const auto ms = static_cast<double>((m_scheduler.Now() - job->submitted_at).ms());
    m_job_ms.push_back(ms);
    while (!job->runs.empty()) {
      StopRun(&*job, job->runs.begin()->first);
    }
    const auto unfinished = static_cast<size_t>(job->progress.CountIn(ItemPhase::kWaiting));
    m_item_ms.insert(m_item_ms.end(), unfinished, ms);
    // Its timers may be on the stack.
    m_scheduler.Post(Duration(), [this, job] { m_jobs.erase(job); });
    job->tick.reset();
  }

  Choice m_choice;
  Hints m_hints;
  // Separate streams, so that the load does not depend on the choice.
  Random m_random;
  Random m_noise{1};
  double m_group_log = 0.0;
  ManualScheduler m_scheduler;
  TimePoint m_ends_at;
  std::map<std::string, Engine> m_engines;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::list<Job> m_jobs;
  int m_next_job = 0;
  std::vector<double> m_job_ms;
  std::vector<double> m_item_ms;
};

constexpr uint64_t kFirstUnseenSeed = 11;
constexpr uint64_t kLastUnseenSeed = 20;

// Plays the load with each seed from `first` to `last`. The plays are independent and run in parallel.
std::vector<Figures> PlaySeeds(uint64_t first, uint64_t last, Choice choice, Hints hints) {
  std::vector<std::future<Figures>> plays;
  for (uint64_t seed = first; seed <= last; ++seed) {
    plays.push_back(
        std::async(std::launch::async, [seed, choice, hints] { return PlacementLoad(seed, choice, hints).Play(); }));
  }
  std::vector<Figures> figures;
  for (std::future<Figures>& play : plays) {
    figures.push_back(play.get());
  }
  return figures;
}

// The medians of the figures over the seeds.
Figures Median(const std::vector<Figures>& of_seeds) {
  const auto median = [&of_seeds](double Figures::*figure) {
    std::vector<double> values;
    for (const Figures& figures : of_seeds) {
      values.push_back(figures.*figure);
    }
    return Quantile(values, 0.5);
  };
  return {median(&Figures::job_mean_ms), median(&Figures::job_p90_ms), median(&Figures::item_p50_ms),
          median(&Figures::item_p99_ms), median(&Figures::late_jobs)};
}

// Guards against costs that are predicted but do not help: jobs and their long items must end earlier than if the
// endpoints were chosen by requests in flight.
TEST_CASE("placement by cost completes jobs earlier than placement by requests in flight") {
  const auto figures = [](Choice choice) {
    return Median(PlaySeeds(kFirstUnseenSeed, kLastUnseenSeed, choice, Hints::kAsSpecified));
  };
  const Figures baseline = figures(Choice::kInFlight);
  const Figures result = figures(Choice::kCost);
  CHECK(result.job_mean_ms < baseline.job_mean_ms);
  CHECK(result.job_p90_ms < baseline.job_p90_ms);
  CHECK(result.item_p50_ms <= baseline.item_p50_ms);
  CHECK(result.item_p99_ms < baseline.item_p99_ms);
}

// Guards against decisions by predictions that say nothing. The figures of one choice differ by about this much when
// only the noise of the engines differs.
TEST_CASE("placement by cost does no harm when the estimates are or become random") {
  constexpr double kNoise = 1.05;
  const Hints hints = GENERATE(Hints::kRandom, Hints::kTurningRandom);
  const std::vector<Figures> baseline = PlaySeeds(kFirstUnseenSeed, kLastUnseenSeed, Choice::kInFlight, hints);
  const std::vector<Figures> result = PlaySeeds(kFirstUnseenSeed, kLastUnseenSeed, Choice::kCost, hints);
  for (size_t i = 0; i < result.size(); ++i) {
    INFO("seed " << kFirstUnseenSeed + i << (hints == Hints::kRandom ? ", random" : ", turning random"));
    CHECK(result[i].job_mean_ms <= kNoise * baseline[i].job_mean_ms);
    CHECK(result[i].item_p50_ms <= kNoise * baseline[i].item_p50_ms);
    CHECK(result[i].item_p99_ms <= kNoise * baseline[i].item_p99_ms);
  }
}

// Prints the figures of docs/measurements.md. Seeds 1 to 5 were used for tuning.
TEST_CASE("figures of all choices", "[.figures]") {
  const std::map<Hints, const char*> hint_names{
      {Hints::kAsSpecified, "specified"}, {Hints::kRandom, "random"}, {Hints::kTurningRandom, "turning random"}};
  const std::map<Choice, const char*> names{{Choice::kInFlight, "requests in flight"},
                                            {Choice::kRequestedTokens, "requested tokens"},
                                            {Choice::kEstimates, "estimates"},
                                            {Choice::kCost, "cost"}};
  for (const auto& [first, last] :
       {std::pair(uint64_t{1}, uint64_t{5}), std::pair(kFirstUnseenSeed, kLastUnseenSeed)}) {
    for (const Hints hints : {Hints::kAsSpecified, Hints::kRandom, Hints::kTurningRandom}) {
      for (const auto& [choice, name] : names) {
        const Figures f = Median(PlaySeeds(first, last, choice, hints));
        std::printf(
            "seeds %2d to %2d, hints %-14s, %-18s: job mean %5.0f p90 %5.0f late %.3f, item p50 %5.0f p99 %5.0f\n",
            static_cast<int>(first), static_cast<int>(last), hint_names.at(hints), name, f.job_mean_ms, f.job_p90_ms,
            f.late_jobs, f.item_p50_ms, f.item_p99_ms);
      }
    }
  }
}

}  // namespace
}  // namespace quetzalridge
