#include "coordination/evacuation_tracker.h"

#include <catch2/catch.hpp>

#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

// Guards against a zone that stays evacuated, or comes back, against the rows, and against figures that show an
// operator a drained zone while requests run there.
TEST_CASE("zones are evacuated as long as their rows exist, and the requests left there are counted") {
  ManualScheduler scheduler;
  EndpointDirectory directory(&scheduler.clock());
  int changes = 0;
  EvacuationTracker tracker(&scheduler, &directory, [&changes] { ++changes; });
  EndpointEntry one;
  one.id = "one";
  one.service = "s";
  one.zone = "a";
  EndpointEntry two = one;
  two.id = "two";
  two.zone = "b";
  directory.Update({one, two}, false);
  directory.OnCallStarted("one");
  tracker.OnZones({"a"});
  tracker.OnZones({"a"});
  CHECK(changes == 1);
  CHECK(directory.Usable("s").size() == 1);
  CHECK(tracker.endpoints() == 1);
  CHECK(tracker.in_flight() == 1);
  scheduler.Advance(Duration::Seconds(2));
  directory.OnCallEnded("one");
  scheduler.Advance(Duration::Seconds(2));
  CHECK(tracker.in_flight() == 0);
  tracker.OnZones({"b"});
  REQUIRE(directory.Usable("s").size() == 1);
  CHECK(directory.Usable("s")[0]->entry.id == "one");
  tracker.OnZones({});
  CHECK(directory.Usable("s").size() == 2);
  CHECK(changes == 3);
}

}  // namespace
}  // namespace quetzalridge
