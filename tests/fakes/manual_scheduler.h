#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "coordination/scheduler.h"

namespace quetzalridge {

// A scheduler with a manual clock. Advance moves the clock and runs the functions that become due, in order of time.
class ManualScheduler : public Scheduler {
 public:
  const Clock& clock() const override { return m_clock; }
  TimePoint Now() const { return m_clock.Now(); }

  std::unique_ptr<Timer> After(Duration delay, std::function<void()> function) override {
    return std::make_unique<ManualTimer>(this, Insert(delay, std::move(function)));
  }
  // Like After, but the function cannot be cancelled.
  void Post(Duration delay, std::function<void()> function) { Insert(delay, std::move(function)); }

  void Advance(Duration duration) {
    const TimePoint end = m_clock.Now() + duration;
    while (!m_timers->empty() && m_timers->begin()->first.first <= end.ms()) {
      const auto it = m_timers->begin();
      if (it->first.first > m_clock.Now().ms()) {
        m_clock.Set(TimePoint::FromMilliseconds(it->first.first));
      }
      const std::function<void()> function = std::move(it->second);
      m_timers->erase(it);
      function();
    }
    m_clock.Set(end);
  }

 private:
  using TimerKey = std::pair<int64_t, uint64_t>;
  using Timers = std::map<TimerKey, std::function<void()>>;

  class ManualTimer : public Timer {
   public:
    ManualTimer(ManualScheduler* scheduler, TimerKey key) : m_timers(scheduler->m_timers), m_key(key) {}
    ~ManualTimer() override { m_timers->erase(m_key); }

   private:
    // Shared, so that a timer may be destroyed after its scheduler.
    std::shared_ptr<Timers> m_timers;
    TimerKey m_key;
  };

  TimerKey Insert(Duration delay, std::function<void()> function) {
    const TimerKey key{(m_clock.Now() + delay).ms(), m_next_timer++};
    (*m_timers)[key] = std::move(function);
    return key;
  }

  ManualClock m_clock;
  std::shared_ptr<Timers> m_timers = std::make_shared<Timers>();
  uint64_t m_next_timer = 0;
};

// The scheduler of one simulated process, which can be paused. Functions that become due during a pause run at Resume,
// as in a process that receives SIGSTOP and then SIGCONT.
class PausableScheduler : public Scheduler {
 public:
  explicit PausableScheduler(ManualScheduler* scheduler) : m_scheduler(scheduler), m_state(std::make_shared<State>()) {}

  const Clock& clock() const override { return m_scheduler->clock(); }

  std::unique_ptr<Timer> After(Duration delay, std::function<void()> function) override {
    auto entry = std::make_shared<Entry>();
    entry->function = std::move(function);
    PostEntry(delay, entry);
    return std::make_unique<PausableTimer>(entry);
  }
  void Post(Duration delay, std::function<void()> function) {
    auto entry = std::make_shared<Entry>();
    entry->function = std::move(function);
    PostEntry(delay, entry);
  }

  bool paused() const { return m_state->paused; }
  void Pause() { m_state->paused = true; }
  void Resume() {
    m_state->paused = false;
    std::vector<std::shared_ptr<Entry>> backlog;
    backlog.swap(m_state->backlog);
    for (const std::shared_ptr<Entry>& entry : backlog) {
      Run(entry);
    }
  }

 private:
  struct Entry {
    std::function<void()> function;
  };
  struct State {
    bool paused = false;
    std::vector<std::shared_ptr<Entry>> backlog;
  };
  class PausableTimer : public Timer {
   public:
    explicit PausableTimer(std::shared_ptr<Entry> entry) : m_entry(std::move(entry)) {}
    ~PausableTimer() override { m_entry->function = nullptr; }

   private:
    std::shared_ptr<Entry> m_entry;
  };

  static void Run(const std::shared_ptr<Entry>& entry) {
    const std::function<void()> function = std::move(entry->function);
    entry->function = nullptr;
    if (function) {
      function();
    }
  }

  void PostEntry(Duration delay, const std::shared_ptr<Entry>& entry) {
    m_scheduler->Post(delay, [state = std::weak_ptr<State>(m_state), entry] {
      const std::shared_ptr<State> locked = state.lock();
      if (locked == nullptr) {
        return;
      }
      if (locked->paused) {
        locked->backlog.push_back(entry);
      } else {
        Run(entry);
      }
    });
  }

  ManualScheduler* m_scheduler;
  std::shared_ptr<State> m_state;
};

}  // namespace quetzalridge
