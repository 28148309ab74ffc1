#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace quetzalridge {

// Token times of the endpoints of one service, as the streams of its samples show them. Load reports do not show a
// replica that is slow, because it has no more requests than the others.
class TokenTimeEstimator {
 public:
  void Observe(const std::string& endpoint, double token_ms, TimePoint now);
  // The median over the endpoints; nothing while fewer than three of them were observed lately.
  std::optional<double> MedianMs(TimePoint now) const;

 private:
  // With two endpoints the median cannot tell which of them is at fault.
  static constexpr size_t kMinEndpoints = 3;
  // Between two steps there are no streams; what an endpoint did before says little about it now.
  static constexpr Duration kMaxAge = Duration::Seconds(10);
  // Weight of the latest observation; several streams of one endpoint report in each second.
  static constexpr double kLatestWeight = 0.25;

  struct Estimate {
    double token_ms = 0.0;
    TimePoint observed;
  };

  std::map<std::string, Estimate> m_estimates;
};

}  // namespace quetzalridge
