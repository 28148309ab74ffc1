#pragma once

#include "coordination/lease.h"

namespace quetzalridge {

// A background task that only one instance runs at a time, on behalf of all instances: the holder of the task's lease.
class Duty {
 public:
  virtual ~Duty() = default;
  // Called when this process has acquired the lease. The duty must read its stored state before it acts on it. `lease`
  // stays valid until the duty is removed from its manager.
  virtual void OnAcquired(const Lease* lease) = 0;
  // Called when the lease is no longer held. Requests in flight need not be cancelled: each was started early enough to
  // end before the lease expired.
  virtual void OnLost() = 0;
  // Makes the duty start no further request. The manager releases the lease once the duty is idle.
  virtual void Stop() = 0;
  // Returns true when no request is in flight, including requests that timed out and may still reach the platform.
  virtual bool IsIdle() const = 0;
};

}  // namespace quetzalridge
