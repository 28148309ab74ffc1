#pragma once

#include <array>
#include <cstdint>

#include "base/clock.h"

namespace quetzalridge {

struct Location {
  double latitude = 0;
  double longitude = 0;
};

// Wall-clock time of the sunset of the solar day around `wall_ms`. Where the sun does not set, six hours after noon.
int64_t SunsetOfDay(const Location& location, int64_t wall_ms);

// Learns the demand by distance from sunset. The peak moves with the sunset, so a forecast by hour of day lags behind
// it by minutes each week.
class SunsetForecast {
 public:
  explicit SunsetForecast(Location location) : m_location(location) {}

  void Observe(int64_t wall_ms, double demand);
  // Highest expected demand between the two times; 0 before anything was learnt about them.
  double PeakBetween(int64_t from_wall_ms, int64_t to_wall_ms) const;

 private:
  static constexpr int kBins = 96;

  struct Bin {
    bool known = false;
    double demand = 0;
  };

  int BinOf(int64_t wall_ms) const;
  void CloseBin();

  Location m_location;
  std::array<Bin, kBins> m_bins;
  int m_open_bin = -1;
  double m_open_sum = 0;
  int m_open_count = 0;
  // Today's demand relative to the learnt one.
  double m_today_ratio = 1.0;
};

}  // namespace quetzalridge
