#include "state/endpoint_choice.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

DirectoryEndpoint MakeEndpoint(const std::string& id, int in_flight) {
  DirectoryEndpoint endpoint;
  endpoint.entry.id = id;
  endpoint.entry.zone = "a";
  endpoint.entry.slots = 4;
  endpoint.entry.model_versions["m"] = 5;
  endpoint.in_flight = in_flight;
  return endpoint;
}

ItemPlacement MakePlacement() {
  ItemPlacement placement;
  placement.model = "m";
  placement.oldest_version = 4;
  return placement;
}

// Guards against requests that queue at one endpoint while others are free.
TEST_CASE("a single request goes to the least loaded endpoint, and among equal ones to the zone of the instance") {
  Random random(1);
  const DirectoryEndpoint busy = MakeEndpoint("busy", 3);
  DirectoryEndpoint far = MakeEndpoint("far", 1);
  far.entry.zone = "b";
  const DirectoryEndpoint near = MakeEndpoint("near", 1);
  CHECK(ChooseForRequest({&busy, &far, &near}, "a", {}, &random) == &near);
  CHECK(ChooseForRequest({&busy, &far, &near}, "a", {"near"}, &random) == &far);
  CHECK(ChooseForRequest({}, "a", {}, &random) == nullptr);
}

// Guards against items that queue at a full endpoint, and against items that are run with a model version that is older
// than the job accepts.
TEST_CASE("an item goes only to an endpoint with a free slot and a version that its job accepts") {
  const DirectoryEndpoint full = MakeEndpoint("full", 4);
  DirectoryEndpoint old = MakeEndpoint("old", 0);
  old.entry.model_versions["m"] = 3;
  const DirectoryEndpoint good = MakeEndpoint("good", 3);
  CHECK(ChooseForItem({{&full, 0}, {&old, 0}, {&good, 0}}, MakePlacement(), "a") == &good);
  CHECK(ChooseForItem({{&full, 0}, {&old, 0}}, MakePlacement(), "a") == nullptr);
}

// Guards against many items at once on an endpoint that has set a rate limit or stopped since its last response.
TEST_CASE("an endpoint that has not responded lately gets one item until it responds") {
  const DirectoryEndpoint idle = MakeEndpoint("idle", 0);
  const DirectoryEndpoint started = MakeEndpoint("started", 1);
  CHECK(ChooseForItem({{&idle, 0, false}}, MakePlacement(), "a") == &idle);
  CHECK(ChooseForItem({{&started, 0, false}}, MakePlacement(), "a") == nullptr);
  CHECK(ChooseForItem({{&started, 0, true}}, MakePlacement(), "a") == &started);
}

// Guards against long items on slow endpoints while fast ones have free slots.
TEST_CASE("an item prefers fast endpoints, then the one that has its prompt in the cache") {
  const DirectoryEndpoint slow = MakeEndpoint("slow", 0);
  const DirectoryEndpoint fast = MakeEndpoint("fast", 2);
  const DirectoryEndpoint warm = MakeEndpoint("warm", 3);
  ItemPlacement placement = MakePlacement();
  CHECK(ChooseForItem({{&slow, 130}, {&fast, 37}, {&warm, 38}}, placement, "a") == &fast);
  placement.preferred_endpoint = "warm";
  CHECK(ChooseForItem({{&slow, 130}, {&fast, 37}, {&warm, 38}}, placement, "a") == &warm);
  // An endpoint with unknown speed counts as fast, so that it gets work and its speed is measured.
  const DirectoryEndpoint unknown = MakeEndpoint("unknown", 1);
  CHECK(ChooseForItem({{&slow, 130}, {&fast, 37}, {&unknown, 0}}, MakePlacement(), "a") == &unknown);
}

// Guards against moves that cost more time than they save, and against items that stay on a slow endpoint.
TEST_CASE("a running item moves when the rest of it is expected to run much faster elsewhere") {
  const DirectoryEndpoint slow = MakeEndpoint("slow", 1);
  const DirectoryEndpoint fast = MakeEndpoint("fast", 1);
  const ItemCandidate current{&slow, 130};
  const std::vector<ItemCandidate> candidates = {{&slow, 130}, {&fast, 37}};
  CHECK(ChooseForMove(candidates, MakePlacement(), current, 10) == &fast);
  CHECK(ChooseForMove(candidates, MakePlacement(), current, 1) == nullptr);
  CHECK(ChooseForMove(candidates, MakePlacement(), {&fast, 37}, 100) == nullptr);
  CHECK(ChooseForMove({{&slow, 40}, {&fast, 37}}, MakePlacement(), {&slow, 40}, 1000) == nullptr);
  const DirectoryEndpoint full = MakeEndpoint("full", 4);
  CHECK(ChooseForMove({{&slow, 130}, {&full, 37}}, MakePlacement(), current, 100) == nullptr);
}

// Guards against callers that wait for a slow endpoint while others are warm.
TEST_CASE("a single request goes to a cold endpoint only if no other one is left") {
  Random random(1);
  const DirectoryEndpoint busy = MakeEndpoint("busy", 3);
  DirectoryEndpoint cold = MakeEndpoint("cold", 0);
  cold.cold_limit = 2.0;
  CHECK(ChooseForRequest({&cold, &busy}, "a", {}, &random) == &busy);
  CHECK(ChooseForRequest({&cold, &busy}, "a", {"busy"}, &random) == &cold);
  CHECK(ChooseForRequest({&cold}, "a", {}, &random) == &cold);
}

// Guards against moves that use up the few requests of a cold endpoint.
TEST_CASE("no item moves to a cold endpoint") {
  const DirectoryEndpoint slow = MakeEndpoint("slow", 1);
  DirectoryEndpoint cold = MakeEndpoint("cold", 0);
  REQUIRE(ChooseForMove({{&slow, 40.0}, {&cold, 10.0}}, MakePlacement(), {&slow, 40.0}, 100) == &cold);
  cold.cold_limit = 2.0;
  CHECK(ChooseForMove({{&slow, 40.0}, {&cold, 10.0}}, MakePlacement(), {&slow, 40.0}, 100) == nullptr);
}

}  // namespace
}  // namespace quetzalridge
