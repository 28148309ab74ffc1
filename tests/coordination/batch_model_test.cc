#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "tests/coordination/batch_world.h"

namespace quetzalridge {
namespace {

constexpr int kSeeds = 40;
// A former owner must append at the very moment at which it wakes, which few seeds bring about.
constexpr int kSeedsWithoutChecks = 400;
constexpr int kActions = 120;
constexpr int kItems = 10;
const Duration kCancelBound = Duration::Seconds(3);
const std::vector<std::string> kNames = {"one", "two", "three"};

struct ModelJob {
  BatchSpec spec;
  bool accepted = false;
  std::optional<TimePoint> ended_at;
  // What a reader saw first at each position.
  std::map<size_t, BatchResult> seen;
};

// Random submissions, reads, ends and faults, checked against what callers may rely on.
class BatchModel {
 public:
  explicit BatchModel(uint64_t seed, CheckFilterStore::DropPredicate drops = nullptr)
      : m_random(seed), m_world(seed, std::move(drops)) {
    m_world.engines.cut_chance = 0.02;
    m_world.engines.refusal_chance = 0.05;
    m_world.engines.event_gap = Duration::Milliseconds(60);
    for (const std::string& name : kNames) {
      m_world.StartInstance(name);
    }
  }

  std::vector<std::string> Run() {
    for (int action = 0; action < kActions; ++action) {
      Act();
      m_world.scheduler.Advance(Duration::Milliseconds(100 + static_cast<int64_t>(m_random.Below(500))));
      // Each version of the results is different, as if the weights had changed.
      m_world.engines.model_version = 1 + action / 10;
      NoteCuts();
    }
    Heal();
    m_world.scheduler.Advance(Duration::Seconds(40));
    CheckJobs();
    CheckRunsOfEndedJobs();
    return m_violations;
  }

 private:
  std::string AnyLive() {
    std::vector<std::string> live;
    for (const std::string& name : kNames) {
      if (m_paused.count(name) == 0) {
        live.push_back(name);
      }
    }
    return live.empty() ? "" : live[m_random.Below(live.size())];
  }

  void Act() {
    const std::string name = kNames[m_random.Below(kNames.size())];
    switch (m_random.Below(9)) {
      case 0:
      case 1:
        SubmitJob();
        break;
      case 2:
        EndJob();
        break;
      case 3:
        if (m_paused.erase(name) > 0) {
          m_world.ResumeInstance(name);
        } else if (m_paused.empty()) {
          m_world.PauseInstance(name);
          m_paused.insert(name);
        }
        break;
      case 4:
        if (m_paused.count(name) == 0) {
          m_world.KillInstance(name);
          m_cut.erase(name);
          m_world.StartInstance(name);
        }
        break;
      case 5:
        if (m_paused.count(name) == 0) {
          const bool cut = m_cut.insert(name).second;
          if (!cut) {
            m_cut.erase(name);
          }
          m_world.CutInstance(name, cut);
        }
        break;
      case 6:
        m_world.table.responses_to_lose += static_cast<int>(m_random.Below(3));
        m_world.table.late_apply_probability = 0.5;
        break;
      default:
        ReadJob();
    }
  }

  void SubmitJob() {
    const std::string name = AnyLive();
    if (name.empty()) {
      return;
    }
    // A job is sometimes sent again, at any instance.
    const bool again = !m_jobs.empty() && m_random.Chance(0.3);
    ModelJob* job = nullptr;
    if (again) {
      job = m_jobs[m_random.Below(m_jobs.size())].get();
    } else {
      m_jobs.push_back(std::make_unique<ModelJob>());
      job = m_jobs.back().get();
      job->spec = BatchWorld::MakeJob("job" + std::to_string(m_jobs.size()), kItems);
      job->spec.submitted_at_ms = m_world.scheduler.Now().ms();
    }
    m_world.instances.at(name)->coordinator.Submit(
        job->spec, Duration::Milliseconds(2500),
        [job](SubmitOutcome outcome) { job->accepted = job->accepted || outcome == SubmitOutcome::kAccepted; });
  }

  void EndJob() {
    const std::string name = AnyLive();
    if (name.empty() || m_jobs.empty()) {
      return;
    }
    ModelJob* job = m_jobs[m_random.Below(m_jobs.size())].get();
    m_world.instances.at(name)->coordinator.End(job->spec.id, kBatchWorkspace, [this, job](BatchAnswer answer) {
      if (answer == BatchAnswer::kOk && !job->ended_at.has_value()) {
        job->ended_at = m_world.scheduler.Now();
      }
    });
  }

  void ReadJob() {
    const std::string name = AnyLive();
    if (!name.empty() && !m_jobs.empty()) {
      ReadAt(name, m_jobs[m_random.Below(m_jobs.size())].get(), m_random.Below(kItems));
    }
  }

