#pragma once

#include <array>
#include <cstdint>

#include "base/clock.h"

namespace quetzalridge {

// In degrees; north and east are positive.
struct Location {
  double latitude = 0;
  double longitude = 0;
};

// Returns the time of the sunset (Unix, milliseconds) on the solar day that contains `wall_ms`. Where the sun does not
// set on that day, returns six hours after noon.
int64_t SunsetOfDay(const Location& location, int64_t wall_ms);

// Forecasts the demand from the demand on earlier days at the same time relative to sunset. The daily peak moves with
// the sunset, so a forecast by hour of day would fall behind by some minutes each week.
class SunsetForecast {
 public:
  explicit SunsetForecast(Location location) : m_location(location) {}

  // Adds a measurement of the demand at the given time.
  void Observe(int64_t wall_ms, double demand);
  // Returns the highest expected demand between the two times; 0 if no demand was recorded at these times of day yet.
  double PeakBetween(int64_t from_wall_ms, int64_t to_wall_ms) const;

 private:
  // A day has 96 bins of 15 minutes.
  static constexpr int kBins = 96;

  struct Bin {
    bool known = false;
    double demand = 0;
  };

  int BinOf(int64_t wall_ms) const;
  // Adds the mean of the open bin's measurements to the learned demand.
  void CloseBin();

  Location m_location;
  std::array<Bin, kBins> m_bins;
  // The bin that measurements are being added to; -1 before the first one.
  int m_open_bin = -1;
  double m_open_sum = 0;
  int m_open_count = 0;
  // Today's demand relative to the learned demand.
  double m_today_ratio = 1.0;
};

}  // namespace quetzalridge
