#pragma once

#include "base/clock.h"

namespace quetzalridge {

// Stops calls to an endpoint after consecutive failures (open). After an open period, one trial call decides whether
// the breaker closes again or stays open for twice as long, up to a limit.
class CircuitBreaker {
 public:
  // Returns whether a call may start now. After an open period, only a single trial call may.
  bool Allows(TimePoint now) const;
  // Records the start of a call. Returns true if the call is the trial after an open period; the caller passes this
  // value on when the call ends.
  bool OnStart(TimePoint now);
  // Records the end of a call. While the breaker is open, only the result of the trial call counts, since all other
  // calls were started before the breaker opened.
  void OnSuccess(bool trial);
  void OnFailure(bool trial, TimePoint now);
  // Records the end of a call whose result says nothing about the endpoint, for example because the caller
  // disconnected.
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
