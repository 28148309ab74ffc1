#include "daemon/dispatcher.h"

#include <utility>

#include "daemon/dispatcher_run.h"

namespace quetzalridge {

namespace {

constexpr Duration kAdmissionPollInterval = Duration::Milliseconds(100);

}  // namespace

// The handle that the owner of a run holds. Cancels the run when it is destroyed.
class Dispatcher::Handle : public DispatchRun {
 public:
  explicit Handle(std::shared_ptr<Run> run) : m_run(std::move(run)) {}
  ~Handle() override { m_run->Cancel(); }
  bool written() const override { return m_run->written(); }

 private:
  std::shared_ptr<Run> m_run;
};

Dispatcher::Dispatcher(Collaborators collaborators, DispatcherOptions options)
    : m_collaborators(collaborators), m_options(std::move(options)) {}

Dispatcher::~Dispatcher() {
  std::map<uint64_t, std::shared_ptr<Run>> runs = m_runs;
  for (auto& [id, run] : runs) {
    run->Cancel();
  }
}

std::unique_ptr<DispatchRun> Dispatcher::Start(DispatchRequest request, DispatchObserver* observer) {
  const uint64_t id = ++m_next_run;
  auto run = std::make_shared<Run>(this, id, std::move(request), observer);
  m_runs[id] = run;
  m_retry_budget.OnRequest(m_collaborators.scheduler->clock().Now());
  run->Begin();
  ScheduleAdmissionPoll(kAdmissionPollInterval);
  return std::make_unique<Handle>(run);
}

// Always polls on a timer: a run that ends during a poll changes the lists that the poll iterates over, so it must not
// start another poll directly.
void Dispatcher::ScheduleAdmissionPoll(Duration delay) {
  const TimePoint due = m_collaborators.scheduler->clock().Now() + delay;
  if (m_admission_timer != nullptr && m_admission_poll_due <= due) {
    return;
  }
  m_admission_poll_due = due;
  m_admission_timer = m_collaborators.scheduler->After(delay, [this] { PollAdmission(); });
}

void Dispatcher::PollAdmission() {
  const TimePoint now = m_collaborators.scheduler->clock().Now();
  m_admission_timer.reset();
  RetryRunsWaitingForSlot();
  for (const QueueOutcome& outcome : m_collaborators.admission->NextQueued(now)) {
    const auto it = m_runs.find(outcome.id);
    if (it != m_runs.end()) {
      const std::shared_ptr<Run> run = it->second;
      run->OnAdmissionResult(outcome.result);
    }
  }
  for (uint64_t id : m_collaborators.admission->TakePreemptions(now)) {
    const auto it = m_runs.find(id);
    if (it != m_runs.end()) {
      const std::shared_ptr<Run> run = it->second;
      run->Preempt();
    }
  }
  if (!m_runs.empty()) {
    ScheduleAdmissionPoll(kAdmissionPollInterval);
  }
}

// Called before admission lets more runs start, so that the runs that have been waiting get the free slots first.
void Dispatcher::RetryRunsWaitingForSlot() {
  for (const uint64_t id : m_slot_wait_queue.InOrder()) {
    const auto it = m_runs.find(id);
    if (it != m_runs.end()) {
      const std::shared_ptr<Run> run = it->second;
      run->RetryForFreeSlot();
    }
  }
}

void Dispatcher::OnLoadChanged() {
  if (m_slot_wait_queue.size() > 0) {
    ScheduleAdmissionPoll(Duration());
  }
}

// When an endpoint crashes, its connections are lost one after the other. The first loss is counted as a crash with all
// attempts that are in flight on the endpoint. The losses of these attempts that follow belong to the same crash.
void Dispatcher::OnConnectionLost(uint64_t run_id) {
  const auto lost = m_in_flight.find(run_id);
  if (lost == m_in_flight.end()) {
    return;
  }
  const std::string& endpoint_id = lost->second.endpoint_id;
  const EndpointState* endpoint = m_collaborators.endpoints->Find(endpoint_id);
  // A leaving endpoint is stopped by the platform, so its requests are not the cause.
  if (endpoint == nullptr || endpoint->leaving || lost->second.crash_count_at_start < m_crash_counts[endpoint_id]) {
    return;
  }
  ++m_crash_counts[endpoint_id];
  std::vector<CrashedRequest> requests;
  for (const auto& [id, in_flight] : m_in_flight) {
    if (in_flight.endpoint_id == endpoint_id) {
      requests.push_back(in_flight.request);
    }
  }
  m_collaborators.quarantine->OnCrash(requests, m_collaborators.scheduler->clock().Now());
}

}  // namespace quetzalridge
