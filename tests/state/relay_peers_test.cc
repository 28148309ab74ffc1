#include "state/relay_peers.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace quetzalridge {
namespace {

TEST_CASE("calls of an instance that needs help spread over all instances that can help") {
  ManualClock clock;
  RelayPeers peers(&clock, 1);
  std::map<std::string, int> chosen;
  constexpr int kCalls = 3000;
  for (int i = 0; i < kCalls; ++i) {
    ++chosen[peers.Choose({"a", "b", "c"}, {})];
  }
  for (const char* instance : {"a", "b", "c"}) {
    CHECK(chosen[instance] > kCalls / 4);
  }
}

TEST_CASE("an instance that is cut off itself is not asked again for each call") {
  ManualClock clock;
  RelayPeers peers(&clock, 1);
  peers.OnRefusal("a", RelayRefusal::kNoPath);
  CHECK(peers.Choose({"a"}, {}).empty());
  clock.Advance(Duration::Seconds(1));
  CHECK(peers.Choose({"a"}, {}) == "a");
}

TEST_CASE("an instance that does not know one endpoint is still asked about others") {
  ManualClock clock;
  RelayPeers peers(&clock, 1);
  peers.OnRefusal("a", RelayRefusal::kUnknownEndpoint);
  CHECK(peers.Choose({"a"}, {}) == "a");
}

TEST_CASE("an instance is not asked twice for one call") {
  ManualClock clock;
  RelayPeers peers(&clock, 1);
  CHECK(peers.Choose({"a", "b"}, {"a"}) == "b");
  CHECK(peers.Choose({"a", "b"}, {"a", "b"}).empty());
}

TEST_CASE("what an instance passes on is bounded, and a quarter of the instances can carry all calls") {
  // 8 instances before 96 slots; 2 of them are left.
  CHECK(MaxRelayedCalls(96, 8) == 48);
  CHECK(MaxRelayedCalls(0, 9) > 0);
  CHECK(MaxRelayedCalls(108, 0) > 0);
}

TEST_CASE("each refusal is known by its name, and an unknown name is no other refusal") {
  for (const RelayRefusal refusal : {RelayRefusal::kNoPath, RelayRefusal::kBusy, RelayRefusal::kUnknownEndpoint,
                                     RelayRefusal::kStopping, RelayRefusal::kNotAsked}) {
    CHECK(RelayRefusalFromName(RelayRefusalName(refusal)) == refusal);
  }
  CHECK(RelayRefusalFromName("other") == RelayRefusal::kNotAsked);
}

}  // namespace
}  // namespace quetzalridge
