#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace quetzalridge {

// Runs a bounded number of asynchronous operations at a time; further ones wait in the order of their requests. It
// bounds the memory of large reads that callers trigger.
class ConcurrencyLimiter {
 public:
  // Must call `done` once, when its result has arrived.
  using Operation = std::function<void(std::function<void()> done)>;

  ConcurrencyLimiter(size_t max_running, size_t max_waiting) : m_max_running(max_running), m_max_waiting(max_waiting) {}
  ConcurrencyLimiter(const ConcurrencyLimiter&) = delete;
  ConcurrencyLimiter& operator=(const ConcurrencyLimiter&) = delete;

  // Returns false, without running the operation, if too many wait.
  bool Run(Operation operation) {
    if (m_running < m_max_running) {
      Start(operation);
      return true;
    }
    if (m_waiting.size() >= m_max_waiting) {
      return false;
    }
    m_waiting.push_back(std::move(operation));
    return true;
  }

 private:
  void Start(const Operation& operation) {
    ++m_running;
    operation([this, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        OnDone();
      }
    });
  }
  void OnDone() {
    --m_running;
    if (!m_waiting.empty()) {
      const Operation next = std::move(m_waiting.front());
      m_waiting.pop_front();
      Start(next);
    }
  }

  size_t m_max_running;
  size_t m_max_waiting;
  size_t m_running = 0;
  std::deque<Operation> m_waiting;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
