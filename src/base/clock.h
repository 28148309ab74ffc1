#pragma once

#include <cstdint>

namespace quetzalridge {

// A span of time in whole milliseconds.
class Duration {
 public:
  constexpr Duration() = default;
  static constexpr Duration Milliseconds(int64_t ms) { return Duration(ms); }
  static constexpr Duration Seconds(int64_t s) { return Duration(s * 1000); }

  constexpr int64_t ms() const { return m_ms; }

  friend constexpr Duration operator+(Duration a, Duration b) { return Duration(a.m_ms + b.m_ms); }
  friend constexpr Duration operator-(Duration a, Duration b) { return Duration(a.m_ms - b.m_ms); }
  friend constexpr Duration operator*(Duration a, int64_t factor) { return Duration(a.m_ms * factor); }
  friend constexpr bool operator==(Duration a, Duration b) { return a.m_ms == b.m_ms; }
  friend constexpr bool operator!=(Duration a, Duration b) { return a.m_ms != b.m_ms; }
  friend constexpr bool operator<(Duration a, Duration b) { return a.m_ms < b.m_ms; }
  friend constexpr bool operator<=(Duration a, Duration b) { return a.m_ms <= b.m_ms; }
  friend constexpr bool operator>(Duration a, Duration b) { return a.m_ms > b.m_ms; }
  friend constexpr bool operator>=(Duration a, Duration b) { return a.m_ms >= b.m_ms; }

 private:
  explicit constexpr Duration(int64_t ms) : m_ms(ms) {}
  int64_t m_ms = 0;
};

// A time on the clock of one process, in milliseconds. Times of different processes must not be compared.
class TimePoint {
 public:
  constexpr TimePoint() = default;
  static constexpr TimePoint FromMilliseconds(int64_t ms) { return TimePoint(ms); }

  constexpr int64_t ms() const { return m_ms; }

  friend constexpr TimePoint operator+(TimePoint t, Duration d) { return TimePoint(t.m_ms + d.ms()); }
  friend constexpr TimePoint operator-(TimePoint t, Duration d) { return TimePoint(t.m_ms - d.ms()); }
  friend constexpr Duration operator-(TimePoint a, TimePoint b) { return Duration::Milliseconds(a.m_ms - b.m_ms); }
  friend constexpr bool operator==(TimePoint a, TimePoint b) { return a.m_ms == b.m_ms; }
  friend constexpr bool operator!=(TimePoint a, TimePoint b) { return a.m_ms != b.m_ms; }
  friend constexpr bool operator<(TimePoint a, TimePoint b) { return a.m_ms < b.m_ms; }
  friend constexpr bool operator<=(TimePoint a, TimePoint b) { return a.m_ms <= b.m_ms; }
  friend constexpr bool operator>(TimePoint a, TimePoint b) { return a.m_ms > b.m_ms; }
  friend constexpr bool operator>=(TimePoint a, TimePoint b) { return a.m_ms >= b.m_ms; }

 private:
  explicit constexpr TimePoint(int64_t ms) : m_ms(ms) {}
  int64_t m_ms = 0;
};

// Source of the current time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

// A clock that keeps counting while the process or the machine is suspended.
class BootClock : public Clock {
 public:
  TimePoint Now() const override;
};

// A clock that changes only by Advance and Set, for tests and experiments.
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return m_now; }
  void Advance(Duration d) { m_now = m_now + d; }
  void Set(TimePoint t) { m_now = t; }

 private:
  TimePoint m_now = TimePoint::FromMilliseconds(1'000'000);
};

// Returns the milliseconds since the Unix epoch. Only for the numbers of usage windows and for times that are stored.
int64_t WallClockMilliseconds();

}  // namespace quetzalridge
