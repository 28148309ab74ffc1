#include "state/sunset_forecast.h"

#include <algorithm>
#include <cmath>

namespace quetzalridge {

namespace {

constexpr int64_t kDayMs = int64_t{24} * 3600 * 1000;
constexpr int64_t kHourMs = int64_t{3600} * 1000;
constexpr int64_t kBinMs = int64_t{15} * 60 * 1000;
// Weight of one day in the moving mean of a bin, low enough that one unusual day does not dominate the forecast.
constexpr double kDayWeight = 0.3;
// Weight of one bin in the moving mean of the ratio between today's demand and the learned demand.
constexpr double kTodayRatioWeight = 0.25;
constexpr double kMinTodayRatio = 0.5;
constexpr double kMaxTodayRatio = 2.0;
constexpr double kRadiansPerDegree = M_PI / 180.0;
// At this altitude of the sun's center, its upper edge is on the horizon if refraction is included.
constexpr double kSunsetAltitudeDegrees = -0.833;

}  // namespace

int64_t SunsetOfDay(const Location& location, int64_t wall_ms) {
  // Days are counted in local solar time, so that each sunset belongs to the same day as the noon before it.
  const auto offset_ms = static_cast<int64_t>(location.longitude / 15.0 * static_cast<double>(kHourMs));
  const int64_t day = (wall_ms + offset_ms) / kDayMs;
  // The Unix epoch is a January 1, and the mean year length accounts for leap years.
  const double day_of_year = std::fmod(static_cast<double>(day), 365.2425);
  const double angle = 2.0 * M_PI * (day_of_year - 80.0) / 365.2425;
  const double equation_of_time_min = 9.87 * std::sin(2 * angle) - 7.53 * std::cos(angle) - 1.5 * std::sin(angle);
  const double declination = -23.44 * kRadiansPerDegree * std::cos(2.0 * M_PI * (day_of_year + 10.0) / 365.2425);
  const double latitude = location.latitude * kRadiansPerDegree;
  const double cosine =
      (std::sin(kSunsetAltitudeDegrees * kRadiansPerDegree) - std::sin(latitude) * std::sin(declination)) /
      (std::cos(latitude) * std::cos(declination));
  const double hours_after_noon = std::abs(cosine) > 1.0 ? 6.0 : std::acos(cosine) / kRadiansPerDegree / 15.0;
  const double hours = 12.0 + hours_after_noon - equation_of_time_min / 60.0;
  return day * kDayMs - offset_ms + static_cast<int64_t>(hours * static_cast<double>(kHourMs));
}

int SunsetForecast::BinOf(int64_t wall_ms) const {
  const int64_t distance = (wall_ms - SunsetOfDay(m_location, wall_ms)) % kDayMs;
  return static_cast<int>(((distance + kDayMs) % kDayMs) / kBinMs) % kBins;
}

void SunsetForecast::CloseBin() {
  Bin& bin = m_bins[m_open_bin];
  const double mean = m_open_sum / std::max(m_open_count, 1);
  if (bin.known && bin.demand > 0) {
    const double ratio = std::min(kMaxTodayRatio, std::max(kMinTodayRatio, mean / bin.demand));
    m_today_ratio += kTodayRatioWeight * (ratio - m_today_ratio);
  }
  bin.demand = bin.known ? bin.demand + kDayWeight * (mean - bin.demand) : mean;
  bin.known = true;
}

void SunsetForecast::Observe(int64_t wall_ms, double demand) {
  const int bin = BinOf(wall_ms);
  if (bin != m_open_bin) {
    if (m_open_bin >= 0) {
      CloseBin();
    }
    m_open_bin = bin;
    m_open_sum = 0;
    m_open_count = 0;
  }
  m_open_sum += demand;
  ++m_open_count;
}

double SunsetForecast::PeakBetween(int64_t from_wall_ms, int64_t to_wall_ms) const {
  double peak = 0;
  for (int64_t at = from_wall_ms; at <= to_wall_ms; at += kBinMs) {
    const Bin& bin = m_bins[BinOf(at)];
    peak = std::max(peak, bin.known ? bin.demand : 0.0);
  }
  return peak * m_today_ratio;
}

}  // namespace quetzalridge
