#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "tests/platform/node_cluster.h"

namespace quetzalridge::platform {
namespace {

// Within this time after the store has acknowledged the row, the last request reaches an endpoint of the zone.
constexpr Duration kEvacuateTime = Duration::Seconds(5);

int RunsOfAll(const Cluster& cluster, Cluster* endpoints) {
  int runs = 0;
  for (int i = 0; i < kEndpoints; ++i) {
    runs += cluster.RunsAt(endpoints->endpoint(i).id());
  }
  return runs;
}

// Guards against a row that is not followed, or whose removal is not noticed.
TEST_CASE("a zone gets no request while its row exists, and requests again afterwards") {
  Cluster cluster;
  REQUIRE(cluster.Serve(0, 10) == 10);
  cluster.SetEvacuated("b", true);
  cluster.RunFor(kEvacuateTime);
  REQUIRE(cluster.Serve(0, 10) == 10);
  // A request that runs when the zone is evacuated finishes.
  for (int i = 0; i < kEndpoints; ++i) {
    cluster.endpoint(i).SetPlainWork(Duration::Milliseconds(1'000));
  }
  std::optional<int> running;
  cluster.Send(0, [&running](int status, bool) { running = status; });
  cluster.RunFor(Duration::Milliseconds(100));
  cluster.SetEvacuated("a", true);
  cluster.RunFor(kEvacuateTime);
  CHECK(running == kStatusOk);
  const int runs = RunsOfAll(cluster, &cluster);
  int refused = 0;
  for (size_t i = 0; i < 3; ++i) {
    cluster.Send(i, [&refused](int status, bool) { refused += status == kStatusUnavailable ? 1 : 0; });
  }
  cluster.RunFor(Duration::Milliseconds(500));
  CHECK(refused == 3);
  CHECK(RunsOfAll(cluster, &cluster) == runs);
  // The last known state remains in effect while the row cannot be read.
  cluster.SetStoreAway(true);
  cluster.RunFor(Duration::Seconds(3));
  cluster.Send(1, [&refused](int status, bool) { refused += status == kStatusUnavailable ? 1 : 0; });
  cluster.RunFor(Duration::Milliseconds(500));
  CHECK(refused == 4);
  cluster.SetStoreAway(false);
  for (int i = 0; i < kEndpoints; ++i) {
    cluster.endpoint(i).SetPlainWork(Duration::Milliseconds(10));
  }
  cluster.SetEvacuated("a", false);
  cluster.RunFor(kEvacuateTime);
  CHECK(cluster.Serve(0, 10) == 10);
}

}  // namespace
}  // namespace quetzalridge::platform
