#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quetzalridge {

// Latencies in microseconds and their quantiles.
class LatencySummary {
 public:
  void Add(int64_t microseconds) { m_values.push_back(microseconds); }
  size_t count() const { return m_values.size(); }
  // In milliseconds; 0 without values.
  double Quantile(double fraction) const;
  void Clear() { m_values.clear(); }

 private:
  std::vector<int64_t> m_values;
};

// Microseconds of a steady clock.
int64_t NowMicroseconds();

}  // namespace quetzalridge
