#pragma once

#include <optional>

#include "base/clock.h"

namespace quetzalridge {

// Recognizes outages of a service by the results of the calls to it: an outage begins with a call that fails and ends
// with the next one that is served. The time between two calls says nothing.
class OutageDetector {
 public:
  void OnFailed(TimePoint sent_at, TimePoint now);
  // Returns true if an outage ends that lasted long enough for the service to lose state that others renew.
  bool OnServed(TimePoint sent_at, TimePoint now);

 private:
  // Since when no call has been served; nothing if the last one was.
  std::optional<TimePoint> m_failing_since;
  // When the latest call that was served was sent.
  TimePoint m_served_call_sent_at;
};

}  // namespace quetzalridge
