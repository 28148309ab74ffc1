#include "daemon/endpoint_registry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "tests/daemon/caller_fixture.h"

namespace quetzalridge {
namespace {

PlatformInstance Instance(const std::string& id, const std::string& address, LifecycleState state) {
  PlatformInstance instance;
  instance.id = id;
  instance.service = "sort";
  instance.zone = "z2";
  instance.address = address;
  instance.kind = EndpointKind::kCheap;
  instance.state = state;
  return instance;
}

// Guards against new requests to an endpoint that is leaving, also after an older list says that the endpoint is live.
// Also guards against a request in progress that is cancelled because its endpoint is leaving.
TEST_CASE("a leaving endpoint gets no new requests and finishes those in progress") {
  CallerFixture f;
  f.platform.list = {true, 5, {Instance("p1", f.endpoints["e0"]->address(), LifecycleState::kLive)}};
  f.registry->Start();
  f.RunTurns(5);
  std::vector<std::pair<HttpRequest, std::shared_ptr<HttpResponder>>> held;
  f.endpoints["e0"]->on_request = [&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    held.push_back({request, responder});
  };
  const auto running = f.Send(f.Completion("x", false));
  REQUIRE(f.RunUntil([&] { return held.size() == 1; }));
  f.platform.list = {true, 6, {Instance("p1", f.endpoints["e0"]->address(), LifecycleState::kLeaving)}};
  REQUIRE(f.RunUntil([&] { return f.registry->Find("e0")->leaving; }));
  f.platform.list = {true, 5, {Instance("p1", f.endpoints["e0"]->address(), LifecycleState::kLive)}};
  f.RunTurns(20);
  CHECK(f.registry->Find("e0")->leaving);
  const CallerResponse refused = f.Run(f.Completion("y", false));
  CHECK(refused.status() == 503);
  CHECK(refused.body().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(held.size() == 1);
  held[0].second->Send(200, FakeEndpoint::EchoHeaders(held[0].first, "application/json"), "{\"whole\":1}");
  REQUIRE(f.RunUntil([&] { return running->done; }));
  CHECK(running->body() == "{\"whole\":1}");
  CHECK(f.quarantine.size() == 0);
}

// Guards against endpoints of the platform's list that are missed, added twice, or kept after they were removed.
TEST_CASE("endpoints come from the configuration and the platform's list") {
  CallerFixture f;
  f.platform.list = {true,
                     1,
                     {Instance("p1", f.endpoints["e0"]->address(), LifecycleState::kLive),
                      Instance("p2", "127.0.0.1:9", LifecycleState::kLive)}};
  f.registry->Start();
  REQUIRE(f.RunUntil([&] { return f.registry->Find("p2") != nullptr; }));
  CHECK(f.registry->Find("p1") == nullptr);
  CHECK(f.registry->Find("p2")->cheap);
  CHECK(f.registry->Find("p2")->zone == "z2");
  REQUIRE(f.RunUntil([&] { return f.registry->Find("e0")->weight_version == 7; }));
  f.platform.list = {true, 2, {}};
  REQUIRE(f.RunUntil([&] { return f.registry->Find("p2") == nullptr; }));
  f.config.Change(ConfigKind::kEndpoint, "e0", std::nullopt);
  CHECK(f.registry->Find("e0") == nullptr);
}

// Guards against a list receiver that gets no lists, that is not called when the same list is read again, or that gets
// an older list after a newer one. An older list can show a process as live that has ended.
TEST_CASE("the polled list is passed on unless it is older than the one before") {
  CallerFixture f;
  std::vector<int64_t> revisions;
  f.registry->SetListReceiver([&](const InstanceListResult& list) { revisions.push_back(list.revision); });
  f.platform.list = {true, 3, {Instance("p1", "127.0.0.1:9", LifecycleState::kLive)}};
  f.registry->Start();
  REQUIRE(f.RunUntil([&] { return revisions.size() >= 2; }));
  f.platform.list = {false, 0, {}};
  f.RunTurns(5);
  f.platform.list = {true, 2, {}};
  f.RunTurns(20);
  CHECK(f.registry->Find("p1") != nullptr);
  f.platform.list = {true, 4, {}};
  REQUIRE(f.RunUntil([&] { return revisions.back() == 4; }));
  CHECK(f.registry->Find("p1") == nullptr);
  CHECK(std::count(revisions.begin(), revisions.end(), 2) == 0);
  CHECK(std::count(revisions.begin(), revisions.end(), 0) == 0);
}

// Guards against requests that are sent to an endpoint whose polls show that it is down. Also guards against a service
// without any endpoint when the polls of all its endpoints fail, which can be a fault of the polls only.
TEST_CASE("an endpoint whose polls fail gets no requests while another one responds") {
  CallerFixture f;
  f.config.Change(ConfigKind::kEndpoint, "dead", R"({"service":"sort","address":"127.0.0.1:1","zone":"z1"})");
  f.registry->Start();
  REQUIRE(f.RunUntil([&] { return f.registry->Find("dead")->failed_polls >= 2; }));
  const std::vector<EndpointState> available = f.registry->Available("sort", 0);
  REQUIRE(available.size() == 1);
  CHECK(available[0].id == "e0");
  CHECK(f.registry->Capacity("sort") == available[0].slots);
  f.config.Change(ConfigKind::kEndpoint, "e0", std::nullopt);
  CHECK(f.registry->Available("sort", 0).size() == 1);
}

// Guards against a graceful shutdown that cancels a request, and against new requests that are accepted during it.
TEST_CASE("a graceful shutdown finishes streams and refuses new requests as not run") {
  CallerFixture f;
  f.endpoints["e0"]->on_request = [](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    responder->Start(200, FakeEndpoint::EchoHeaders(request, "text/event-stream"));
    responder->Write(FakeEndpoint::TokenEvent("first", 0));
  };
  const auto stream = f.Send(f.Completion("x", true));
  REQUIRE(f.RunUntil([&] { return f.endpoints["e0"]->open.size() == 1; }));
  f.api->BeginDrain();
  const CallerResponse refused = f.Run(f.Completion("y", false));
  CHECK(refused.status() == 503);
  CHECK(refused.body().find("draining") != std::string::npos);
  CHECK(refused.body().find("\"ran\":\"no\"") != std::string::npos);
  f.server->BeginShutdown();
  f.RunTurns(5);
  CHECK(f.api->active() == 1);
  f.endpoints["e0"]->open[0]->Write(FakeEndpoint::TokenEvent("last", 1) + "data: [DONE]\n\n");
  f.endpoints["e0"]->open[0]->End();
  REQUIRE(f.RunUntil([&] { return stream->done && f.api->active() == 0; }));
  CHECK(stream->body().find("last") != std::string::npos);
  CHECK(stream->body().find("[DONE]") != std::string::npos);
}

}  // namespace
}  // namespace quetzalridge
