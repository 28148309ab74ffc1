#include "tools/load/latency_summary.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace quetzalridge {

double LatencySummary::Quantile(double fraction) const {
  constexpr double kMicrosecondsPerMs = 1000.0;
  if (m_values.empty()) {
    return 0.0;
  }
  std::vector<int64_t> sorted = m_values;
  const int64_t rank = std::lround(fraction * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return static_cast<double>(sorted[static_cast<size_t>(rank)]) / kMicrosecondsPerMs;
}

int64_t NowMicroseconds() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace quetzalridge
