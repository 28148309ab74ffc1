#include "placement/endpoint_times.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace quetzalridge {

namespace {

// The load of an endpoint, and who shares its machine, change within minutes.
constexpr Duration kHalfLife = Duration::Seconds(60);
constexpr Duration kMaxAge = Duration::Seconds(600);
// The speed of an endpoint and the mean of all endpoints have equal weight after this many intervals, which is about
// one item.
constexpr double kPriorIntervals = 10.0;
// With more, the mean would follow a lasting change too slowly. 200 intervals take about ten seconds of one slot.
constexpr double kMaxWeight = 200.0;
// Weight of one interval in the mean of all endpoints, and of one run in the times to the first event.
constexpr double kMeanWeight = 0.002;
constexpr double kFirstEventWeight = 0.05;

}  // namespace

double EndpointTimes::WeightAt(const Speed& speed, TimePoint now) {
  return speed.weight *
         std::exp2(-static_cast<double>((now - speed.observed).ms()) / static_cast<double>(kHalfLife.ms()));
}

void EndpointTimes::OnIntervals(const std::string& endpoint, int intervals, Duration total, TimePoint now) {
  if (intervals <= 0) {
    return;
  }
  const double measured = static_cast<double>(total.ms()) / intervals;
  const auto [found, is_new] = m_speeds.try_emplace(endpoint);
  Speed& speed = found->second;
  const double known = is_new ? 0.0 : WeightAt(speed, now);
  speed.ms_per_event = (known * speed.ms_per_event + intervals * measured) / (known + intervals);
  speed.weight = std::min(known + intervals, kMaxWeight);
  speed.observed = now;
  const double weight = m_mean_ms_per_event == 0.0 ? 1.0 : std::min(kMeanWeight * intervals, 1.0);
  m_mean_ms_per_event += weight * (measured - m_mean_ms_per_event);
  // Endpoints leave only when others join, so the map does not grow without bound.
  for (auto it = m_speeds.begin(); is_new && it != m_speeds.end();) {
    it = now - it->second.observed > kMaxAge ? m_speeds.erase(it) : std::next(it);
  }
}

void EndpointTimes::OnFirstEvent(bool is_cached, Duration time) {
  double& mean = m_first_event_ms[is_cached ? 1 : 0];
  const auto ms = static_cast<double>(time.ms());
  mean += (mean == 0.0 ? 1.0 : kFirstEventWeight) * (ms - mean);
}

double EndpointTimes::MsPerEvent(const std::string& endpoint, TimePoint now) const {
  const auto found = m_speeds.find(endpoint);
  if (found == m_speeds.end()) {
    return m_mean_ms_per_event;
  }
  const double weight = WeightAt(found->second, now);
  return (kPriorIntervals * m_mean_ms_per_event + weight * found->second.ms_per_event) / (kPriorIntervals + weight);
}

}  // namespace quetzalridge
