#include "gateway/graceful_shutdown.h"

#include <utility>

namespace quetzalridge {

namespace {

constexpr Duration kCheckInterval = Duration::Milliseconds(50);
// The process exits this long before the platform would kill it.
constexpr Duration kExitMargin = Duration::Milliseconds(100);
// The last response is sent this long before the platform would kill the process.
constexpr Duration kLastEndMargin = Duration::Milliseconds(200);

}  // namespace

GracefulShutdown::GracefulShutdown(Scheduler* scheduler, GracefulShutdownOptions options, GracefulShutdownHooks hooks)
    : m_scheduler(scheduler), m_options(options), m_hooks(std::move(hooks)) {}

void GracefulShutdown::Start() {
  if (m_started) {
    return;
  }
  m_started = true;
  m_started_at = m_scheduler->clock().Now();
  WaitUntilIdle();
}

// In the minimum serving time, callers do not know of the shutdown yet, and would find no other instance.
bool GracefulShutdown::MayAccept(Duration limit) const {
  return !m_started || Elapsed() < m_options.min_serving_time || Elapsed() + limit < m_options.grace - kLastEndMargin;
}

void GracefulShutdown::ScheduleCheck(void (GracefulShutdown::*check)()) {
  m_timer = m_scheduler->After(kCheckInterval, [this, check] { (this->*check)(); });
}

void GracefulShutdown::WaitUntilIdle() {
  const bool idle = m_hooks.active_requests() == 0 && m_hooks.work_handed_over();
  const bool expired = Elapsed() >= m_options.grace - m_options.final_write_margin;
  if (expired || (idle && Elapsed() >= m_options.min_serving_time)) {
    WriteLastRows();
    return;
  }
  ScheduleCheck(&GracefulShutdown::WaitUntilIdle);
}

void GracefulShutdown::WriteLastRows() {
  m_hooks.write_last_rows([this] { m_rows_written = true; });
  WaitForLastRequests();
}

// Callers with an open connection send requests until the process has exited. The shutdown therefore finishes at a
// moment without requests in flight.
void GracefulShutdown::WaitForLastRequests() {
  const bool expired = Elapsed() >= m_options.grace - kExitMargin;
  if (!expired && (!m_rows_written || m_hooks.active_requests() > 0)) {
    ScheduleCheck(&GracefulShutdown::WaitForLastRequests);
    return;
  }
  m_timer.reset();
  m_hooks.on_finished();
}

}  // namespace quetzalridge
