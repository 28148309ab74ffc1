#include "state/circuit_breaker.h"

#include <algorithm>

namespace quetzalridge {

namespace {

constexpr int kFailuresToOpen = 5;
constexpr Duration kFirstOpenTime = Duration::Seconds(1);
constexpr Duration kLongestOpenTime = Duration::Seconds(30);

}  // namespace

bool CircuitBreaker::Allows(TimePoint now) const {
  return !m_open || (!m_trial_running && now >= m_opened_at + m_open_for);
}

void CircuitBreaker::OnStart(TimePoint now) {
  if (m_open && now >= m_opened_at + m_open_for) {
    m_trial_running = true;
  }
}

void CircuitBreaker::OnSuccess() {
  m_open = false;
  m_trial_running = false;
  m_failures = 0;
  m_open_for = Duration();
}

// Calls that were in flight when the breaker opened fail later. They neither double the open time nor start it again.
void CircuitBreaker::OnFailure(TimePoint now) {
  ++m_failures;
  if (m_open && !m_trial_running) {
    return;
  }
  if (!m_open && m_failures < kFailuresToOpen) {
    return;
  }
  m_open_for = m_open ? std::min(m_open_for * 2, kLongestOpenTime) : kFirstOpenTime;
  m_open = true;
  m_trial_running = false;
  m_opened_at = now;
}

void CircuitBreaker::OnNeutral() {
  m_trial_running = false;
}

}  // namespace quetzalridge
