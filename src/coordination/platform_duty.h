#pragma once

#include <memory>

#include "coordination/duty.h"
#include "coordination/request_gate.h"
#include "coordination/scheduler.h"

namespace quetzalridge {

// Base class of duties that act on the platform. While the lease is held, it polls at a fixed interval, and each poll
// starts one step, a chain of requests that the subclass sends one after the other.
class PlatformDuty : public Duty {
 public:
  void OnAcquired(const Lease* lease) override;
  void OnLost() override;
  void Stop() override;
  bool IsIdle() const override { return m_gate->IsIdle(); }

 protected:
  PlatformDuty(Scheduler* scheduler, Duration poll_interval, Duration request_timeout);

  // Discards the state that was read under an earlier lease; other holders may have changed it since.
  virtual void ResetState() = 0;
  // Called at each poll, unless the previous step is still running or one of its requests may still be in flight. The
  // subclass calls EndStep when the step is over.
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
