#include "state/cold_endpoint.h"

#include <algorithm>
#include <cmath>

namespace quetzalridge {

namespace {

constexpr double kMsPerSecond = 1000.0;
// Covers differences between the clocks' rates, and the time until the endpoint serves at its full speed.
constexpr Duration kEndMargin = Duration::Milliseconds(500);
// A registry entry is up to a heartbeat of 1.2 s old when it arrives, and may have been written before a response that
// arrived earlier.
constexpr Duration kMaxReportLag = Duration::Seconds(2);
// Longer than any endpoint takes to warm up. A malformed value must not limit an endpoint for good.
constexpr Duration kMaxColdTime = Duration::Seconds(600);
// Calls with permits that were granted within this time may be sent within the same second.
constexpr Duration kGrantWindow = Duration::Seconds(1) + kColdPermitLifetime + kMaxColdCallDelay;
// For how long a permit is kept for the instance that has waited longest. Covers a message between two instances and
// the time until its next request.
constexpr Duration kTurnTime = Duration::Milliseconds(50);
// While instances do not agree on who grants the permits, two may.
constexpr int kMaxGrantingInstances = 2;
// An order to load weights reads the state of the endpoint first. ModelVersionDuty sends it without a permit, and none
// else to the same cold endpoint within a second.
constexpr double kRequestsPerOrder = 2.0;

}  // namespace

void ColdPeriod::OnReport(TimePoint at, Duration remaining) {
  if (remaining <= Duration() && !m_until.has_value()) {
    return;
  }
  const Duration capped = std::min(remaining, kMaxColdTime);
  const TimePoint until = capped > Duration() ? at + capped + kEndMargin : at;
  if (m_until.has_value() && until < *m_until && at - m_reported_at < kMaxReportLag) {
    return;
  }
  m_until = until;
  m_reported_at = at;
}

double ColdPace(double requests_per_s, const ColdBounds& bounds, GrantAuthority authority) {
  if (authority == GrantAuthority::kNone || requests_per_s <= 0.0) {
    return 0.0;
  }
  const double allowed = requests_per_s * bounds.overage + bounds.slack;
  const double share = std::floor((allowed - kRequestsPerOrder) / kMaxGrantingInstances);
  const double permits = authority == GrantAuthority::kSettled ? std::max(share, 1.0) : 1.0;
  return std::min(requests_per_s, permits * kMsPerSecond / static_cast<double>(kGrantWindow.ms()));
}

PermitReply ColdPacer::Request(TimePoint now, double pace, const std::string& instance) {
  const Duration interval = Duration::Milliseconds(static_cast<int64_t>(std::ceil(kMsPerSecond / pace)));
  if (!m_last_at.has_value()) {
    m_last_at = now;
  }
  const TimePoint due = *m_last_at + interval;
  if (now < due) {
    return Refuse(instance, now, due);
  }
  const auto own = m_refused.find(instance);
  const TimePoint since = own == m_refused.end() ? now : own->second.since;
  if (now < due + kTurnTime && HasEarlier(since, interval, now)) {
    return Refuse(instance, now, due + kTurnTime);
  }
  // Instances that have missed their turns no longer want a permit.
  for (auto it = m_refused.begin(); it != m_refused.end();) {
    const bool missed = it->second.last_at < due && now >= due + kTurnTime;
    it = missed || it->first == instance ? m_refused.erase(it) : std::next(it);
  }
  m_last_at = now;
  return {true, Duration()};
}

bool ColdPacer::HasEarlier(TimePoint since, Duration interval, TimePoint now) const {
  return std::any_of(m_refused.begin(), m_refused.end(), [&](const auto& entry) {
    return entry.second.since < since && now - entry.second.last_at <= interval + kTurnTime;
  });
}

PermitReply ColdPacer::Refuse(const std::string& instance, TimePoint now, TimePoint retry_at) {
  m_refused.try_emplace(instance, Refused{now, now}).first->second.last_at = now;
  return {false, retry_at - now};
}

}  // namespace quetzalridge
