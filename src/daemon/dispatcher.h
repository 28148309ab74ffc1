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
  // Longest wait for admission. Also the longest wait for a free slot of an endpoint, and for an endpoint on which a
  // suspect (a request that may crash endpoints) can run alone.
  Duration queue_timeout = Duration::Seconds(10);
  // A suspect waits this long for an endpoint that no instance uses. After that, it may use an endpoint on which this
  // instance has no request in flight.
  Duration idle_endpoint_wait = Duration::Seconds(2);
  Mechanisms mechanisms = {};
};

// Runs requests on endpoints. Asks for admission, chooses the endpoint, enforces timeouts, retries failed attempts, and
// detects requests that crash endpoints.
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

  // The observer is called only after Start has returned.
  std::unique_ptr<DispatchRun> Start(DispatchRequest request, DispatchObserver* observer);
  // Called when the load estimate of endpoints has changed, so that waiting requests look for a free slot again.
  void OnLoadChanged();
  // Number of runs that have not ended.
  size_t active() const { return m_runs.size(); }

 private:
  class Run;
  class Handle;

  // An attempt in flight. Used after a crash of the endpoint to find the requests that may have caused it.
  struct InFlight {
    std::string endpoint_id;
    CrashedRequest request;
    // Number of crashes of the endpoint that were counted before the attempt started.
    int64_t crash_count_at_start = 0;
  };

  // Schedules PollAdmission after this delay, unless it is due earlier already.
  void ScheduleAdmissionPoll(Duration delay);
  // Starts queued requests and stops preempted ones. Repeated every 100 ms while there are runs.
  void PollAdmission();
  // Lets the runs that wait for a free slot choose an endpoint again.
  void RetryRunsWaitingForSlot();
  // Called when the connection of a run's attempt was lost, which can mean that the endpoint has crashed.
  void OnConnectionLost(uint64_t run_id);

  Collaborators m_collaborators;
  DispatcherOptions m_options;
  RetryBudget m_retry_budget;
  uint64_t m_next_run = 0;
  std::map<uint64_t, std::shared_ptr<Run>> m_runs;
  std::map<uint64_t, InFlight> m_in_flight;
  // Crashes of each endpoint.
  std::map<std::string, int64_t> m_crash_counts;
  // The admitted runs that wait for a free slot of an endpoint.
  SlotWaitQueue m_slot_wait_queue;
  std::unique_ptr<Timer> m_admission_timer;
  TimePoint m_admission_poll_due;
};

}  // namespace quetzalridge
