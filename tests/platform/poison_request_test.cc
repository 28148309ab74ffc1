#include <catch2/catch.hpp>

#include "tests/platform/node_cluster.h"

namespace quetzalridge::platform {
namespace {

constexpr char kPoisonPath[] = "/lookup/poison";
constexpr int kStatusServerFailed = 502;

// Guards against a request that takes down all endpoints of its service each time that its client sends it (review
// case 4).
TEST_CASE("a request that crashes endpoints crashes three at most, at whichever instances it arrives") {
  Cluster cluster;
  REQUIRE(cluster.Serve(0, 5) == 5);
  cluster.MakePoison(kPoisonPath, Duration::Seconds(1));
  CHECK(cluster.SendTo(0, kPoisonPath) == kStatusServerFailed);
  cluster.RunFor(Duration::Milliseconds(2500));
  for (int send = 1; send <= 6; ++send) {
    CHECK(cluster.SendTo(static_cast<size_t>(send) % 3, kPoisonPath) == kStatusTooManyRequests);
  }
  CHECK(cluster.crashes <= 3);
  CHECK(cluster.Serve(1, 20) == 20);
}

// Guards against sound requests that are refused because the endpoints under them were lost, also if the same request
// comes again and again.
TEST_CASE("sound requests are served while endpoints are lost in turn and all at once") {
  Cluster cluster;
  const std::string path = "/lookup/sound";
  REQUIRE(cluster.SendTo(0, path) == kStatusOk);
  int refused = 0;
  for (size_t round = 0; round < 12; ++round) {
    const bool all = round % 4 == 3;
    for (size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      if (all || endpoint == round % kEndpoints) {
        cluster.endpoint(static_cast<int>(endpoint)).EndRuns();
        cluster.SetEndpoint(endpoint, history::TcpRelay::Mode::kCut);
      }
    }
    for (size_t i = 0; i < 3; ++i) {
      refused += cluster.SendTo(i, path) == kStatusTooManyRequests ? 1 : 0;
    }
    for (size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      cluster.SetEndpoint(endpoint, history::TcpRelay::Mode::kPass);
    }
    cluster.RunFor(Duration::Milliseconds(300));
  }
  CHECK(refused == 0);
  cluster.RunFor(Duration::Seconds(2));
  CHECK(cluster.SendTo(0, path) == kStatusOk);
  CHECK(cluster.SendTo(1, path) == kStatusOk);
}

}  // namespace
}  // namespace quetzalridge::platform
