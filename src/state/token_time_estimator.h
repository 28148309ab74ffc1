#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace quetzalridge {

// Estimates the time per token of each endpoint of one service from the streams of its samples. Load reports do not
// reveal a slow endpoint, because it has no more requests than the others.
class TokenTimeEstimator {
 public:
  void Observe(const std::string& endpoint, double token_ms, TimePoint now);
  // The median of the time per token over the endpoints; nothing if fewer than three of them were observed recently.
  std::optional<double> MedianMs(TimePoint now) const;

 private:
  // With two endpoints, the median cannot show which of them is slow.
  static constexpr size_t kMinEndpoints = 3;
  // There are no streams between two training steps, and old observations say little about the current speed.
  static constexpr Duration kMaxAge = Duration::Seconds(10);
  // Weight of the latest observation in the moving average. Several streams of one endpoint report each second.
  static constexpr double kLatestWeight = 0.25;

  struct Estimate {
    double token_ms = 0.0;
    TimePoint observed;
  };

  std::map<std::string, Estimate> m_estimates;
};

}  // namespace quetzalridge
