#pragma once

#include "base/clock.h"
#include "coordination/lease.h"

namespace quetzalridge {

// The last check before a request of a duty is written, and the knowledge whether one may still be in flight. Shared
// with the callbacks of the request.
class RequestGate {
 public:
  RequestGate(const Clock* clock, Duration request_timeout) : m_clock(clock), m_request_timeout(request_timeout) {}

  void Open(const Lease* lease) {
    m_lease = lease;
    m_epoch = lease->epoch();
  }
  void Close() { m_lease = nullptr; }

  // A request of the epoch may be written now.
  bool MayWrite(int64_t epoch) {
    const TimePoint now = m_clock->Now();
    if (m_lease == nullptr || m_epoch != epoch || m_lease->epoch() != epoch || !m_lease->MayStartRequest(now)) {
      return false;
    }
    m_in_flight_until = now + m_request_timeout;
    return true;
  }
  void OnAnswered() { m_in_flight_until = m_clock->Now(); }
  // The platform may still take up a request whose answer was given up.
  bool IsIdle() const { return m_clock->Now() >= m_in_flight_until; }

 private:
  const Clock* m_clock;
  Duration m_request_timeout;
  const Lease* m_lease = nullptr;
  int64_t m_epoch = 0;
  TimePoint m_in_flight_until;
};

}  // namespace quetzalridge
