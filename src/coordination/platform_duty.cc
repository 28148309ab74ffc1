#include "coordination/platform_duty.h"

namespace quetzalridge {

PlatformDuty::PlatformDuty(Scheduler* scheduler, Duration poll, Duration request_timeout)
    : m_scheduler(scheduler),
      m_poll(poll),
      m_gate(std::make_shared<RequestGate>(&scheduler->clock(), request_timeout)) {}

void PlatformDuty::OnAcquired(const Lease* lease) {
  m_lease = lease;
  m_stopped = false;
  ResetState();
  m_gate->Open(lease);
  Tick();
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

void PlatformDuty::Tick() {
  if (!IsActive()) {
    return;
  }
  m_timer = m_scheduler->After(m_poll, [this] { Tick(); });
  // A request that may still arrive must not be overtaken by the next one.
  if (m_busy || !m_gate->IsIdle()) {
    return;
  }
  m_busy = true;
  BeginStep();
}

}  // namespace quetzalridge
