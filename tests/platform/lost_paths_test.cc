#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "tests/platform/node_cluster.h"

namespace quetzalridge::platform {
namespace {

using Mode = history::TcpRelay::Mode;

TEST_CASE("callers of an instance whose connections to all endpoints are refused are served") {
  Cluster cluster;
  REQUIRE(cluster.Serve(0, 5) == 5);
  cluster.SetPaths(0, Mode::kCut);
  CHECK(cluster.Serve(0, 20) == 20);
  CHECK(cluster.log().violations() == 0);
}

TEST_CASE("callers of an instance whose connections to all endpoints hang are served") {
  Cluster cluster;
  REQUIRE(cluster.Serve(0, 5) == 5);
  cluster.SetPaths(0, Mode::kSilent);
  CHECK(cluster.Serve(0, 20) == 20);
  CHECK(cluster.log().violations() == 0);
}

TEST_CASE("a new version is loaded while the holder of its duty reaches no engine") {
  Cluster cluster;
  cluster.NameVersion(2);
  cluster.RunFor(Duration::Seconds(2));
  const std::string holder = cluster.engine(0).last_holder();
  REQUIRE(!holder.empty());
  cluster.SetPaths(static_cast<size_t>(holder.back() - '0'), Mode::kCut);
  cluster.NameVersion(3);
  cluster.NameVersion(4);
  cluster.RunFor(Duration::Seconds(6));
  CHECK(cluster.engine(0).last_holder() != holder);
  CHECK(std::max(cluster.engine(0).version(), cluster.engine(1).version()) == 4);
  CHECK(cluster.log().violations() == 0);
}

}  // namespace
}  // namespace quetzalridge::platform
