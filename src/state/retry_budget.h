#pragma once

#include <deque>

#include "base/clock.h"

namespace quetzalridge {

// Bounds retries to a ratio of the recent requests, so that retries cannot multiply an overload.
class RetryBudget {
 public:
  void OnRequest(TimePoint now);
  // Takes one retry; false when the budget is used up.
  bool TakeRetry(TimePoint now);

 private:
  void RemoveExpired(TimePoint now);

  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_retries;
};

}  // namespace quetzalridge
