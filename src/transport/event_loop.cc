#include "transport/event_loop.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <utility>
#include <vector>

#include "transport/detail_h2o.h"

namespace quetzalridge {

namespace {

// A bound on one wait, so that a change of m_stopped by a signal handler is noticed.
constexpr int64_t kMaxWaitMs = 500;

}  // namespace

class EventLoop::LoopTimer : public Timer {
 public:
  LoopTimer(EventLoop* loop, TimerKey key) : m_loop(loop), m_alive(loop->m_alive), m_key(key) {}
  ~LoopTimer() override {
    if (*m_alive) {
      m_loop->m_timers.erase(m_key);
    }
  }

 private:
  EventLoop* m_loop;
  std::shared_ptr<bool> m_alive;
  TimerKey m_key;
};

// Runs the due timers as a callback of h2o. After each of its callbacks, h2o reports the writes that were made in it.
// A timer that runs outside leaves such reports until after the next poll, and before that h2o frees the sockets that
// were closed: a timer that closed a socket which another timer had just written to made h2o use a freed socket.
struct EventLoop::TimerTurn {
  h2o_timeout_entry_t entry{};
  h2o_timeout_t timeout{};
  EventLoop* loop = nullptr;
  // What a timer threw; it must not pass through the C frames of h2o.
  std::exception_ptr failure;

  explicit TimerTurn(EventLoop* owner) : loop(owner) {
    h2o_timeout_init(loop->m_loop, &timeout, 0);
    entry.cb = &OnTurn;
  }

  void Link() {
    h2o_timeout_link(loop->m_loop, &timeout, &entry);
    // h2o counts from the wall clock. The smallest time keeps the entry due when that clock is set back.
    entry.registered_at = 1;
  }

  static void OnTurn(h2o_timeout_entry_t* entry) {
    auto* self = reinterpret_cast<TimerTurn*>(entry);
    try {
      self->loop->RunDueTimers();
    } catch (...) {
      self->failure = std::current_exception();
    }
  }
};

EventLoop::EventLoop()
    : m_loop(h2o_evloop_create()), m_alive(std::make_shared<bool>(true)), m_timer_turn(new TimerTurn(this)) {
  // A write to a connection that is closed must fail with an error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

// The h2o loop is not destroyed: its sockets and timeouts are owned by objects whose order of destruction is open, and
// the process ends with the loop.
EventLoop::~EventLoop() {
  *m_alive = false;
}

std::unique_ptr<Timer> EventLoop::After(Duration delay, std::function<void()> function) {
  const TimerKey key(m_clock.Now().ms() + std::max<int64_t>(delay.ms(), 0), ++m_next_timer);
  m_timers.emplace(key, std::move(function));
  return std::make_unique<LoopTimer>(this, key);
}

void EventLoop::Post(std::function<void()> function) {
  m_timers.emplace(TimerKey(m_clock.Now().ms(), ++m_next_timer), std::move(function));
}

void EventLoop::Run() {
  m_stopped = false;
  while (!m_stopped) {
    RunOnce(Duration::Milliseconds(kMaxWaitMs));
  }
}

void EventLoop::RunOnce(Duration max_wait) {
  int64_t wait_ms = max_wait.ms();
  if (!m_timers.empty()) {
    wait_ms = std::min(wait_ms, std::max<int64_t>(m_timers.begin()->first.first - m_clock.Now().ms(), 0));
  }
  h2o_evloop_run(m_loop, static_cast<int32_t>(wait_ms));
  if (m_timers.empty() || m_timers.begin()->first.first > m_clock.Now().ms()) {
    return;
  }
  // A poll that a signal interrupts runs no callback; the turn is still linked then.
  if (!h2o_timeout_is_linked(&m_timer_turn->entry)) {
    m_timer_turn->Link();
  }
  h2o_evloop_run(m_loop, 0);
  if (m_timer_turn->failure) {
    std::rethrow_exception(std::exchange(m_timer_turn->failure, nullptr));
  }
}

// Timers that are added while due timers run wait for the next turn, so that a function which posts itself again does
// not keep the loop from its sockets.
void EventLoop::RunDueTimers() {
  const int64_t now_ms = m_clock.Now().ms();
  const uint64_t last_timer = m_next_timer;
  auto it = m_timers.begin();
  while (it != m_timers.end() && it->first.first <= now_ms) {
    if (it->first.second > last_timer) {
      ++it;
      continue;
    }
    std::function<void()> function = std::move(it->second);
    m_timers.erase(it);
    function();
    it = m_timers.begin();
  }
}

}  // namespace quetzalridge
