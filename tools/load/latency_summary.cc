#include "tools/load/latency_summary.h"

#include <algorithm>
#include <chrono>

namespace quetzalridge {

double LatencySummary::Quantile(double fraction) const {
  constexpr double kMicrosecondsPerMs = 1000.0;
  if (m_values.empty()) {
    return 0.0;
  }
  std::vector<int64_t> sorted = m_values;
  const auto rank = static_cast<size_t>(fraction * static_cast<double>(sorted.size() - 1) + 0.5);
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), sorted.end());
  return static_cast<double>(sorted[rank]) / kMicrosecondsPerMs;
}

int64_t NowMicroseconds() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace quetzalridge
