#pragma once

#include <memory>

#include "coordination/duty.h"
#include "coordination/request_gate.h"
#include "coordination/scheduler.h"

namespace quetzalridge {

// A duty that sends requests to the platform in steps, one after the other, while its lease is held.
class PlatformDuty : public Duty {
 public:
  void OnAcquired(const Lease* lease) override;
  void OnLost() override;
  void Stop() override;
  bool IsIdle() const override { return m_gate->IsIdle(); }

 protected:
  PlatformDuty(Scheduler* scheduler, Duration poll_interval, Duration request_timeout);

  // What was learnt under an earlier lease no longer holds.
  virtual void ResetState() = 0;
  // Runs at each poll unless the last step or its request is still under way.
  virtual void BeginStep() = 0;

  bool IsActive() const { return m_lease != nullptr && !m_stopped; }
  void EndStep() { m_step_running = false; }
  TimePoint Now() const { return m_scheduler->clock().Now(); }
  const Lease* lease() const { return m_lease; }
  const std::shared_ptr<RequestGate>& gate() const { return m_gate; }

 private:
  void Poll();

  Scheduler* m_scheduler;
  Duration m_poll_interval;
  std::shared_ptr<RequestGate> m_gate;
  const Lease* m_lease = nullptr;
  bool m_stopped = false;
  bool m_step_running = false;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace quetzalridge
