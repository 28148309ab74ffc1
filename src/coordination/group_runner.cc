#include "coordination/group_runner.h"

#include <algorithm>
#include <utility>

namespace quetzalridge {

void GroupRunOptions::ApplyStragglerHandling(StragglerHandling handling) {
  strategy =
      handling == StragglerHandling::kSecondCopy ? StragglerStrategy::kSecondCopyFromText : StragglerStrategy::kResume;
  detection = StragglerDetection::kTokenTime;
  surplus_start = handling == StragglerHandling::kSurplus ? SurplusStart::kAtOnce : SurplusStart::kWhenOverdue;
}

// Receives what the engine produces for one copy, and owns the run and the timer of the copy.
class GroupRunner::Copy : public SampleObserver {
 public:
  Copy(GroupRunner* runner, SampleGroup::CopyId id) : m_runner(runner), m_id(id) {}

  void OnSampleStarted(const std::string& endpoint_id) override { m_runner->m_group.OnStarted(m_id, endpoint_id); }
  void OnSampleToken(std::string_view text, int64_t weight_version) override {
    const TimePoint now = m_runner->m_scheduler->clock().Now();
    m_runner->m_forecast->Observe(weight_version, now);
    m_runner->m_group.OnToken(m_id, text, weight_version, now);
  }
  void OnSampleEnd(SampleEnd end) override { m_runner->OnCopyEnd(m_id, end); }

  std::unique_ptr<SampleRun> run;
  std::unique_ptr<Timer> start_timer;
  bool exporting = false;

