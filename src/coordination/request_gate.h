#pragma once

#include "base/clock.h"
#include "coordination/lease.h"

namespace quetzalridge {

// Guards the requests that a duty sends to the platform under its lease. The check just before a request is written to
// the connection makes sure that the lease outlasts the request. The gate also knows whether a request may still be in
// flight. The callbacks of the requests share ownership of the gate.
class RequestGate {
 public:
  RequestGate(const Clock* clock, Duration request_timeout) : m_clock(clock), m_request_timeout(request_timeout) {}

  // Allows requests under the lease, as long as the lease keeps its present epoch.
  void Open(const Lease* lease) {
    m_lease = lease;
    m_epoch = lease->epoch();
  }
  void Close() { m_lease = nullptr; }

  // Returns whether a request of this epoch may be written now. If so, the request counts as in flight until OnAnswered
  // or until its timeout.
  bool MayWrite(int64_t epoch) {
    const TimePoint now = m_clock->Now();
    if (m_lease == nullptr || m_epoch != epoch || m_lease->epoch() != epoch || !m_lease->MayStartRequest(now)) {
      return false;
    }
    m_in_flight_until = now + m_request_timeout;
    return true;
  }
  void OnAnswered() { m_in_flight_until = m_clock->Now(); }
  // True when no request can be in flight. A request without an answer counts until its timeout, since the platform may
  // still execute it.
  bool IsIdle() const { return m_clock->Now() >= m_in_flight_until; }

 private:
  const Clock* m_clock;
  Duration m_request_timeout;
  const Lease* m_lease = nullptr;
  int64_t m_epoch = 0;
  TimePoint m_in_flight_until;
};

}  // namespace quetzalridge
