#include "gateway/planned_stop.h"

#include <utility>

namespace quetzalridge {

namespace {

constexpr Duration kCheckInterval = Duration::Milliseconds(50);
// The process must have ended by itself when the platform kills it.
constexpr Duration kExitTime = Duration::Milliseconds(100);

}  // namespace

PlannedStop::PlannedStop(Scheduler* scheduler, PlannedStopOptions options, PlannedStopHooks hooks)
    : m_scheduler(scheduler), m_options(options), m_hooks(std::move(hooks)) {}

void PlannedStop::Begin() {
  if (m_begun) {
    return;
  }
  m_begun = true;
  m_began_at = m_scheduler->clock().Now();
  AwaitIdle();
}

void PlannedStop::CheckAgain(void (PlannedStop::*check)()) {
  m_timer = m_scheduler->After(kCheckInterval, [this, check] { (this->*check)(); });
}

void PlannedStop::AwaitIdle() {
  const bool idle = m_hooks.active_requests() == 0 && m_hooks.handed_over();
  const bool expired = Passed() >= m_options.grace - m_options.margin;
  if (expired || (idle && Passed() >= m_options.lame_duck)) {
    WriteLastRows();
    return;
  }
  CheckAgain(&PlannedStop::AwaitIdle);
}

void PlannedStop::WriteLastRows() {
  m_hooks.write_last_rows([this] { m_rows_written = true; });
  AwaitLastRequests();
}

// Callers whose connection is still open send requests until the process has gone, so the end must meet a moment
// without any.
void PlannedStop::AwaitLastRequests() {
  const bool expired = Passed() >= m_options.grace - kExitTime;
  if (!expired && (!m_rows_written || m_hooks.active_requests() > 0)) {
    CheckAgain(&PlannedStop::AwaitLastRequests);
    return;
  }
  m_timer.reset();
  m_hooks.finish();
}

}  // namespace quetzalridge
