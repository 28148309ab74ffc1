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

// Guards against live endpoints that get no work because the registry has lost their entries in an outage.
TEST_CASE("missing entries are kept in the grace period after an outage of the registry, and removed later") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  directory.Update({MakeEntry("one"), MakeEntry("two")}, false);
  directory.Update({MakeEntry("one")}, true);
  CHECK(directory.Usable("s").size() == 2);
  directory.Update({MakeEntry("one")}, false);
  CHECK(directory.Usable("s").size() == 1);
}

// Guards against new requests on an endpoint that is about to stop.
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

// Guards against an endpoint that is called repeatedly while it is unreachable, or is never called again.
TEST_CASE("an endpoint that does not respond is avoided for longer each time, until it responds") {
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

// Guards against failures and model versions of a previous run that are kept after a restart of the endpoint.
TEST_CASE("a restart under the same id discards what was known about the endpoint") {
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

// Guards against a return to an older model version because the registry lags behind the responses of the endpoint.
TEST_CASE("an older registry entry does not replace a model version that a response has reported") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  EndpointEntry entry = MakeEntry("one");
  entry.model_versions["m"] = 1;
  directory.Update({entry}, false);
  directory.OnModelVersion("one", "m", 3);
  directory.Update({entry}, false);
  CHECK(directory.Find("one")->entry.model_versions.at("m") == 3);
}

// Guards against a speed that does not follow changes, and against a slow endpoint that is never measured again because
// its old speed keeps it from getting work.
TEST_CASE("the speed of an endpoint follows its events and expires") {
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

TEST_CASE("a registry entry that still says ready does not bring an endpoint back that has said that it leaves") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  directory.Update({MakeEntry("one"), MakeEntry("two")}, false);
  CHECK(directory.OnLeaving("one", 0));
  CHECK_FALSE(directory.OnLeaving("one", 0));
  CHECK(directory.Usable("s").size() == 1);
  directory.Update({MakeEntry("one"), MakeEntry("two")}, false);
  CHECK(directory.Usable("s").size() == 1);
}

TEST_CASE("an endpoint that leaves stays out of use when its entry disappears and comes back") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  directory.Update({MakeEntry("one")}, false);
  directory.OnLeaving("one", 0);
  directory.Update({}, false);
  REQUIRE(directory.Find("one") == nullptr);
  clock.Advance(Duration::Seconds(30));
  directory.Update({MakeEntry("one")}, false);
  CHECK(directory.Usable("s").empty());
}

TEST_CASE("an endpoint that starts anew under its id is used again, also if its address is the same") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  EndpointEntry entry = MakeEntry("one");
  entry.started_at_ms = 1;
  directory.Update({entry}, false);
  directory.OnLeaving("one", 1);
  entry.started_at_ms = 2;
  directory.Update({entry}, false);
  CHECK(directory.Usable("s").size() == 1);
  // A late response of the previous start.
  CHECK_FALSE(directory.OnLeaving("one", 1));
  CHECK(directory.Usable("s").size() == 1);
}

TEST_CASE("another endpoint that gets the address of one that left is used") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  directory.Update({MakeEntry("one")}, false);
  directory.OnLeaving("one", 0);
  directory.Update({MakeEntry("two")}, false);
  CHECK(directory.Usable("s").size() == 1);
}

TEST_CASE("an endpoint that leaves does not count as one that can continue a stream") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  EndpointEntry entry = MakeEntry("one");
  entry.software_version = "v1";
  directory.Update({entry}, false);
  REQUIRE(directory.HasSoftwareVersion("s", "v1"));
  directory.OnLeaving("one", 0);
  CHECK_FALSE(directory.HasSoftwareVersion("s", "v1"));
}

