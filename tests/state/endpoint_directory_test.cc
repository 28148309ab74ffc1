#include "state/endpoint_directory.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

EndpointEntry MakeEntry(const std::string& id) {
  EndpointEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.address = "10.0.0.1:80";
  entry.zone = "a";
  entry.slots = 2;
  return entry;
}

// Guards against live endpoints that get no work because the registry lost their entries in an outage of its own.
TEST_CASE("entries that are missing just after an outage are kept, and dropped later") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  directory.Update({MakeEntry("one"), MakeEntry("two")}, false);
  directory.Update({MakeEntry("one")}, true);
  CHECK(directory.Usable("s").size() == 2);
  directory.Update({MakeEntry("one")}, false);
  CHECK(directory.Usable("s").size() == 1);
}

// Guards against new work for an endpoint that leaves.
TEST_CASE("a draining endpoint is not used") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  EndpointEntry entry = MakeEntry("one");
  directory.Update({entry}, false);
  entry.phase = EndpointPhase::kDraining;
  const auto changes = directory.Update({entry}, false);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].what == "draining");
  CHECK(directory.Usable("s").empty());
}

// Guards against an endpoint that is asked again and again while it is dark, or never again.
TEST_CASE("an endpoint that gives no answer is avoided for longer each time, and is back after an answer") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  directory.Update({MakeEntry("one")}, false);
  Duration last;
  for (int failure = 0; failure < 3; ++failure) {
    const Duration avoidance = directory.OnNoResponse("one");
    CHECK(avoidance > last);
    CHECK(directory.Usable("s").empty());
    clock.Advance(avoidance);
    CHECK(directory.Usable("s").size() == 1);
    last = avoidance;
  }
  directory.OnResponse("one");
  CHECK(directory.OnNoResponse("one") < last);
}

// Guards against counters of an earlier start that are taken for those of the new one.
TEST_CASE("a restart under the same id forgets what was known") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  EndpointEntry entry = MakeEntry("one");
  entry.started_at_ms = 1;
  entry.model_versions["m"] = 7;
  directory.Update({entry}, false);
  directory.OnNoResponse("one");
  entry.started_at_ms = 2;
  entry.model_versions["m"] = 6;
  directory.Update({entry}, false);
  CHECK(directory.Usable("s").size() == 1);
  CHECK(directory.Find("one")->entry.model_versions.at("m") == 6);
}

TEST_CASE("the registry does not take back a version that an answer told") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  EndpointEntry entry = MakeEntry("one");
  entry.model_versions["m"] = 1;
  directory.Update({entry}, false);
  directory.OnModelVersion("one", "m", 3);
  directory.Update({entry}, false);
  CHECK(directory.Find("one")->entry.model_versions.at("m") == 3);
}

TEST_CASE("the speed of an endpoint follows its events and is forgotten") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  directory.Update({MakeEntry("one")}, false);
  for (int i = 0; i < 50; ++i) {
    directory.OnEventInterval("one", Duration::Milliseconds(40));
  }
  CHECK(directory.MsPerEvent(*directory.Find("one")) == Approx(40));
  for (int i = 0; i < 50; ++i) {
    directory.OnEventInterval("one", Duration::Milliseconds(130));
  }
  CHECK(directory.MsPerEvent(*directory.Find("one")) == Approx(130).epsilon(0.02));
  clock.Advance(Duration::Seconds(10));
  CHECK(directory.MsPerEvent(*directory.Find("one")) == 0.0);
}

}  // namespace
}  // namespace quetzalridge
