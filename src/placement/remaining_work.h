#pragma once

#include <list>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace quetzalridge {

// What this instance's own calls still have to generate on each endpoint. Each instance knows only its own calls.
class RemainingWork {
 public:
  // A call in flight, as long as this object exists.
  class Call {
   public:
    // `events` is the predicted number of events that are left, or 0 if it is unknown.
    Call(RemainingWork* work, const std::string& endpoint, double events, TimePoint now);
    ~Call();
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;
    // Records that the call has brought an event.
    void OnEvent(TimePoint now);

   private:
    friend class RemainingWork;
    std::list<const Call*>* m_calls;
    std::list<const Call*>::iterator m_position;
    double m_predicted;
    double m_left;
    TimePoint m_updated;
  };

  // Returns the remaining work of the endpoint, in milliseconds of one slot. `in_flight` is the number of all calls of
  // this instance to it, including those that have no Call. Calls of unknown length count the same each, so without
  // predictions the result is proportional to the number of calls.
  double RemainingMs(const std::string& endpoint, int in_flight, double ms_per_event, TimePoint now) const;

 private:
  static double EventsLeft(const Call& call, double unknown_events, double ms_per_event, TimePoint now);

  // The lists are never removed while a call refers to them.
  std::unordered_map<std::string, std::list<const Call*>> m_calls;
  // Moving mean of the predictions, which stands for calls of unknown length.
  double m_mean_events = 1.0;
};

}  // namespace quetzalridge
