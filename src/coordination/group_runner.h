#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/sample_engine.h"
#include "coordination/scheduler.h"
#include "state/config_document.h"
#include "state/freshness_rule.h"
#include "state/sample_group.h"
#include "state/token_time_estimator.h"

namespace quetzalridge {

enum class StragglerStrategy {
  kNone,
  // The straggler is cancelled and goes on elsewhere from its text.
  kResume,
  // A second copy starts from the prompt; the first to finish is used.
  kSecondCopy,
  // A second copy goes on from the straggler's text; the first to finish is used.
  kSecondCopyFromText,
};

// How a straggler is found.
enum class StragglerRule {
  // It runs longer than a multiple of the median of its group. A long sample on a fast endpoint is one, too.
  kRunTime,
  // Its tokens take longer than a multiple of the typical token time of the service.
  kTokenTime,
};

// When the samples beyond `needed` start.
enum class SurplusRule {
  kAtOnce,
  // One for each member that failed or that runs longer than a multiple of the median of its group.
  kWhenOverdue,
};

struct GroupRunOptions {
  std::string service;
  std::string workspace;
  int64_t staleness_bound = 2;
  double straggler_factor = 3.0;
  StragglerStrategy strategy = StragglerStrategy::kResume;
  StragglerRule rule = StragglerRule::kTokenTime;
  SurplusRule surplus = SurplusRule::kWhenOverdue;
  // Interrupted samples go on from their text in place of starting again.
  bool resume_interrupted = true;
  // Reckons with the versions that are expected until the hand-over, not only with the newest one.
  bool forecast_freshness = true;

  // What a profile selects.
  void SetHandling(StragglerHandling handling);
};

// Runs the samples of one group until the group is complete. Destroying it cancels them.
class GroupRunner {
 public:
  // `forecast` and `speed` belong to the service and are shared by its groups. `on_complete` runs once; it must not
  // destroy the runner, because it runs in a callback of the engine.
  GroupRunner(SampleEngine* engine, Scheduler* scheduler, VersionForecast* forecast, TokenTimeEstimator* speed,
              SampleGroupSpec spec, GroupRunOptions options, std::function<void()> on_complete);
  ~GroupRunner();
  GroupRunner(const GroupRunner&) = delete;
  GroupRunner& operator=(const GroupRunner&) = delete;

  void Start();
  const SampleGroup& group() const { return m_group; }

 private:
  class Copy;
  static constexpr Duration kStartRetryDelay = Duration::Milliseconds(250);
  static constexpr Duration kStragglerCheckInterval = Duration::Milliseconds(500);

  void RunMember(int member);
  void Launch(SampleGroup::CopyId id, SampleKv kv = nullptr);
  void LaunchLater(SampleGroup::CopyId id);
  // The oldest version that a sample may contain to be fresh at its hand-over, as far as can be foreseen.
  int64_t MinUsefulVersion() const;
  SampleRequest MakeRequest(SampleGroup::CopyId id, SampleKv kv);
  void OnCopyEnd(SampleGroup::CopyId id, SampleEnd end);
  void CheckStragglers();
  void HandleStraggler(SampleGroup::CopyId id);
  // Goes on elsewhere from the text so far, and from the KV cache when there is one.
  void Continue(SampleGroup::CopyId id, SampleKv kv);
  std::vector<SampleGroup::CopyId> FindStragglers();
  // Starts up to `count` members that have not run yet.
  void StartMembers(int count);
  // Cancels surplus copies and reports completion.
  void Settle();

  SampleEngine* m_engine;
  Scheduler* m_scheduler;
  VersionForecast* m_forecast;
  TokenTimeEstimator* m_speed;
  GroupRunOptions m_options;
  FreshnessRule m_freshness;
  SampleGroup m_group;
  std::function<void()> m_on_complete;
  // By copy identity. An ended copy keeps its observer, because it may be running in it.
  std::vector<std::unique_ptr<Copy>> m_copies;
  std::unique_ptr<Timer> m_straggler_timer;
  // Surplus members that were started because others are overdue.
  int m_late_members = 0;
  bool m_reported = false;
};

}  // namespace quetzalridge
