#pragma once

#include <functional>
#include <memory>

#include "base/clock.h"
#include "coordination/scheduler.h"

namespace quetzalridge {

struct GracefulShutdownOptions {
  // From the start of the stop; callers still send new requests meanwhile.
  Duration min_serving_time;
  // From the start of the stop until the platform kills the process.
  Duration grace;
  // The last rows are written at the latest this long before the end of the grace time.
  Duration final_write_margin;
};

struct GracefulShutdownHooks {
  std::function<int()> active_requests;
  // Jobs and duties are in other hands.
  std::function<bool()> work_handed_over;
  // Writes what other instances need to know, then runs the callback.
  std::function<void(std::function<void()>)> write_last_rows;
  std::function<void()> on_finished;
};

// The order of a planned stop: serve on until callers have learnt of it and nothing is left to do, write the last rows,
// serve what came meanwhile, end.
class GracefulShutdown {
 public:
  GracefulShutdown(Scheduler* scheduler, GracefulShutdownOptions options, GracefulShutdownHooks hooks);

  void Start();
  bool started() const { return m_started; }

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
