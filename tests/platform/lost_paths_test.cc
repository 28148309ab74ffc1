#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
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

// What a caller of a stream receives.
struct StreamCaller : public HttpCallObserver {
  void OnHead(int status_code, const HttpHeaders& headers) override {
    status = status_code;
    has_signature = FindHeader(headers, kSignatureHeader) != nullptr;
  }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnEnd(const CallResult& end) override { outcome = end.outcome; }

  int status = 0;
  bool has_signature = false;
  std::string body;
  std::optional<CallOutcome> outcome;
};

TEST_CASE("when a caller leaves, an endpoint that runs its request for another instance stops within half a second") {
  Cluster cluster;
  cluster.SetPaths(0, Mode::kCut);
  REQUIRE(cluster.Serve(0, 3) == 3);
  StreamCaller caller;
  std::unique_ptr<HttpExchange> exchange = cluster.BeginStream(0, &caller);
  cluster.RunFor(Duration::Milliseconds(600));
  REQUIRE(cluster.RunningStreams() == 1);
  exchange.reset();
  cluster.RunFor(Duration::Milliseconds(500));
  CHECK(cluster.RunningStreams() == 0);
}

TEST_CASE("a request that takes long at its endpoint is not given up and run again through another instance") {
  Cluster cluster;
  cluster.SetPaths(0, Mode::kCut);
  REQUIRE(cluster.Serve(0, 3) == 3);
  for (int i = 0; i < kEndpoints; ++i) {
    cluster.endpoint(i).SetPlainWork(Duration::Seconds(1));
  }
  const size_t runs = cluster.log().runs().size();
  CHECK(cluster.Serve(0, 3) == 3);
  CHECK(cluster.log().runs().size() == runs + 3);
}

TEST_CASE("a stream through another instance reaches its caller event by event, and whole") {
  Cluster cluster;
  cluster.SetPaths(0, Mode::kCut);
  REQUIRE(cluster.Serve(0, 3) == 3);
  StreamCaller caller;
  const std::unique_ptr<HttpExchange> exchange = cluster.BeginStream(0, &caller);
  cluster.RunFor(Duration::Milliseconds(800));
  CHECK(caller.status == kStatusOk);
  CHECK(caller.has_signature);
  CHECK(caller.body.find("id: 5\n") != std::string::npos);
  CHECK(!caller.outcome.has_value());
  while (!caller.outcome.has_value()) {
    cluster.RunFor(Duration::Milliseconds(50));
  }
  CHECK(caller.outcome == CallOutcome::kWhole);
  CHECK(caller.body.find("id: 100\n") != std::string::npos);
}

TEST_CASE("a stream is not complete when the instance that passes it on loses its own path") {
  Cluster cluster;
  cluster.SetPaths(0, Mode::kCut);
  REQUIRE(cluster.Serve(0, 3) == 3);
  StreamCaller caller;
  const std::unique_ptr<HttpExchange> exchange = cluster.BeginStream(0, &caller);
  cluster.RunFor(Duration::Milliseconds(600));
  REQUIRE(!caller.body.empty());
  cluster.SetPaths(1, Mode::kCut);
  cluster.SetPaths(2, Mode::kCut);
  while (!caller.outcome.has_value()) {
    cluster.RunFor(Duration::Milliseconds(50));
  }
  CHECK(caller.outcome == CallOutcome::kCut);
}

TEST_CASE("when no instance reaches an endpoint, requests are refused, and served again after the cut") {
  Cluster cluster;
  for (size_t i = 0; i < 3; ++i) {
    cluster.SetPaths(i, Mode::kCut);
  }
  CHECK(cluster.Serve(0, 10) == 0);
  for (size_t i = 0; i < 3; ++i) {
    cluster.SetPaths(i, Mode::kPass);
  }
  cluster.RunFor(Duration::Seconds(5));
  CHECK(cluster.Serve(0, 10) == 10);
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
