#include "state/circuit_breaker.h"

#include <algorithm>

namespace quetzalridge {

namespace {

constexpr int kFailuresToOpen = 5;
constexpr Duration kInitialOpenTime = Duration::Seconds(1);
constexpr Duration kMaxOpenTime = Duration::Seconds(30);

}  // namespace

bool CircuitBreaker::Allows(TimePoint now) const {
  return !m_open || (!m_trial_running && now >= m_opened_at + m_open_time);
}

bool CircuitBreaker::OnStart(TimePoint now) {
  const bool trial = m_open && now >= m_opened_at + m_open_time;
  m_trial_running = m_trial_running || trial;
  return trial;
}

void CircuitBreaker::OnSuccess(bool trial) {
  if (m_open && !trial) {
    return;
  }
  *this = CircuitBreaker();
}

void CircuitBreaker::OnFailure(bool trial, TimePoint now) {
  if (m_open && !trial) {
    return;
  }
  if (!m_open && ++m_consecutive_failures < kFailuresToOpen) {
    return;
  }
  m_open_time = m_open ? std::min(m_open_time * 2, kMaxOpenTime) : kInitialOpenTime;
  m_open = true;
  m_trial_running = false;
  m_opened_at = now;
}

void CircuitBreaker::OnInconclusive(bool trial) {
  if (trial) {
    m_trial_running = false;
  }
}

}  // namespace quetzalridge
