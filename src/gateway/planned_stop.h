#pragma once

#include <functional>
#include <memory>

#include "base/clock.h"
#include "coordination/scheduler.h"

namespace quetzalridge {

struct PlannedStopOptions {
  // From the start of the stop; callers still send new requests meanwhile.
  Duration lame_duck;
  // From the start of the stop until the platform kills the process.
  Duration grace;
  // The last rows are written at the latest this long before the end of the grace time.
  Duration margin;
};

struct PlannedStopHooks {
  std::function<int()> active_requests;
  // Jobs and duties are in other hands.
  std::function<bool()> handed_over;
  // Writes what other instances need to know, then runs the callback.
  std::function<void(std::function<void()>)> write_last_rows;
  std::function<void()> finish;
};

// The order of a planned stop: serve on until callers have learnt of it and nothing is left to do, write the last rows,
// serve what came meanwhile, end.
class PlannedStop {
 public:
  PlannedStop(Scheduler* scheduler, PlannedStopOptions options, PlannedStopHooks hooks);

  void Begin();
  bool begun() const { return m_begun; }

 private:
  Duration Passed() const { return m_scheduler->clock().Now() - m_began_at; }
  void AwaitIdle();
  void WriteLastRows();
  void AwaitLastRequests();
  void CheckAgain(void (PlannedStop::*check)());

  Scheduler* m_scheduler;
  PlannedStopOptions m_options;
  PlannedStopHooks m_hooks;
  std::unique_ptr<Timer> m_timer;
  TimePoint m_began_at;
  bool m_begun = false;
  bool m_rows_written = false;
};

}  // namespace quetzalridge
