#include "state/outage_detector.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

TimePoint At(int64_t ms) {
  return TimePoint::FromMilliseconds(1'000'000 + ms);
}

TEST_CASE("a long time between two calls that are served is no outage") {
  OutageDetector detector;
  CHECK_FALSE(detector.OnServed(At(0), At(4)));
  CHECK_FALSE(detector.OnServed(At(30'000), At(30'004)));
}

TEST_CASE("calls that fail until one is served are an outage if they last long enough") {
  OutageDetector detector;
  detector.OnFailed(At(0), At(900));
  CHECK_FALSE(detector.OnServed(At(1'000), At(1'004)));
  detector.OnFailed(At(2'000), At(2'900));
  detector.OnFailed(At(3'000), At(3'900));
  CHECK(detector.OnServed(At(4'000), At(4'004)));
  CHECK_FALSE(detector.OnServed(At(5'000), At(5'004)));
}

TEST_CASE("a call that fails late does not count once a later one was served") {
  OutageDetector detector;
  CHECK_FALSE(detector.OnServed(At(400), At(404)));
  detector.OnFailed(At(0), At(900));
  CHECK_FALSE(detector.OnServed(At(2'000), At(2'004)));
}

TEST_CASE("an outage counts from the first call that fails, also if a later call fails before it") {
  OutageDetector detector;
  detector.OnFailed(At(800), At(804));
  detector.OnFailed(At(0), At(900));
  CHECK(detector.OnServed(At(1'600), At(1'604)));
}

TEST_CASE("a call that fails because the process was paused is no outage") {
  OutageDetector detector;
  detector.OnFailed(At(0), At(30'000));
  CHECK_FALSE(detector.OnServed(At(30'000), At(30'004)));
}

}  // namespace
}  // namespace quetzalridge
