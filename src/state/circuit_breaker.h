#pragma once

#include "base/clock.h"

namespace quetzalridge {

// Keeps work from an endpoint that fails, and tries it again with single calls.
class CircuitBreaker {
 public:
  // While true, calls may start. After an open period only one trial call may.
  bool Allows(TimePoint now) const;
  // A call started; true when it is the trial after an open period.
  bool OnStart(TimePoint now);
  // While the breaker is open, only the trial decides: other calls started before it opened.
  void OnSuccess(bool trial);
  void OnFailure(bool trial, TimePoint now);
  // The call ended without saying anything about the endpoint, for example by a caller that left.
  void OnInconclusive(bool trial);

  bool open() const { return m_open; }

 private:
  bool m_open = false;
  bool m_trial_running = false;
  int m_consecutive_failures = 0;
  Duration m_open_time;
  TimePoint m_opened_at;
};

}  // namespace quetzalridge
