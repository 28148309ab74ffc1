#pragma once

#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace quetzalridge {

// How fast each endpoint generates, over the last minutes. EndpointDirectory::MsPerEvent follows short disturbances,
// and forgets a speed after some seconds without events; the remaining time of a long item needs the mean.
class EndpointTimes {
 public:
  // Records the time of some consecutive intervals between two events of a stream.
  void OnIntervals(const std::string& endpoint, int intervals, Duration total, TimePoint now);
  // Records the time from the start of a run to its first event. `is_cached`: the endpoint has processed the same
  // prompt before.
  void OnFirstEvent(bool is_cached, Duration time);

  // Returns the mean time between two events. It approaches the mean of all endpoints as the observations age; 0 if
  // nothing is known about any endpoint.
  double MsPerEvent(const std::string& endpoint, TimePoint now) const;
  double MsToFirstEvent(bool is_cached) const { return m_first_event_ms[is_cached ? 1 : 0]; }

 private:
  struct Speed {
    double ms_per_event = 0.0;
    // Number of intervals, of which older ones count less.
    double weight = 0.0;
    TimePoint observed;
  };
  static double WeightAt(const Speed& speed, TimePoint now);

  std::unordered_map<std::string, Speed> m_speeds;
  double m_mean_ms_per_event = 0.0;
  double m_first_event_ms[2] = {};
};

}  // namespace quetzalridge
