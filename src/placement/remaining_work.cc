#include "placement/remaining_work.h"

#include <algorithm>
#include <iterator>

namespace quetzalridge {

namespace {

constexpr double kMeanWeight = 0.02;
// A call whose predicted end has passed is expected to need this fraction of its prediction, and at least one event.
constexpr double kMinRestFraction = 0.1;
// An expectation is trusted for the first time after the call's last event, and counts no longer after the second. A
// live stream brings several events a second; a silent one may be stuck.
constexpr double kFreshMs = 1000.0;
constexpr double kStaleMs = 3000.0;

}  // namespace

RemainingWork::Call::Call(RemainingWork* work, const std::string& endpoint, double events, TimePoint now)
    : m_calls(&work->m_calls[endpoint]),
      m_position(m_calls->insert(m_calls->end(), this)),
      m_predicted(events),
      m_left(events),
      m_updated(now) {
  if (events > 0.0) {
    work->m_mean_events += kMeanWeight * (events - work->m_mean_events);
  }
  for (auto it = work->m_calls.begin(); it != work->m_calls.end();) {
    it = it->second.empty() ? work->m_calls.erase(it) : std::next(it);
  }
}

RemainingWork::Call::~Call() {
  m_calls->erase(m_position);
}

void RemainingWork::Call::OnEvent(TimePoint now) {
  m_left = std::max(m_left - 1.0, 0.0);
  m_updated = now;
}

double RemainingWork::EventsLeft(const Call& call, double unknown_events, double ms_per_event, TimePoint now) {
  if (call.m_predicted <= 0.0) {
    return unknown_events;
  }
  const auto silent_ms = static_cast<double>((now - call.m_updated).ms());
  const double least = std::max(kMinRestFraction * call.m_predicted, 1.0);
  const double elapsed = ms_per_event > 0.0 ? silent_ms / ms_per_event : 0.0;
  const double expected = std::max(call.m_left - elapsed, least);
  const double doubt = std::clamp((silent_ms - kFreshMs) / (kStaleMs - kFreshMs), 0.0, 1.0);
  return expected + doubt * (unknown_events - expected);
}

double RemainingWork::RemainingMs(const std::string& endpoint, int in_flight, double ms_per_event,
                                  TimePoint now) const {
  double events = 0.0;
  int known = 0;
  const auto calls = m_calls.find(endpoint);
  if (calls != m_calls.end()) {
    known = static_cast<int>(calls->second.size());
    for (const Call* call : calls->second) {
      events += EventsLeft(*call, m_mean_events, ms_per_event, now);
    }
  }
  events += std::max(in_flight - known, 0) * m_mean_events;
  return events * (ms_per_event > 0.0 ? ms_per_event : 1.0);
}

}  // namespace quetzalridge