  void ReadAt(const std::string& name, ModelJob* job, size_t position) {
    const bool was_accepted = job->accepted;
    m_world.instances.at(name)->coordinator.ReadResults(
        job->spec.id, kBatchWorkspace, position, Duration(),
        [this, job, position, was_accepted](const BatchPage& page) {
          if (page.answer == BatchAnswer::kNotFound && was_accepted) {
            m_violations.push_back(job->spec.id + " was accepted and is not found");
          }
          for (size_t i = 0; i < page.results.size(); ++i) {
            CheckResult(job, position + i, page.results[i]);
          }
        });
  }

  void CheckResult(ModelJob* job, size_t position, const BatchResult& result) {
    const auto [seen, is_new] = job->seen.emplace(position, result);
    if (!is_new && (seen->second.item != result.item || seen->second.model_versions != result.model_versions)) {
      m_violations.push_back(job->spec.id + " position " + std::to_string(position) + " has changed");
    }
    if (result.state != BatchResultState::kCompleted || result.text != m_world.engines.WholeText(result.item)) {
      m_violations.push_back(job->spec.id + " has a wrong result for " + result.item);
    }
  }

  // A cut instance that reaches nobody cannot learn of an end.
  void NoteCuts() {
    for (const std::string& name : m_cut) {
      m_cut_times[name].push_back(m_world.scheduler.Now());
    }
  }

  void Heal() {
    m_world.table.responses_to_lose = 0;
    for (const std::string& name : m_paused) {
      m_world.ResumeInstance(name);
    }
    m_paused.clear();
    for (const std::string& name : m_cut) {
      m_world.CutInstance(name, false);
    }
    m_cut.clear();
  }

  void CheckJobs() {
    for (const std::unique_ptr<ModelJob>& job : m_jobs) {
      if (!job->accepted) {
        continue;
      }
      for (const std::string& name : kNames) {
        ReadAt(name, job.get(), 0);
      }
      m_world.scheduler.Advance(Duration::Milliseconds(100));
      std::set<std::string> items;
      for (const auto& [position, result] : job->seen) {
        if (!items.insert(result.item).second) {
          m_violations.push_back(job->spec.id + " lists " + result.item + " twice");
        }
      }
      // The answer to an end may be lost with its instance, so the table tells whether the job was ended.
      const bool ended = m_world.table.ReadRows({BatchEndKey(job->spec.id)}).rows.front().version > 0;
      if (!ended && items.size() != kItems) {
        m_violations.push_back(job->spec.id + " has " + std::to_string(items.size()) + " results");
      }
    }
  }

  bool WasCut(const std::string& name, TimePoint at) {
    const std::vector<TimePoint>& times = m_cut_times[name];
    return std::any_of(times.begin(), times.end(),
                       [at](TimePoint time) { return at - time <= kCancelBound && time - at <= Duration::Seconds(1); });
  }

  void CheckRunsOfEndedJobs() {
    for (const ItemRunRecord& run : m_world.engines.runs) {
      for (const std::unique_ptr<ModelJob>& job : m_jobs) {
        const bool late = job->ended_at.has_value() && run.at - *job->ended_at > kCancelBound;
        if (late && run.item.rfind(job->spec.id + "-item", 0) == 0 && !WasCut(run.instance, run.at)) {
          m_violations.push_back(run.item + " started after the end of its job");
        }
      }
    }
  }

  Random m_random;
  BatchWorld m_world;
  std::vector<std::unique_ptr<ModelJob>> m_jobs;
  std::set<std::string> m_paused;
  std::set<std::string> m_cut;
  std::map<std::string, std::vector<TimePoint>> m_cut_times;
  std::vector<std::string> m_violations;
};

// Guards against lost or changed results, and against runs of ended jobs, in combinations that no single test plays.
TEST_CASE("batch jobs keep their promises under random faults") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CHECK(BatchModel(seed).Run() == std::vector<std::string>{});
  }
}

// Shows that the check above can fail: without the conditions on the owner and the tail, a former owner appends.
TEST_CASE("the check of batch jobs finds appends without conditions") {
  const auto drops = [](const TableTransaction&, const TableCheck& check) {
    const std::string name = SplitTableKey(check.key).name;
    return name == "owner" || name == "tail";
  };
  std::vector<std::string> violations;
  uint64_t seed = 0;
  while (violations.empty() && seed < kSeedsWithoutChecks) {
    violations = BatchModel(++seed, drops).Run();
  }
  INFO("seeds " << seed);
  CHECK_FALSE(violations.empty());
}

}  // namespace
}  // namespace quetzalridge