// Guards against bursts on an endpoint that has just started, or has become cold again.
TEST_CASE("an endpoint is limited while its entry or a response says that it is cold") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  directory.SetColdLimits({{"s", 2.0}});
  EndpointEntry entry = MakeEntry("one");
  entry.cold_remaining = Duration::Seconds(6);
  entry.read_at = clock.Now();
  directory.Update({entry, MakeEntry("warm")}, false);
  REQUIRE(directory.Find("one")->is_cold());
  CHECK(*directory.Find("one")->cold_limit == 2.0);
  CHECK_FALSE(directory.Find("warm")->is_limited());
  CHECK(directory.RefreshCold() == std::vector<std::string>{"one"});
  // The same entry, read again, does not begin a new period.
  clock.Advance(Duration::Seconds(7));
  directory.Update({entry, MakeEntry("warm")}, false);
  CHECK_FALSE(directory.Find("one")->is_cold());
  CHECK(directory.RefreshCold() == std::vector<std::string>{"one"});
  directory.OnColdReport("one", Duration::Seconds(3));
  CHECK(directory.Find("one")->is_cold());
  CHECK(directory.cold_count() == 1);
  // A restart under the same id.
  clock.Advance(Duration::Seconds(4));
  directory.RefreshCold();
  REQUIRE_FALSE(directory.Find("one")->is_cold());
  entry.started_at_ms = 9;
  entry.read_at = clock.Now();
  directory.Update({entry}, false);
  CHECK(directory.Find("one")->is_cold());
}

// Guards against limits for endpoints of services that the operator has not configured any for.
TEST_CASE("endpoints of a service without a cold limit are never cold") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  EndpointEntry entry = MakeEntry("one");
  entry.cold_remaining = Duration::Seconds(6);
  entry.read_at = clock.Now();
  directory.Update({entry}, false);
  CHECK_FALSE(directory.Find("one")->is_limited());
  CHECK(directory.RefreshCold().empty());
  // The configuration may arrive after the registry.
  directory.SetColdLimits({{"s", 2.0}});
  CHECK(directory.Find("one")->is_cold());
  directory.SetColdLimits({});
  CHECK_FALSE(directory.Find("one")->is_cold());
}

// Guards against work for a zone that the operator has evacuated, also on endpoints that start there later.
TEST_CASE("endpoints of an evacuated zone take no work until the evacuation ends") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  EndpointEntry other = MakeEntry("other");
  other.zone = "b";
  directory.Update({MakeEntry("one"), other}, false);
  directory.SetEvacuatedZones({"a"});
  directory.Update({MakeEntry("one"), MakeEntry("late"), other}, false);
  REQUIRE(directory.Usable("s").size() == 1);
  CHECK(directory.Usable("s")[0]->entry.id == "other");
  CHECK_FALSE(directory.Find("late")->may_probe());
  CHECK_FALSE(directory.IsEvacuated("s"));
  CHECK(directory.LoadOfZone("a").endpoints == 2);
  directory.SetEvacuatedZones({"a", "b"});
  CHECK(directory.Usable("s").empty());
  CHECK(directory.IsEvacuated("s"));
  CHECK_FALSE(directory.IsEvacuated("of other endpoints"));
  directory.SetEvacuatedZones({});
  CHECK(directory.Usable("s").size() == 3);
  // Without a limit for cold endpoints, nothing is assumed about them.
  CHECK(directory.cold_count() == 0);
}

// Guards against a burst on endpoints that have become cold while their zone was evacuated, before their entries say
// so.
TEST_CASE("endpoints of a zone that is in use again count as cold until their next entries") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  directory.SetColdLimits({{"s", 2.0}});
  EndpointEntry other = MakeEntry("other");
  other.zone = "b";
  directory.Update({MakeEntry("one"), MakeEntry("two"), other}, false);
  directory.SetEvacuatedZones({"a"});
  clock.Advance(Duration::Seconds(60));
  directory.SetEvacuatedZones({});
  CHECK(directory.Find("one")->is_cold());
  CHECK_FALSE(directory.Find("other")->is_cold());
  EndpointEntry cold = MakeEntry("one");
  cold.cold_remaining = Duration::Seconds(6);
  clock.Advance(Duration::Seconds(1));
  cold.read_at = clock.Now();
  directory.Update({cold, MakeEntry("two"), other}, false);
  clock.Advance(Duration::Seconds(2));
  directory.RefreshCold();
  CHECK(directory.Find("one")->is_cold());
  CHECK_FALSE(directory.Find("two")->is_cold());
}

TEST_CASE("only endpoints in allowed regions are usable for a request with home regions") {
  ManualClock clock;
  EndpointDirectory directory(&clock);
  EndpointEntry home = MakeEntry("home");
  home.region = "east";
  EndpointEntry away = MakeEntry("away");
  away.region = "west";
  directory.Update({home, away, MakeEntry("unknown")}, false);
  CHECK(directory.Usable("s").size() == 3);
  const auto usable = directory.Usable("s", HomeRegions({"east", "north"}));
  REQUIRE(usable.size() == 1);
  CHECK(usable[0]->entry.id == "home");
}

}  // namespace
}  // namespace quetzalridge
