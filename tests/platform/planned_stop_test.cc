#include <catch2/catch.hpp>
#include <map>

#include "tests/platform/node_cluster.h"

namespace quetzalridge::platform {
namespace {

TEST_CASE("no request that arrives during a planned stop is cut off without an answer") {
  Cluster cluster;
  REQUIRE(cluster.Serve(0, 3) == 3);
  for (int i = 0; i < kEndpoints; ++i) {
    cluster.endpoint(i).SetPlainWork(Duration::Seconds(1));
  }
  std::map<int, int> answers;
  int sent = 0;
  int answered = 0;
  cluster.instance(0).node->BeginDrain();
  while (!cluster.instance(0).node->drained()) {
    ++sent;
    cluster.Send(0, [&](int status, bool) {
      ++answered;
      ++answers[status];
    });
    cluster.RunFor(Duration::Milliseconds(50));
  }
  // The process exits here. Requests of the last turn of the loop may not have been read.
  CHECK(sent - answered <= 4);
  CHECK(answers[kStatusOk] > 20);
  CHECK(answers[0] == 0);
}

}  // namespace
}  // namespace quetzalridge::platform
