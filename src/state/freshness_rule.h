#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace quetzalridge {

// Decides whether samples are fresh enough for training. The age of a sample is the number of versions between the
// oldest weight version that produced one of its tokens and the newest published version.
class FreshnessRule {
 public:
  explicit FreshnessRule(int64_t staleness_bound) : m_staleness_bound(staleness_bound) {}

  // The oldest version that may be delivered while `newest` is the newest version.
  int64_t MinVersion(int64_t newest) const { return newest - m_staleness_bound; }
  bool IsFresh(int64_t oldest, int64_t newest) const { return oldest >= MinVersion(newest); }

 private:
  int64_t m_staleness_bound;
};

// A reading of the newest weight version. A newer version may have been published since `read_started`.
struct VersionReading {
  int64_t version = 0;
  // The time at which the read was sent. The response may describe any moment between this time and its arrival.
  TimePoint read_started;

  // An age of exactly `max_age` is excluded: points of time are truncated to whole milliseconds, so the true age may be
  // up to 1 ms more.
  bool IsCurrent(TimePoint now, Duration max_age) const { return now - read_started < max_age; }
};

// Predicts the newest weight version at a later time, from the times at which versions were first seen. Also predicts
// when a sample that starts now is fetched, from the run times of earlier samples.
class VersionForecast {
 public:
  void Observe(int64_t version, TimePoint now);
  std::optional<int64_t> newest() const { return m_newest; }
  // The version that is expected to be the newest at `time`. Returns the newest known version if no interval between
  // two versions has been observed yet.
  int64_t ExpectedAt(TimePoint time) const;
  void ObserveRunTime(Duration run_time);
  // The version that is expected to be the newest when the trainer fetches a sample that starts at `now`.
  int64_t ExpectedAtFetch(TimePoint now) const { return ExpectedAt(now + m_run_time); }

 private:
  // The latest value has a weight of 1 / kAverageDivisor in the moving averages.
  static constexpr int64_t kAverageDivisor = 4;

  std::optional<int64_t> m_newest;
  TimePoint m_newest_seen_at;
  bool m_newest_publish_time_known = false;
  Duration m_interval;
  Duration m_run_time;
};

}  // namespace quetzalridge
