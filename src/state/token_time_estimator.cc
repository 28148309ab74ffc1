#include "state/token_time_estimator.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <vector>

namespace quetzalridge {

void TokenTimeEstimator::Observe(const std::string& endpoint, double token_ms, TimePoint now) {
  // Removes endpoints that were not observed recently, so that the map does not grow without bound.
  for (auto it = m_estimates.begin(); it != m_estimates.end();) {
    it = now - it->second.observed > kMaxAge ? m_estimates.erase(it) : std::next(it);
  }
  const auto [it, inserted] = m_estimates.emplace(endpoint, Estimate{token_ms, now});
  if (!inserted) {
    it->second.token_ms += kLatestWeight * (token_ms - it->second.token_ms);
    it->second.observed = now;
  }
}

std::optional<double> TokenTimeEstimator::MedianMs(TimePoint now) const {
  std::vector<double> times;
  for (const auto& [endpoint, estimate] : m_estimates) {
    if (now - estimate.observed <= kMaxAge) {
      times.push_back(estimate.token_ms);
    }
  }
  if (times.size() < kMinEndpoints) {
    return std::nullopt;
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

}  // namespace quetzalridge
