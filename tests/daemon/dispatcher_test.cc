#include "daemon/dispatcher.h"

#include <catch2/catch.hpp>

#include "base/random.h"
#include "daemon/dispatched_sample_engine.h"
#include "protocol/sse_writer.h"
#include "tests/daemon/caller_fixture.h"

namespace quetzalridge {
namespace {

using Responder = std::shared_ptr<HttpResponder>;

void AbortAtOnce(const HttpRequest&, const Responder& responder) {
  responder->Abort();
}

// Returns how many requests the endpoints whose id has this prefix received.
size_t Requests(const CallerFixture& f, const std::string& prefix) {
  size_t count = 0;
  for (const auto& [id, endpoint] : f.endpoints) {
    count += id.compare(0, prefix.size(), prefix) == 0 ? endpoint->requests.size() : 0;
  }
  return count;
}

// Guards against an idempotent request that fails because one endpoint fails, although another endpoint could run it.
TEST_CASE("an idempotent request moves to another endpoint before its first byte") {
  CallerFixture f(2);
  f.endpoints["e0"]->on_request = AbortAtOnce;
  for (const bool stream : {false, true}) {
    const CallerResponse response = f.Run(f.Completion(stream ? "s" : "w", stream));
    CHECK(response.status() == 200);
    CHECK(response.body().find("echo") != std::string::npos);
  }
  CHECK(f.endpoints["e0"]->requests.size() >= 1);
}

// Guards against rejected requests while an endpoint that is down is in the list. The retry budget must limit only
// repeated work; if failed connects used it up, requests would fail that another endpoint can run.
TEST_CASE("failed connects move to another endpoint without the retry budget") {
  CallerFixture f(2);
  f.config.Change(ConfigKind::kEndpoint, "d0", R"({"service":"desk","address":"127.0.0.1:1","zone":"z1"})");
  for (int i = 0; i < 12; ++i) {
    CHECK(f.Run(f.Plain("/s/orders/" + std::to_string(i), "POST")).status() == 200);
  }
  CHECK(f.endpoints["d1"]->requests.size() == 12);
}

// Guards against a request that is sent to an endpoint that was removed after it was chosen and before the write.
TEST_CASE("an endpoint that leaves before the write gets nothing") {
  CallerFixture f(2);
  std::string left;
  f.router.on_dispatched = [&](const std::string& id) {
    if (left.empty()) {
      left = id;
      f.config.Change(ConfigKind::kEndpoint, id, std::nullopt);
    }
  };
  CHECK(f.Run(f.Plain("/s/orders/1", "POST")).status() == 200);
  CHECK(f.endpoints[left]->requests.empty());
}

// Guards against a retry after a part of the response was passed on, and against an incomplete stream that looks
// complete to the caller. The stream can break off, or end properly without its [DONE] event.
TEST_CASE("a stream that breaks off ends with an error event") {
  CallerFixture f(2);
  for (const char* id : {"e0", "e1"}) {
    f.endpoints[id]->on_request = [](const HttpRequest& request, const Responder& responder) {
      responder->Start(200, FakeEndpoint::EchoHeaders(request, "text/event-stream"));
      responder->Write(FakeEndpoint::TokenEvent("first", 0) + "data: {\"half");
    };
  }
  const auto cut = f.Send(f.Completion("x", true));
  REQUIRE(f.RunUntil([&] { return Requests(f, "e") == 1; }));
  f.RunTurns(5);
  f.endpoints["e0"]->Crash();
  REQUIRE(f.RunUntil([&] { return cut->done; }));
  CHECK(cut->body().find("first") != std::string::npos);
  CHECK(cut->body().find("half") == std::string::npos);
  CHECK(cut->body().find("event: error") != std::string::npos);
  CHECK(cut->body().find("[DONE]") == std::string::npos);
  CHECK(Requests(f, "e") == 1);

  for (const char* id : {"e0", "e1"}) {
    f.endpoints[id]->on_request = [](const HttpRequest& request, const Responder& responder) {
      responder->Start(200, FakeEndpoint::EchoHeaders(request, "text/event-stream"));
      responder->Write(FakeEndpoint::TokenEvent("first", 0));
      responder->End();
    };
  }
  const CallerResponse no_mark = f.Run(f.Completion("y", true));
  CHECK(no_mark.body().find("event: error") != std::string::npos);
  CHECK(no_mark.body().find("[DONE]") == std::string::npos);
}

// Guards against a response to another request, such as a late response on a reused connection.
TEST_CASE("a response with another request's id is not passed on") {
  CallerFixture f;
  f.endpoints["e0"]->on_request = [](const HttpRequest&, const Responder& responder) {
    responder->Send(200, {{"content-type", "application/json"}, {"x-request-id", "other"}}, "{\"secret\":1}");
  };
  for (const bool stream : {false, true}) {
    const CallerResponse response = f.Run(f.Completion("x", stream));
    CHECK(response.status() >= 500);
    CHECK(response.body().find("secret") == std::string::npos);
    CHECK(response.body().find("\"ran\":\"unknown\"") != std::string::npos);
  }
}

// Guards against responses that reach the wrong caller when endpoints respond late and in random order.
TEST_CASE("late responses in another order reach their own callers complete") {
  CallerFixture f(2);
  f.config.Change(ConfigKind::kService, "sort", R"({"profile":"p","slots_per_replica":64})");
  Random random(5);
  std::vector<std::pair<HttpRequest, Responder>> waiting;
  for (const char* id : {"e0", "e1"}) {
    f.endpoints[id]->on_request = [&](const HttpRequest& request, const Responder& responder) {
      waiting.push_back({request, responder});
    };
  }
  std::vector<std::shared_ptr<CallerResponse>> responses;
  for (int i = 0; i < 60; ++i) {
    responses.push_back(f.Send(f.Completion("p" + std::to_string(i) + ".", false)));
  }
  REQUIRE(f.RunUntil([&] { return waiting.size() == 60; }));
  while (!waiting.empty()) {
    const size_t next = random.Below(waiting.size());
    const auto [request, responder] = waiting[next];
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(next));
    responder->Send(200, FakeEndpoint::EchoHeaders(request, "application/json"),
                    request.body + std::string(20'000, 'x'));
    f.RunTurns(1);
  }
  for (size_t i = 0; i < responses.size(); ++i) {
    REQUIRE(f.RunUntil([&] { return responses[i]->done; }));
    CHECK(responses[i]->body().find("\"p" + std::to_string(i) + ".\"") != std::string::npos);
    CHECK(responses[i]->body().size() > 20'000);
  }
}

// Guards against a wrong "not run": a caller that trusts it sends the request again, which could run it twice. It must
// be reported exactly if no byte was written.
TEST_CASE("a request is reported as not run exactly when no endpoint received a byte") {
  CallerFixture f;
  f.endpoints["d0"]->on_request = AbortAtOnce;
  const CallerResponse unknown = f.Run(f.Plain("/s/orders/1", "POST"));
  CHECK(unknown.status() == 502);
  CHECK(unknown.body().find("\"ran\":\"unknown\"") != std::string::npos);
  CHECK(f.endpoints["d0"]->requests.size() == 1);
  f.config.Change(ConfigKind::kEndpoint, "d0", R"({"service":"desk","address":"127.0.0.1:1","zone":"z1"})");
  const CallerResponse refused = f.Run(f.Plain("/s/orders/2", "POST"));
  CHECK(refused.body().find("\"ran\":\"no\"") != std::string::npos);
  f.admission.shed = true;
  const CallerResponse shed = f.Run(f.Plain("/s/orders/3", "POST"));
  CHECK(shed.status() == 429);
  CHECK(shed.body().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(shed.body().find("retry_after_ms") != std::string::npos);
  CHECK(f.endpoints["d0"]->requests.size() == 1);
}

// Guards against calls that hang on an endpoint that never responds, or that stops in the middle of its response.
TEST_CASE("the first token and the gap between tokens have a timeout") {
  DispatcherOptions options;
  options.first_token_timeout = Duration::Milliseconds(40);
  options.token_gap_timeout = Duration::Milliseconds(30);
  CallerFixture f(1, options);
  f.endpoints["e0"]->on_request = [](const HttpRequest&, const Responder&) {};
  const CallerResponse silent = f.Run(f.Completion("x", true));
  CHECK(silent.body().find("\"ran\":\"unknown\"") != std::string::npos);
  f.endpoints["e0"]->on_request = [](const HttpRequest& request, const Responder& responder) {
    responder->Start(200, FakeEndpoint::EchoHeaders(request, "text/event-stream"));
    responder->Write(FakeEndpoint::TokenEvent("first", 0));
  };
  const CallerResponse stopped = f.Run(f.Completion("y", true));
  CHECK(stopped.body().find("first") != std::string::npos);
  CHECK(stopped.body().find("event: error") != std::string::npos);
  CHECK(f.quarantine.size() == 0);
}

// Guards against work that continues at the endpoint after its caller has disconnected, and against a slot that is not
// released.
TEST_CASE("the connection to the endpoint is closed when the caller disconnects") {
  CallerFixture f;
  bool closed = false;
  f.endpoints["e0"]->on_request = [&](const HttpRequest& request, const Responder& responder) {
    responder->SetCloseCallback([&] { closed = true; });
    responder->Start(200, FakeEndpoint::EchoHeaders(request, "text/event-stream"));
    responder->Write(FakeEndpoint::TokenEvent("first", 0));
  };
  // The instance notices a disconnected caller only when it sends tokens to the caller.
  int token = 0;
  const auto write_token = [&] { f.endpoints["e0"]->open[0]->Write(FakeEndpoint::TokenEvent("more", ++token)); };
  HttpCall call = f.Completion("x", true);
  call.idle_timeout = Duration::Milliseconds(30);
  f.Run(call);
  REQUIRE(f.RunUntil([&] {
    write_token();
    return closed && f.api->active() == 0;
  }));
  CHECK(f.admission.running == 0);
  CHECK(f.registry->Find("e0")->own_in_flight == 0);
}

// Guards against a request that crashes endpoints again and again, and against the quarantine of requests that were
// only in flight on the same endpoint during a crash.
TEST_CASE("a request that crashes endpoints is quarantined after two crashes and the requests beside it are not") {
  CallerFixture f(4);
  const std::string crashing_prompt = "culprit";
  int crashes = 0;
  std::vector<std::pair<HttpRequest, Responder>> held;
  for (auto& [id, endpoint] : f.endpoints) {
    FakeEndpoint* self = endpoint.get();
    endpoint->on_request = [&, self](const HttpRequest& request, const Responder& responder) {
      if (request.body.find(crashing_prompt) != std::string::npos) {
        ++crashes;
        self->Crash();
      } else if (crashes > 0) {
        responder->Send(200, FakeEndpoint::EchoHeaders(request, "application/json"), "{}");
      } else {
        held.push_back({request, responder});
      }
    };
  }
  std::vector<std::shared_ptr<CallerResponse>> bystanders;
  for (int i = 0; i < 40; ++i) {
    bystanders.push_back(f.Send(f.Completion("innocent " + std::to_string(i), false)));
  }
  REQUIRE(f.RunUntil([&] { return Requests(f, "e") == 40; }));
  const auto first = f.Send(f.Completion(crashing_prompt, false));
  REQUIRE(f.RunUntil([&] { return crashes == 1; }));
  f.RunTurns(3);
  for (const auto& [request, responder] : held) {
    responder->Send(200, FakeEndpoint::EchoHeaders(request, "application/json"), "{}");
  }
  REQUIRE(f.RunUntil([&] { return first->done; }));
  CHECK(first->body().find("\"ran\":\"unknown\"") != std::string::npos);
  // The other requests may have used up the retry budget, so the caller sends the crashing request again.
  f.Run(f.Completion(crashing_prompt, false));
  CHECK(crashes == 2);
  for (int i = 0; i < 3; ++i) {
    const CallerResponse again = f.Run(f.Completion(crashing_prompt, false));
    CHECK(again.status() == 422);
    CHECK(again.body().find("\"ran\":\"no\"") != std::string::npos);
  }
  CHECK(crashes == 2);
  for (int i = 0; i < 40; ++i) {
    CHECK(f.Run(f.Completion("innocent " + std::to_string(i), false)).status() != 422);
  }
}

// Guards against a suspect that is blamed for a second crash because it was sent to an endpoint that was down before.
TEST_CASE("a suspect does not run on an endpoint whose last poll failed") {
  DispatcherOptions options;
  options.queue_timeout = Duration::Milliseconds(60);
  CallerFixture f(1, options);
  f.endpoints["e0"]->on_request = AbortAtOnce;
  CHECK(f.Run(f.Completion("culprit", false)).body().find("\"ran\":\"unknown\"") != std::string::npos);
  const size_t requests = Requests(f, "e");
  f.config.Change(ConfigKind::kEndpoint, "e0", std::nullopt);
  f.config.Change(ConfigKind::kEndpoint, "dead", R"({"service":"sort","address":"127.0.0.1:1","zone":"z1"})");
  f.registry->Start();
  REQUIRE(f.RunUntil([&] { return f.registry->Find("dead")->failed_polls >= 1; }));
  const CallerResponse refused = f.Run(f.Completion("culprit", false));
  CHECK(refused.status() == 503);
  CHECK(refused.body().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(Requests(f, "e") == requests);
}

// Keeps the requests to all endpoints open, so that they occupy the endpoints' slots.
struct HeldRequests {
  explicit HeldRequests(CallerFixture* f) {
    for (auto& [id, endpoint] : f->endpoints) {
      endpoint->on_request = [this](const HttpRequest& request, const Responder& responder) {
        open.push_back({request, responder});
      };
    }
  }
  void RespondToFirst() {
    open[0].second->Send(200, FakeEndpoint::EchoHeaders(open[0].first, "application/json"), "{}");
    open.erase(open.begin());
  }
  std::vector<std::pair<HttpRequest, Responder>> open;
};

// Guards against requests that wait in an endpoint's queue, from where they cannot move to another endpoint with a free
// slot. Also guards against a request beyond its workspace's share (borrowed) that gets a slot before one within it.
TEST_CASE("an admitted request waits at the instance until an endpoint has a free slot") {
  CallerFixture f;
  f.config.Change(ConfigKind::kService, "sort", R"({"profile":"p","slots_per_replica":2})");
  HeldRequests held(&f);
  const auto first = f.Send(f.Completion("a", false));
  const auto second = f.Send(f.Completion("b", false));
  REQUIRE(f.RunUntil([&] { return held.open.size() == 2; }));
  f.admission.priority = kEnginePriorityBorrowed;
  const auto borrowed = f.Send(f.Completion("borrowed", false));
  REQUIRE(f.RunUntil([&] { return f.admission.running == 3; }));
  f.admission.priority = kEnginePriorityWithinShare;
  const auto within = f.Send(f.Completion("within", false));
  REQUIRE(f.RunUntil([&] { return f.admission.running == 4; }));
  f.RunTurns(20);
  CHECK(held.open.size() == 2);
  held.RespondToFirst();
  REQUIRE(f.RunUntil([&] { return held.open.size() == 2; }));
  CHECK(held.open[1].first.body.find("within") != std::string::npos);
  // A borrowed request must leave one of the two slots free.
  held.RespondToFirst();
  f.RunTurns(20);
  CHECK(held.open.size() == 1);
  held.RespondToFirst();
  REQUIRE(f.RunUntil([&] { return held.open.size() == 1; }));
  CHECK(held.open[0].first.body.find("borrowed") != std::string::npos);
  held.RespondToFirst();
  REQUIRE(f.RunUntil([&] { return borrowed->done && within->done && first->done && second->done; }));
}

// Guards against requests that wait for a free slot forever, and against a wrong report of whether they ran.
TEST_CASE("a request that finds no free slot in time is refused as not run") {
  DispatcherOptions options;
  options.queue_timeout = Duration::Milliseconds(60);
  CallerFixture f(1, options);
  f.config.Change(ConfigKind::kService, "sort", R"({"profile":"p","slots_per_replica":1})");
  HeldRequests held(&f);
  const auto first = f.Send(f.Completion("a", false));
  REQUIRE(f.RunUntil([&] { return held.open.size() == 1; }));
  const CallerResponse refused = f.Run(f.Completion("b", false));
  CHECK(refused.status() == 429);
  CHECK(refused.body().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(f.admission.running == 1);
  CHECK(held.open.size() == 1);
  held.RespondToFirst();
  REQUIRE(f.RunUntil([&] { return first->done; }));
}

// Guards against an engine that cannot distinguish borrowed requests from those within the share.
TEST_CASE("the engine gets the priority that admission gave") {
  CallerFixture f;
  f.admission.priority = kEnginePriorityBorrowed;
  CHECK(f.Run(f.Completion("\"priority\":0,", false)).status() == 200);
  CHECK(f.endpoints["e0"]->requests[0].body.compare(0, 14, "{\"priority\":1,") == 0);
  CHECK(f.Run(f.Plain("/s/orders/1", "POST")).status() == 200);
  CHECK(f.endpoints["d0"]->requests[0].body.find("\"priority\"") == std::string::npos);
}

// Records the tokens and the end of a sample.
class RecordingSampleObserver : public SampleObserver {
 public:
  void OnSampleStarted(const std::string& endpoint_id) override { endpoint = endpoint_id; }
  void OnSampleToken(std::string_view token, int64_t version) override {
    text += token;
    versions.push_back(version);
  }
  void OnSampleEnd(SampleEnd sample_end) override { end = sample_end; }

  std::string endpoint;
  std::string text;
  std::vector<int64_t> versions;
  std::optional<SampleEnd> end;
};

// Guards against requests that wait for admission forever, and against a request that stays in the admission queue
// after it was rejected.
TEST_CASE("a request waits for admission, and is refused as not run when none comes in time") {
  DispatcherOptions options;
  options.queue_timeout = Duration::Milliseconds(60);
  CallerFixture f(1, options);
  std::vector<std::pair<HttpRequest, Responder>> held;
  f.endpoints["e0"]->on_request = [&](const HttpRequest& request, const Responder& responder) {
    held.push_back({request, responder});
  };
  f.admission.limit = 1;
  const auto first = f.Send(f.Completion("a", false));
  REQUIRE(f.RunUntil([&] { return held.size() == 1; }));
  const CallerResponse refused = f.Run(f.Completion("b", false));
  CHECK(refused.status() == 429);
  CHECK(refused.body().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(f.admission.queue.empty());
  const auto waiting = f.Send(f.Completion("c", false));
  REQUIRE(f.RunUntil([&] { return f.admission.queue.size() == 1; }));
  held[0].second->Send(200, FakeEndpoint::EchoHeaders(held[0].first, "application/json"), "{}");
  REQUIRE(f.RunUntil([&] { return held.size() == 2; }));
  held[1].second->Send(200, FakeEndpoint::EchoHeaders(held[1].first, "application/json"), "{}");
  REQUIRE(f.RunUntil([&] { return first->done && waiting->done; }));
  CHECK(waiting->status() == 200);
  CHECK(f.admission.running == 0);
}

// Guards against samples with lost tokens, or with tokens that have no weight version.
TEST_CASE("a sample reports each token with its version, and a sample with a lost token is interrupted") {
  CallerFixture f;
  DispatchedSampleEngine engine(f.dispatcher.get(), &f.usage);
  SampleRequest request;
  request.service = "sort";
  request.workspace = "a";
  request.model = "m";
  request.prompt = "hides";
  RecordingSampleObserver whole;
  const std::unique_ptr<SampleRun> first = engine.Start(request, &whole);
  REQUIRE(f.RunUntil([&] { return whole.end.has_value(); }));
  CHECK(*whole.end == SampleEnd::kFinished);
  CHECK(whole.text == "echo hides");
  CHECK(whole.versions == std::vector<int64_t>{7, 7});
  CHECK(f.usage.by_workspace["a"].samples == 1);
  CHECK(f.endpoints["e0"]->requests[0].body.find("\"priority\":2") != std::string::npos);

  f.endpoints["e0"]->on_request = [](const HttpRequest& request, const Responder& responder) {
    responder->Start(200, FakeEndpoint::EchoHeaders(request, "text/event-stream"));
    responder->Write(FakeEndpoint::TokenEvent("a", 0) + FakeEndpoint::TokenEvent("c", 2) + EncodeSseEvent(kSseDone));
    responder->End();
  };
  RecordingSampleObserver gap;
  const std::unique_ptr<SampleRun> second = engine.Start(request, &gap);
  REQUIRE(f.RunUntil([&] { return gap.end.has_value(); }));
  CHECK(*gap.end == SampleEnd::kInterrupted);
  CHECK(gap.text == "a");
}

}  // namespace
}  // namespace quetzalridge
