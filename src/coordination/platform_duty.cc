#include "coordination/platform_duty.h"

namespace quetzalridge {

PlatformDuty::PlatformDuty(Scheduler* scheduler, Duration poll_interval, Duration request_timeout)
    : m_scheduler(scheduler),
      m_poll_interval(poll_interval),
      m_gate(std::make_shared<RequestGate>(&scheduler->clock(), request_timeout)) {}

void PlatformDuty::OnAcquired(const Lease* lease) {
  m_lease = lease;
  m_stopped = false;
  ResetState();
  m_gate->Open(lease);
  Poll();
}

void PlatformDuty::OnLost() {
  m_lease = nullptr;
  m_gate->Close();
  m_timer.reset();
}

void PlatformDuty::Stop() {
  m_stopped = true;
  m_gate->Close();
  m_timer.reset();
}

void PlatformDuty::Poll() {
  if (!IsActive()) {
    return;
  }
  m_timer = m_scheduler->After(m_poll_interval, [this] { Poll(); });
  // A request that timed out may still reach the platform. The next request must not arrive before it.
  if (m_step_running || !m_gate->IsIdle()) {
    return;
  }
  m_step_running = true;
  BeginStep();
}

}  // namespace quetzalridge
