#include "state/outage_detector.h"

#include <algorithm>

namespace quetzalridge {

namespace {

// Entries that others renew every 1.2 s lapse after three missed renewals, so a shorter outage loses none.
constexpr Duration kMinOutage = Duration::Milliseconds(1500);
// A call fails at the latest after this time while the process runs. A longer one shows that the process was paused.
constexpr Duration kLongestCall = Duration::Milliseconds(1400);

}  // namespace

void OutageDetector::OnFailed(TimePoint sent_at, TimePoint now) {
  // A call that was sent later has been served.
  if (sent_at < m_served_call_sent_at) {
    return;
  }
  const TimePoint since = std::max(sent_at, now - kLongestCall);
  // Calls do not fail in the order in which they were sent.
  m_failing_since = std::min(m_failing_since.value_or(since), since);
}

bool OutageDetector::OnServed(TimePoint sent_at, TimePoint now) {
  m_served_call_sent_at = std::max(m_served_call_sent_at, sent_at);
  const bool ends_outage = m_failing_since.has_value() && now - *m_failing_since >= kMinOutage;
  m_failing_since.reset();
  return ends_outage;
}

}  // namespace quetzalridge
