#include <catch2/catch.hpp>
#include <string>

#include "tests/platform/node_cluster.h"

namespace quetzalridge::platform {
namespace {

// Lets the first endpoint leave, and has the instance pass on a response that says so.
void LearnThatFirstLeaves(Cluster* cluster) {
  const std::string id = cluster->endpoint(0).id();
  cluster->endpoint(0).Leave();
  const int runs = cluster->RunsAt(id);
  while (cluster->RunsAt(id) == runs) {
    REQUIRE(cluster->Serve(0, 1) == 1);
  }
}

TEST_CASE("an endpoint that says in a response that it leaves gets no further request, though listed as ready") {
  Cluster cluster;
  LearnThatFirstLeaves(&cluster);
  const int runs = cluster.RunsAt(cluster.endpoint(0).id());
  CHECK(cluster.Serve(0, 30) == 30);
  CHECK(cluster.RunsAt(cluster.endpoint(0).id()) == runs);
}

TEST_CASE("an endpoint that leaves while the store is away gets no further request") {
  Cluster cluster;
  cluster.SetStoreAway(true);
  LearnThatFirstLeaves(&cluster);
  const int runs = cluster.RunsAt(cluster.endpoint(0).id());
  CHECK(cluster.Serve(0, 30) == 30);
  CHECK(cluster.RunsAt(cluster.endpoint(0).id()) == runs);
}

TEST_CASE("requests that go through another instance do not reach an endpoint that leaves") {
  Cluster cluster;
  cluster.SetPaths(0, history::TcpRelay::Mode::kCut);
  REQUIRE(cluster.Serve(0, 3) == 3);
  LearnThatFirstLeaves(&cluster);
  const int runs = cluster.RunsAt(cluster.endpoint(0).id());
  CHECK(cluster.Serve(0, 30) == 30);
  CHECK(cluster.RunsAt(cluster.endpoint(0).id()) == runs);
}

TEST_CASE("when all endpoints of a service leave, requests are refused as not run") {
  Cluster cluster;
  for (int i = 0; i < kEndpoints; ++i) {
    cluster.endpoint(i).Leave();
  }
  CHECK(cluster.Serve(0, kEndpoints) == kEndpoints);
  int refused = 0;
  cluster.Send(0, [&refused](int status, bool) { refused += status == kStatusUnavailable ? 1 : 0; });
  cluster.RunFor(Duration::Milliseconds(100));
  CHECK(refused == 1);
}

}  // namespace
}  // namespace quetzalridge::platform
