#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/config_view.h"
#include "coordination/scheduler.h"
#include "daemon/dispatch.h"
#include "daemon/endpoint_registry.h"
#include "daemon/mechanisms.h"
#include "state/admission.h"
#include "state/quarantine.h"
#include "state/retry_budget.h"
#include "state/router.h"
#include "state/slot_wait_queue.h"
#include "transport/engine_client.h"

namespace quetzalridge {

struct DispatcherOptions {
  // Availability zone of this instance.
  std::string zone;
  Duration connect_timeout = Duration::Seconds(1);
  Duration first_token_timeout = Duration::Seconds(30);
  Duration token_gap_timeout = Duration::Seconds(10);
  Duration total_timeout = Duration::Seconds(600);
  // Longest wait for admission, for a free slot of an endpoint, and for an endpoint that a suspect may run on alone.
  Duration queue_timeout = Duration::Seconds(10);
  // A suspect waits this long for an endpoint that no instance uses; after that, own work alone decides.
  Duration idle_endpoint_wait = Duration::Seconds(2);
  Mechanisms mechanisms = {};
};

// Runs requests on endpoints: admission, choice of the endpoint, deadlines, retries, quarantine.
class Dispatcher {
 public:
  struct Collaborators {
    Scheduler* scheduler = nullptr;
    ConfigView* config = nullptr;
    EndpointRegistry* endpoints = nullptr;
    EngineClient* engines = nullptr;
    Router* router = nullptr;
    AdmissionPolicy* admission = nullptr;
    Quarantine* quarantine = nullptr;
  };

  Dispatcher(Collaborators collaborators, DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Callbacks come after the call returned.
  std::unique_ptr<DispatchRun> Start(DispatchRequest request, DispatchObserver* observer);
  // The load estimate of endpoints has changed.
  void OnLoadChanged();
  // Runs that have not ended.
  size_t active() const { return m_runs.size(); }

 private:
  class Run;
  class Handle;

  // One attempt in flight, for the blame after a crash.
  struct InFlight {
    std::string endpoint_id;
    CrashedRequest request;
    // Crashes of the endpoint seen before the attempt started.
    int64_t crash_count_at_start = 0;
  };

  // Starts queued requests and stops preempted ones; again after 100 ms while there are runs.
  void ScheduleAdmissionPoll(Duration delay);
  void PollAdmission();
  void RetryRunsWaitingForSlot();
  void OnConnectionLost(uint64_t run_id);

  Collaborators m_collaborators;
  DispatcherOptions m_options;
  RetryBudget m_retry_budget;
  uint64_t m_next_run = 0;
  std::map<uint64_t, std::shared_ptr<Run>> m_runs;
  std::map<uint64_t, InFlight> m_in_flight;
  std::map<std::string, int64_t> m_crash_counts;
  // Admitted runs that wait for a free slot of an endpoint.
  SlotWaitQueue m_slot_wait_queue;
  std::unique_ptr<Timer> m_admission_timer;
  TimePoint m_admission_poll_due;
};

}  // namespace quetzalridge
