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

// What is done about a straggler: a sample that takes much longer than the other samples.
enum class StragglerStrategy {
  kNone,
  // The straggler is cancelled and resumed on another endpoint, from the text it has produced so far.
  kResume,
  // A second copy starts from the prompt. The copy that finishes first is used.
  kSecondCopy,
  // A second copy starts from the straggler's text so far. The copy that finishes first is used.
  kSecondCopyFromText,
};

// How stragglers are detected.
enum class StragglerDetection {
  // The sample runs longer than a multiple of the median run time of its group. This also selects long samples on fast
  // endpoints.
  kRunTime,
  // The tokens of the sample take longer than a multiple of the typical token time of the service.
  kTokenTime,
};

// When the surplus samples of a group start: those beyond the number that is needed to complete the group.
enum class SurplusStart {
  kAtOnce,
  // One starts for each member that failed or that runs longer than a multiple of the median run time of its group.
  kWhenOverdue,
};

struct GroupRunOptions {
  std::string service;
  std::string workspace;
  // The most weight versions by which a sample may be older than the newest version when the trainer fetches it.
  int64_t staleness_bound = 2;
  // The multiple that StragglerDetection and SurplusStart use.
  double straggler_factor = 3.0;
  StragglerStrategy strategy = StragglerStrategy::kResume;
  StragglerDetection detection = StragglerDetection::kTokenTime;
  SurplusStart surplus_start = SurplusStart::kWhenOverdue;
  // Interrupted samples are resumed from their text instead of being started again.
  bool resume_interrupted = true;
  // Judges the age of a sample by the version that is expected to be the newest when the trainer fetches the sample,
  // instead of by the version that is the newest now.
  bool forecast_freshness = true;

  // Sets the strategy, the detection and the start of surplus samples for a value of the service profile.
  void ApplyStragglerHandling(StragglerHandling handling);
};

// Runs the samples of one group until the group is complete. Destroying the runner cancels the samples.
class GroupRunner {
 public:
  // `forecast` and `speed` belong to the service and are shared by its groups. `on_complete` runs once. It must not
  // destroy the runner, because it is called from a callback of the engine.
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

  void StartMember(int member);
  void StartCopy(SampleGroup::CopyId id, SampleKv kv = nullptr);
  void StartCopyLater(SampleGroup::CopyId id);
  // The oldest weight version that a sample may contain if it is to be fresh enough when the trainer fetches it.
  int64_t MinUsefulVersion() const;
  SampleRequest MakeRequest(SampleGroup::CopyId id, SampleKv kv);
  void OnCopyEnd(SampleGroup::CopyId id, SampleEnd end);
  void CheckStragglers();
  void HandleStraggler(SampleGroup::CopyId id);
  // Resumes the copy on another endpoint from its text so far, and from the KV cache if there is one.
  void ContinueElsewhere(SampleGroup::CopyId id, SampleKv kv);
  std::vector<SampleGroup::CopyId> FindStragglers();
  // Starts up to `count` members that have not been started yet.
  void StartMembers(int count);
  // Cancels the copies that are no longer needed, and reports the completion of the group once.
  void CancelUnneededAndReport();

  SampleEngine* m_engine;
  Scheduler* m_scheduler;
  VersionForecast* m_forecast;
  TokenTimeEstimator* m_speed;
  GroupRunOptions m_options;
  FreshnessRule m_freshness;
  SampleGroup m_group;
  std::function<void()> m_on_complete;
  // Indexed by CopyId. The entry of an ended copy is kept, because the end may be reported from within a method of that
  // entry.
  std::vector<std::unique_ptr<Copy>> m_copies;
  std::unique_ptr<Timer> m_straggler_timer;
  // Surplus members that were started because other members are overdue.
  int m_started_for_overdue = 0;
  bool m_completion_reported = false;
};

}  // namespace quetzalridge
