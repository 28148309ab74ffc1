#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "state/request_pacer.h"

namespace quetzalridge {

// How many requests a cold endpoint may receive in one second from all instances together: its rate multiplied by
// `overage`, plus `slack`.
struct ColdBounds {
  double overage = 1.5;
  double slack = 5.0;
};

// The time for which one endpoint stays cold, from what the endpoint has reported about it.
class ColdPeriod {
 public:
  // A report received at `at`, according to which the endpoint stays cold for `remaining`. A report that would end the
  // period earlier is ignored shortly after one that extended it, since reports may overtake each other.
  void OnReport(TimePoint at, Duration remaining);
  // Includes a margin after the reported end.
  bool IsCold(TimePoint now) const { return m_until.has_value() && now < *m_until; }
  // The end, with the margin; nothing if the endpoint was never reported as cold.
  std::optional<TimePoint> until() const { return m_until; }

 private:
  std::optional<TimePoint> m_until;
  // When the present end was reported.
  TimePoint m_reported_at;
};

// How far the other instances may be expected to agree that this instance grants the permits for an endpoint.
enum class GrantAuthority {
  // Another instance may grant them already. No permit is granted.
  kNone,
  // This instance is new, and so are the others, so several may grant permits at the same time.
  kNew,
  kSettled,
};

// A permit for a cold endpoint that is not used in this time after it was requested is lost.
inline constexpr Duration kColdPermitLifetime = Duration::Milliseconds(200);
// A call to a cold endpoint is not sent any more when this time has passed since its permit was used: one connection
// has failed, and another instance was asked to pass the call on.
inline constexpr Duration kMaxColdCallDelay = Duration::Milliseconds(150);

// Returns the requests per second for which one instance may grant permits, 0 for none. `requests_per_s` is the rate
// that the endpoint tolerates while it is cold. Two instances that both grant permits at this pace stay within the
// bounds.
double ColdPace(double requests_per_s, const ColdBounds& bounds, GrantAuthority authority);

// Spaces the permits for one cold endpoint, and lets the instances that ask for them take turns: without that, the
// granting instance itself, which needs no message, would take them all. Unlike RequestPacer, it never grants two
// permits within one interval.
class ColdPacer {
 public:
  // `pace` is in permits per second, and `instance` asks for the permit. The first permit is granted one interval after
  // the first request, since another instance may have granted permits until now.
  PermitReply Request(TimePoint now, double pace, const std::string& instance);

 private:
  // An instance that was refused, since its last permit.
  struct Refused {
    TimePoint since;
    TimePoint last_at;
  };
  // Whether an instance was refused before `since` and is expected to ask again.
  bool HasEarlier(TimePoint since, Duration interval, TimePoint now) const;
  PermitReply Refuse(const std::string& instance, TimePoint now, TimePoint retry_at);

  std::optional<TimePoint> m_last_at;
  std::map<std::string, Refused> m_refused;
};

}  // namespace quetzalridge
