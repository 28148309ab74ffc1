#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "base/clock.h"
#include "coordination/scheduler.h"

struct st_h2o_evloop_t;

namespace quetzalridge {

// The process's single event loop: sockets by h2o, timers with arbitrary deadlines on the boot clock.
class EventLoop : public Scheduler {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  const Clock& clock() const override { return m_clock; }
  std::unique_ptr<Timer> After(Duration delay, std::function<void()> function) override;
  // Runs a function on the next turn of the loop.
  void Post(std::function<void()> function);

  // Runs until Stop is called.
  void Run();
  // One turn, waiting at most `max_wait` for an event.
  void RunOnce(Duration max_wait);
  void Stop() { m_stopped = true; }

  st_h2o_evloop_t* h2o_loop() { return m_loop; }

 private:
  class LoopTimer;
  struct TimerTurn;
  using TimerKey = std::pair<int64_t, uint64_t>;

  void RunDueTimers();

  BootClock m_clock;
  st_h2o_evloop_t* m_loop;
  std::map<TimerKey, std::function<void()>> m_timers;
  // Outlives the loop in timers that are destroyed after it.
  std::shared_ptr<bool> m_alive;
  uint64_t m_next_timer = 0;
  bool m_stopped = false;
  // Kept for the life of the process: the loop's list of timeouts refers to it.
  TimerTurn* m_timer_turn;
};

}  // namespace quetzalridge