 private:
  GroupRunner* m_runner;
  SampleGroup::CopyId m_id;
};

GroupRunner::GroupRunner(SampleEngine* engine, Scheduler* scheduler, VersionForecast* forecast,
                         TokenTimeEstimator* speed, SampleGroupSpec spec, GroupRunOptions options,
                         std::function<void()> on_complete)
    : m_engine(engine),
      m_scheduler(scheduler),
      m_forecast(forecast),
      m_speed(speed),
      m_options(std::move(options)),
      m_freshness(m_options.staleness_bound),
      m_group(std::move(spec), m_options.straggler_factor),
      m_on_complete(std::move(on_complete)) {}

GroupRunner::~GroupRunner() = default;

void GroupRunner::Start() {
  StartMembers(m_options.surplus_start == SurplusStart::kAtOnce ? m_group.spec().samples : m_group.spec().needed);
  CheckStragglers();
}

void GroupRunner::StartMembers(int count) {
  for (const int member : m_group.UnstartedMembers()) {
    if (count-- <= 0) {
      return;
    }
    StartMember(member);
  }
}

void GroupRunner::StartMember(int member) {
  const SampleGroup::CopyId id = m_group.AddCopy(member, m_scheduler->clock().Now());
  m_copies.push_back(std::make_unique<Copy>(this, id));
  StartCopy(id);
}

void GroupRunner::StartCopy(SampleGroup::CopyId id, SampleKv kv) {
  m_copies[id]->run = m_engine->Start(MakeRequest(id, std::move(kv)), m_copies[id].get());
}

void GroupRunner::StartCopyLater(SampleGroup::CopyId id) {
  m_copies[id]->start_timer = m_scheduler->After(kStartRetryDelay, [this, id] { StartCopy(id); });
}

// No endpoint has a version above the newest one, so the result never exceeds the newest version.
int64_t GroupRunner::MinUsefulVersion() const {
  const int64_t newest = m_forecast->newest().value_or(0);
  if (!m_options.forecast_freshness) {
    return m_freshness.MinVersion(newest);
  }
  const TimePoint now = m_scheduler->clock().Now();
  return std::min(newest, m_freshness.MinVersion(m_forecast->ExpectedAtFetch(now)));
}

SampleRequest GroupRunner::MakeRequest(SampleGroup::CopyId id, SampleKv kv) {
  const int64_t min_version = MinUsefulVersion();
  // Text that will exceed the staleness bound when the trainer fetches the sample is useless, so the sample starts
  // again.
  if (!m_group.copy(id).version_runs.empty() && OldestVersion(m_group.copy(id).version_runs) < min_version) {
    m_group.DiscardText(id);
    kv.reset();
  }
  const SampleCopy& copy = m_group.copy(id);
  SampleRequest request;
  request.service = m_options.service;
  request.workspace = m_options.workspace;
  request.model = m_group.spec().model;
  request.prompt = m_group.spec().prompt;
  request.max_tokens = m_group.spec().max_tokens;
  request.resume_text = copy.text;
  request.resume_tokens = TokenCount(copy.version_runs);
  request.kv = std::move(kv);
  request.excluded = copy.avoided_endpoints;
  request.min_weight_version = min_version;
  return request;
}

void GroupRunner::OnCopyEnd(SampleGroup::CopyId id, SampleEnd end) {
  m_copies[id]->run.reset();
  m_copies[id]->exporting = false;
  switch (end) {
    case SampleEnd::kFinished:
      m_group.OnFinished(id, m_scheduler->clock().Now());
      m_forecast->ObserveRunTime(m_scheduler->clock().Now() - m_group.copy(id).started);
      break;
    case SampleEnd::kInterrupted:
      m_group.OnInterrupted(id);
      if (!m_options.resume_interrupted) {
        m_group.DiscardText(id);
      }
      break;
    case SampleEnd::kNotStarted:
      m_group.OnNotStarted(id);
      break;
    case SampleEnd::kQuarantined:
      m_group.OnMemberFailed(id);
      StartMembers(1);
      break;
  }
  const bool run_again = end == SampleEnd::kInterrupted || end == SampleEnd::kNotStarted;
  if (run_again && !m_group.IsUnneeded(id)) {
    StartCopyLater(id);
  }
  CancelUnneededAndReport();
}

void GroupRunner::CheckStragglers() {
  if (m_options.strategy == StragglerStrategy::kNone || m_group.complete()) {
    return;
  }
  for (const SampleGroup::CopyId id : FindStragglers()) {
    HandleStraggler(id);
  }
  if (m_options.surplus_start == SurplusStart::kWhenOverdue) {
    const int overdue = m_group.OverdueMembers(m_scheduler->clock().Now());
    StartMembers(overdue - m_started_for_overdue);
    m_started_for_overdue = std::max(m_started_for_overdue, overdue);
  }
  m_straggler_timer = m_scheduler->After(kStragglerCheckInterval, [this] { CheckStragglers(); });
}

// All groups report their token times to the shared TokenTimeEstimator, because a single group uses too few endpoints
// to tell the typical token time of the service.
std::vector<SampleGroup::CopyId> GroupRunner::FindStragglers() {
  const TimePoint now = m_scheduler->clock().Now();
  for (const EndpointTokenTime& time : m_group.TakeTokenTimes(now)) {
    m_speed->Observe(time.endpoint, time.token_ms, now);
  }
  if (m_options.detection == StragglerDetection::kRunTime) {
    return m_group.Stragglers(now);
  }
  const std::optional<double> typical = m_speed->MedianMs(now);
  return typical.has_value() ? m_group.SlowCopies(m_options.straggler_factor * *typical)
                             : std::vector<SampleGroup::CopyId>();
}

void GroupRunner::HandleStraggler(SampleGroup::CopyId id) {
  if (m_options.strategy == StragglerStrategy::kSecondCopy) {
    const SampleGroup::CopyId next = m_group.AddCopy(m_group.copy(id).member, m_scheduler->clock().Now());
    m_copies.push_back(std::make_unique<Copy>(this, next));
    StartCopy(next);
    return;
  }
  // The straggler continues to run during the export. If it ends before the export does, nothing is left to resume.
  if (m_copies[id]->run != nullptr && !m_copies[id]->exporting) {
    m_copies[id]->exporting = true;
    m_copies[id]->run->Export([this, id](SampleKv kv) { ContinueElsewhere(id, std::move(kv)); });
  }
}

void GroupRunner::ContinueElsewhere(SampleGroup::CopyId id, SampleKv kv) {
  m_copies[id]->exporting = false;
  if (m_group.IsUnneeded(id)) {
    return;
  }
  const SampleGroup::CopyId next = m_group.AddCopyFrom(id, m_scheduler->clock().Now());
  m_copies.push_back(std::make_unique<Copy>(this, next));
  if (m_options.strategy == StragglerStrategy::kResume) {
    m_group.Abandon(id);
    m_copies[id]->run.reset();
  }
  StartCopy(next, std::move(kv));
}

void GroupRunner::CancelUnneededAndReport() {
  for (SampleGroup::CopyId id = 0; id < m_copies.size(); ++id) {
    if (m_group.IsUnneeded(id)) {
      m_copies[id]->run.reset();
      m_copies[id]->start_timer.reset();
    }
  }
  if (m_group.complete() && !m_completion_reported) {
    m_completion_reported = true;
    m_on_complete();
  }
}

}  // namespace quetzalridge
