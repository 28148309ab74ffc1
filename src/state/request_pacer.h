#pragma once

#include "base/clock.h"

namespace quetzalridge {

// The answer to a request for a permit to send one request.
struct PermitReply {
  bool granted = false;
  // If not granted: when a permit may be requested again.
  Duration wait;
};

// Spaces the requests to one endpoint so that their rate stays below a limit. After a pause, one further request may
// follow the first at once, so that a delay of one request does not lower the rate.
class RequestPacer {
 public:
  // `limit` is in requests per second.
  PermitReply Request(TimePoint now, double limit);

 private:
  bool m_started = false;
  // When a request would be due if they were evenly spaced. Not in whole milliseconds, since an interval may be
  // shorter.
  double m_due_ms = 0.0;
};

}  // namespace quetzalridge
