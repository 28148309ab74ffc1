#include "daemon/load_exchange.h"

#include <catch2/catch.hpp>

#include "tests/daemon/caller_fixture.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

// One instance with a load exchange. The test makes up the reports of its peer.
struct LoadFixture {
  explicit LoadFixture(int endpoints) : f(endpoints) {
    LoadExchange::Hooks hooks;
    hooks.send = [this](const std::vector<EndpointCount>& counts) { sent.push_back(counts); };
    hooks.peers = [this] { return peers; };
    hooks.load_changed = [this] { f.dispatcher->OnLoadChanged(); };
    exchange = std::make_unique<LoadExchange>(&f.loop, f.registry.get(), hooks);
    exchange->Start();
  }
  void ReceivePeerLoad(uint32_t sequence, std::vector<EndpointCount> counts) {
    exchange->OnPeerLoad({"i2", "peer", sequence, std::move(counts)});
  }

  CallerFixture f;
  std::vector<std::string> peers = {"peer"};
  std::vector<std::vector<EndpointCount>> sent;
  std::unique_ptr<LoadExchange> exchange;
};

// Guards against requests that are sent to endpoints whose slots are filled by peers, and against requests that still
// wait after a peer has reported free slots.
TEST_CASE("a request waits while peers fill the endpoint and is sent when they report a free slot") {
  LoadFixture l(1);
  l.ReceivePeerLoad(1, {{PeerNameHash("e0"), 16, 4}});
  CHECK(l.f.registry->Find("e0")->peer_in_flight == 16);
  CHECK(l.f.registry->Find("e0")->awaiting_first_token == 4);
  CHECK(l.f.registry->Find("e0")->all_peers_counted);
  const auto response = l.f.Send(l.f.Completion("x", false));
  REQUIRE(l.f.RunUntil([&] { return l.f.admission.running == 1; }));
  l.f.RunTurns(20);
  CHECK(l.f.endpoints["e0"]->requests.empty());
  l.ReceivePeerLoad(2, {});
  REQUIRE(l.f.RunUntil([&] { return response->done; }));
  CHECK(response->status() == 200);
}

// Guards against peers that do not learn of a request in flight, or that still count one that has ended.
TEST_CASE("own requests in flight are reported when they start and when they end") {
  LoadFixture l(1);
  std::shared_ptr<HttpResponder> open;
  l.f.endpoints["e0"]->on_request = [&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    open = responder;
    responder->Start(200, FakeEndpoint::EchoHeaders(request, "text/event-stream"));
  };
  const auto response = l.f.Send(l.f.Completion("x", true));
  const auto last_is = [&](int in_flight, int awaiting_first_token) {
    return !l.sent.empty() && l.sent.back().size() == 1 && l.sent.back()[0].endpoint_hash == PeerNameHash("e0") &&
           l.sent.back()[0].in_flight == in_flight && l.sent.back()[0].awaiting_first_token == awaiting_first_token;
  };
  REQUIRE(l.f.RunUntil([&] { return last_is(1, 1); }));
  open->Write(FakeEndpoint::TokenEvent("first", 0));
  REQUIRE(l.f.RunUntil([&] { return last_is(1, 0); }));
  open->Write("data: [DONE]\n\n");
  open->End();
  REQUIRE(l.f.RunUntil([&] { return response->done && l.sent.back().empty(); }));
}

// Guards against changed counts that are sent only with the next periodic report, and against a datagram per request.
TEST_CASE("a change is sent at once, and further ones after 100 ms") {
  CallerFixture f;
  ManualScheduler scheduler;
  std::vector<int> sent;
  LoadExchange::Hooks hooks;
  hooks.send = [&](const std::vector<EndpointCount>& counts) {
    sent.push_back(counts.empty() ? 0 : counts[0].in_flight);
  };
  hooks.peers = [] { return std::vector<std::string>(); };
  hooks.load_changed = [] {};
  LoadExchange exchange(&scheduler, f.registry.get(), hooks);
  exchange.Start();
  scheduler.Advance(Duration::Milliseconds(500));
  CHECK(sent == std::vector<int>{0});
  f.registry->OnCallStarted("e0");
  scheduler.Advance(Duration::Milliseconds(1));
  CHECK(sent == std::vector<int>{0, 1});
  f.registry->OnCallStarted("e0");
  f.registry->OnCallStarted("e0");
  scheduler.Advance(Duration::Milliseconds(98));
  CHECK(sent == std::vector<int>{0, 1});
  scheduler.Advance(Duration::Milliseconds(2));
  CHECK(sent == std::vector<int>{0, 1, 3});
  scheduler.Advance(Duration::Milliseconds(2000));
  CHECK(sent.size() == 5);
}

// Guards against a load estimate that relies on the in-flight counts although a peer has not reported its counts. The
// estimate must then use the load report of the engine.
TEST_CASE("the counts are marked as incomplete while a peer sends no report") {
  LoadFixture l(1);
  l.ReceivePeerLoad(1, {});
  CHECK(l.f.registry->Find("e0")->all_peers_counted);
  l.peers = {"peer", "silent"};
  l.ReceivePeerLoad(2, {});
  CHECK_FALSE(l.f.registry->Find("e0")->all_peers_counted);
}

}  // namespace
}  // namespace quetzalridge
