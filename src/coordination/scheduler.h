#pragma once

#include <functional>
#include <memory>

#include "base/clock.h"

namespace quetzalridge {

// A pending timer; destroying it cancels it.
class Timer {
 public:
  virtual ~Timer() = default;
};

// Runs functions on the event loop after a delay. Tests use an implementation with a manual clock.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  virtual const Clock& clock() const = 0;
  virtual std::unique_ptr<Timer> After(Duration delay, std::function<void()> function) = 0;
};

}  // namespace quetzalridge
