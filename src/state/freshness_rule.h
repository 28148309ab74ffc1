#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace quetzalridge {

// Decides whether samples are young enough. The age of a sample is the number of versions between its oldest stamp and
// the newest published version.
class FreshnessRule {
 public:
  explicit FreshnessRule(int64_t staleness_bound) : m_staleness_bound(staleness_bound) {}

  // The oldest version that may be handed over while `newest` is the newest.
  int64_t MinVersion(int64_t newest) const { return newest - m_staleness_bound; }
  bool IsFresh(int64_t oldest, int64_t newest) const { return oldest >= MinVersion(newest); }

 private:
  int64_t m_staleness_bound;
};

// A reading of the newest version. The true version may have grown since `read_started`.
struct VersionReading {
  int64_t version = 0;
  // When the read was sent, not when it was answered: the answer may describe any moment in between.
  TimePoint read_started;

  // The limit itself is excluded: points of time are cut to whole milliseconds, so a difference of `freshness` may be
  // up to 1 ms more.
  bool IsCurrent(TimePoint now, Duration max_age) const { return now - read_started < max_age; }
};

// Predicts the newest version at a later time from the times at which versions were first seen, and the time at which a
// sample that starts now is handed over from the run times of earlier ones.
class VersionForecast {
 public:
  void Observe(int64_t version, TimePoint now);
  std::optional<int64_t> newest() const { return m_newest; }
  // The version that is expected to be the newest at `time`. Without an observed interval, the newest one.
  int64_t ExpectedAt(TimePoint time) const;
  void ObserveRunTime(Duration run_time);
  // The version that is expected when a sample that starts at `now` is handed over.
  int64_t ExpectedAtFetch(TimePoint now) const { return ExpectedAt(now + m_run_time); }

 private:
  // Weight of the latest interval in the moving average.
  static constexpr int64_t kAverageDivisor = 4;

  std::optional<int64_t> m_newest;
  TimePoint m_newest_seen_at;
  bool m_newest_publish_time_known = false;
  Duration m_interval;
  Duration m_run_time;
};

}  // namespace quetzalridge
