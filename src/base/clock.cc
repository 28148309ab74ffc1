#include "base/clock.h"

#include <ctime>

namespace quetzalridge {

namespace {

int64_t ReadClockMilliseconds(clockid_t id) {
  timespec ts{};
  clock_gettime(id, &ts);
  return static_cast<int64_t>(ts.tv_sec) * 1000 + ts.tv_nsec / 1'000'000;
}

}  // namespace

// CLOCK_BOOTTIME keeps counting while the process is stopped (SIGSTOP) and while the machine is suspended, so that a
// process that was paused finds its leases expired when it resumes.
TimePoint BootClock::Now() const {
  return TimePoint::FromMilliseconds(ReadClockMilliseconds(CLOCK_BOOTTIME));
}

int64_t WallClockMilliseconds() {
  return ReadClockMilliseconds(CLOCK_REALTIME);
}

}  // namespace quetzalridge
