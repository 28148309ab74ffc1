#pragma once

#include "coordination/lease.h"

namespace quetzalridge {

// Work that one instance at a time does for all of them.
class Duty {
 public:
  virtual ~Duty() = default;
  // The lease is held; the duty reads its state before it does anything. `lease` outlives the duty's work.
  virtual void OnAcquired(const Lease* lease) = 0;
  // The lease is no longer held. Requests in flight were started in time and need no cancelling.
  virtual void OnLost() = 0;
  // Starts no further request; the lease is given up once the duty is idle.
  virtual void Stop() = 0;
  // No request is in flight, not even one whose answer was given up.
  virtual bool IsIdle() const = 0;
};

}  // namespace quetzalridge
