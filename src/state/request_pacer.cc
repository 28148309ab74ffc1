#include "state/request_pacer.h"

#include <algorithm>
#include <cmath>

namespace quetzalridge {

namespace {

constexpr double kMsPerSecond = 1000.0;
// Several requests may be due within one step of the clock.
constexpr double kClockResolutionMs = 1.0;

}  // namespace

// The first request waits one interval, since another pacer may have granted requests until now.
PermitReply RequestPacer::Request(TimePoint now, double limit) {
  const double interval_ms = kMsPerSecond / limit;
  const auto now_ms = static_cast<double>(now.ms());
  if (!m_started) {
    m_started = true;
    m_due_ms = now_ms + interval_ms;
  }
  m_due_ms = std::max(m_due_ms, now_ms - std::max(interval_ms, kClockResolutionMs));
  if (m_due_ms > now_ms) {
    return {false, Duration::Milliseconds(static_cast<int64_t>(std::ceil(m_due_ms - now_ms)))};
  }
  m_due_ms += interval_ms;
  return {true, Duration()};
}

}  // namespace quetzalridge
