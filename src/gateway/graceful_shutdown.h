#pragma once

#include <functional>
#include <memory>

#include "base/clock.h"
#include "coordination/scheduler.h"

namespace quetzalridge {

struct GracefulShutdownOptions {
  // Time from the start of the shutdown in which requests are served in any case, since callers still send new ones.
  Duration min_serving_time;
  // Time from the start of the shutdown until the platform kills the process.
  Duration grace;
  // The last rows are written no later than this time before the end of `grace`.
  Duration final_write_margin;
};

// Functions by which the shutdown controls the rest of the process.
struct GracefulShutdownHooks {
  // Number of requests in flight.
  std::function<int()> active_requests;
  // All batch jobs and duties of this instance are handed over to other instances.
  std::function<bool()> work_handed_over;
  // Writes the rows that other instances need from this one, then calls the callback.
  std::function<void(std::function<void()>)> write_last_rows;
  // Called last: the process may exit.
  std::function<void()> on_finished;
};

// Runs the steps of a graceful shutdown: serves requests until callers have learned of the shutdown and all work is
// done or handed over, writes the last rows, serves the requests that arrived in the meantime, and finishes. If the
// work is not done in time, each step is cut short so that the process exits before the platform kills it.
class GracefulShutdown {
 public:
  GracefulShutdown(Scheduler* scheduler, GracefulShutdownOptions options, GracefulShutdownHooks hooks);

  void Start();
  bool started() const { return m_started; }
  // Whether a request that takes at most `limit` may still be accepted. A request that may not be is refused at once,
  // since the end of the process would cut it off.
  bool MayAccept(Duration limit) const;

 private:
  Duration Elapsed() const { return m_scheduler->clock().Now() - m_started_at; }
  void WaitUntilIdle();
  void WriteLastRows();
  void WaitForLastRequests();
  void ScheduleCheck(void (GracefulShutdown::*check)());

  Scheduler* m_scheduler;
  GracefulShutdownOptions m_options;
  GracefulShutdownHooks m_hooks;
  std::unique_ptr<Timer> m_timer;
  TimePoint m_started_at;
  bool m_started = false;
  bool m_rows_written = false;
};

}  // namespace quetzalridge
