#pragma once

#include <deque>

#include "base/clock.h"

namespace quetzalridge {

// Limits retries to a fraction of the recent requests, so that retries cannot amplify an overload.
class RetryBudget {
 public:
  void OnRequest(TimePoint now);
  // Takes one retry from the budget. Returns false if the budget is used up.
  bool TakeRetry(TimePoint now);

 private:
  void RemoveExpired(TimePoint now);

  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_retries;
};

}  // namespace quetzalridge
