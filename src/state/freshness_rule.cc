#include "state/freshness_rule.h"

namespace quetzalridge {

void VersionForecast::Observe(int64_t version, TimePoint now) {
  if (m_newest.has_value() && version <= *m_newest) {
    return;
  }
  // The first version that is observed was published at an unknown earlier time, so the interval from it to the next
  // version is not measured.
  if (m_newest_publish_time_known) {
    const Duration interval = Duration::Milliseconds((now - m_newest_seen_at).ms() / (version - *m_newest));
    const bool first = m_interval == Duration();
    m_interval =
        first ? interval
              : Duration::Milliseconds((m_interval.ms() * (kAverageDivisor - 1) + interval.ms()) / kAverageDivisor);
  }
  m_newest_publish_time_known = m_newest.has_value();
  m_newest = version;
  m_newest_seen_at = now;
}

void VersionForecast::ObserveRunTime(Duration run_time) {
  m_run_time =
      m_run_time == Duration()
          ? run_time
          : Duration::Milliseconds((m_run_time.ms() * (kAverageDivisor - 1) + run_time.ms()) / kAverageDivisor);
}

int64_t VersionForecast::ExpectedAt(TimePoint time) const {
  const int64_t newest = m_newest.value_or(0);
  if (m_interval <= Duration() || time <= m_newest_seen_at) {
    return newest;
  }
  return newest + (time - m_newest_seen_at).ms() / m_interval.ms();
}

}  // namespace quetzalridge
