#pragma once

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace quetzalridge {

// A token bucket that holds at most one second's worth.
class RateLimit {
 public:
  RateLimit(int64_t per_second, TimePoint now)
      : m_per_second(per_second), m_tokens(static_cast<double>(per_second)), m_filled(now) {}

  bool Take(TimePoint now) {
    constexpr double kMsPerSecond = 1000.0;
    const double per_second = static_cast<double>(m_per_second);
    const double gained = per_second * static_cast<double>((now - m_filled).ms()) / kMsPerSecond;
    m_tokens = std::min(per_second, m_tokens + gained);
    m_filled = now;
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

 private:
  int64_t m_per_second;
  double m_tokens;
  TimePoint m_filled;
};

}  // namespace quetzalridge
