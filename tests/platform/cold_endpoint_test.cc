#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/platform/node_cluster.h"

namespace quetzalridge::platform {
namespace {

// What the users' platform allows in one second.
constexpr int kMostRuns = static_cast<int>(kColdPerS * 1.5) + 5;

int MostRunsInOneSecond(const std::vector<soak::ReplicaRun>& runs, const std::string& endpoint, TimePoint begin) {
  std::vector<TimePoint> times;
  for (const soak::ReplicaRun& run : runs) {
    if (run.replica == endpoint && run.at >= begin) {
      times.push_back(run.at);
    }
  }
  size_t most = 0;
  for (size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= Duration::Seconds(1)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

// Guards against permits that do not pass between instances, and against bursts of several instances. A slow machine
// only lowers the number of requests.
TEST_CASE("three instances send cold endpoints no more than they tolerate, and serve through them") {
  Cluster cluster;
  // The instances know each other for long enough to grant permits.
  cluster.RunFor(Duration::Seconds(4));
  for (int i = 0; i < kEndpoints; ++i) {
    cluster.endpoint(i).SetCold(Duration::Seconds(60));
  }
  cluster.RunFor(Duration::Seconds(1));
  const TimePoint begin = cluster.log().Now();
  std::vector<int> served(3, 0);
  for (int n = 0; n < 200; ++n) {
    for (size_t i = 0; i < 3; ++i) {
      cluster.Send(i, [&served, i](int status, bool whole) { served[i] += status == kStatusOk && whole ? 1 : 0; });
    }
    cluster.RunFor(Duration::Milliseconds(30));
  }
  cluster.RunFor(Duration::Seconds(2));
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string& id = cluster.endpoint(i).id();
    INFO(id);
    CHECK(cluster.RunsAt(id) > 0);
    CHECK(MostRunsInOneSecond(cluster.log().runs(), id, begin) <= kMostRuns);
  }
  for (const int count : served) {
    CHECK(count > 0);
  }
  // Once an entry says that the endpoints are warm, no permits are needed.
  for (int i = 0; i < kEndpoints; ++i) {
    cluster.endpoint(i).SetCold(Duration());
  }
  cluster.RunFor(Duration::Seconds(2));
  CHECK(cluster.Serve(0, 60) == 60);
}

}  // namespace
}  // namespace quetzalridge::platform
