#include "state/retry_budget.h"

#include <algorithm>

namespace quetzalridge {

namespace {

constexpr Duration kWindow = Duration::Seconds(10);
// One retry is allowed for this many requests.
constexpr size_t kRequestsPerRetry = 10;
// With little traffic, the ratio alone would allow no retries.
constexpr size_t kMinRetries = 3;

void ExpireBefore(TimePoint limit, std::deque<TimePoint>* times) {
  while (!times->empty() && times->front() <= limit) {
    times->pop_front();
  }
}

}  // namespace

void RetryBudget::OnRequest(TimePoint now) {
  RemoveExpired(now);
  m_requests.push_back(now);
}

bool RetryBudget::TakeRetry(TimePoint now) {
  RemoveExpired(now);
  if (m_retries.size() >= std::max(kMinRetries, m_requests.size() / kRequestsPerRetry)) {
    return false;
  }
  m_retries.push_back(now);
  return true;
}

void RetryBudget::RemoveExpired(TimePoint now) {
  ExpireBefore(now - kWindow, &m_requests);
  ExpireBefore(now - kWindow, &m_retries);
}

}  // namespace quetzalridge
