#include "tools/experiment/event_queue.h"

#include <utility>

namespace quetzalridge {

void EventQueue::After(double delay_ms, std::function<void()> action) {
  m_events.push({m_now_ms + delay_ms, ++m_sequence, std::move(action)});
}

void EventQueue::RunUntil(double end_ms) {
  while (!m_events.empty() && m_events.top().at_ms <= end_ms) {
    const Event event = m_events.top();
    m_events.pop();
    m_now_ms = event.at_ms;
    event.action();
  }
  m_now_ms = end_ms;
}

}  // namespace quetzalridge
