#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// Runs callbacks in order of simulated time.
class EventQueue {
 public:
  double now_ms() const { return m_now_ms; }
  // Simulated time as the decisions see it; it starts late enough that no endpoint counts as new.
  TimePoint Now() const { return TimePoint::FromMilliseconds(kEpochMs + static_cast<int64_t>(m_now_ms)); }

  void After(double delay_ms, std::function<void()> action);
  void RunUntil(double end_ms);

 private:
  static constexpr int64_t kEpochMs = 1'000'000;

  struct Event {
    double at_ms = 0;
    // Events of the same time run in the order in which they were added.
    uint64_t sequence = 0;
    std::function<void()> action;

    friend bool operator<(const Event& a, const Event& b) {
      return a.at_ms != b.at_ms ? a.at_ms > b.at_ms : a.sequence > b.sequence;
    }
  };

  double m_now_ms = 0;
  uint64_t m_sequence = 0;
  std::priority_queue<Event> m_events;
};

}  // namespace quetzalridge
