#include <catch2/catch.hpp>

#include "base/hash.h"
#include "protocol/sse_writer.h"
#include "tests/daemon/caller_fixture.h"

namespace quetzalridge {
namespace {

// Returns everything that the endpoint received as one text.
std::string Received(const FakeEndpoint& endpoint) {
  std::string text;
  for (const HttpRequest& request : endpoint.requests) {
    text += request.method + " " + request.path + "?" + request.query + "\n" + request.body + "\n";
    for (const HttpHeader& header : request.headers) {
      text += header.name + ": " + header.value + "\n";
    }
  }
  return text;
}

// Makes the endpoint send the first token of a stream and leave the stream open.
void HoldStream(FakeEndpoint* endpoint) {
  endpoint->on_request = [](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    responder->Start(200, FakeEndpoint::EchoHeaders(request, "text/event-stream"));
    responder->Write(FakeEndpoint::TokenEvent("first", 0));
  };
}

// Guards against a keyed route that runs requests without a key, with an unknown key, or with the keys of two
// workspaces.
TEST_CASE("only the workspace of one known key gets a keyed route") {
  CallerFixture f;
  CHECK(f.Run(f.Completion("x", false, "")).status() == 401);
  CHECK(f.Run(f.Completion("x", false, "key-unknown")).status() == 401);
  HttpCall two = f.Completion("x", false, "key-a");
  two.headers.push_back({"x-api-key", "key-b"});
  CHECK(f.Run(two).status() == 401);
  CHECK(f.endpoints["e0"]->requests.empty());
  CHECK(f.Run(f.Completion("x", false, "key-b")).status() == 200);
  CHECK(f.usage.by_workspace.count("a") == 0);
  CHECK(f.usage.by_workspace["b"].requests == 1);
  CHECK(f.Run(f.Plain("/s/public/list", "GET", "")).status() == 200);
  CHECK(f.Run(f.Plain("/s/desk/list", "GET", "")).status() == 401);
}

// Guards against a key that reaches an endpoint in a header (in any case or repeated), a cookie, the path, the query or
// the body, as plain text or encoded.
TEST_CASE("no endpoint sees a caller's key") {
  CallerFixture f;
  HttpCall headers = f.Completion("x", false);
  headers.headers = {{"Authorization", "bearer key-a"}, {"X-Api-Key", "key-a"}, {"cookie", "k=key-a"},
                     {"x-request-id", "key-a"},         {"x-other", "key-a"},   {"content-type", "application/json"}};
  CHECK(f.Run(headers).status() == 200);
  HttpCall accept = f.Completion("x", false);
  accept.headers.push_back({"accept", "text/key-a"});
  CHECK(f.Run(accept).status() == 400);
  CHECK(f.Run(f.Completion("my key-a", false)).status() == 400);
  HttpCall escaped = f.Completion("x", false);
  escaped.body = R"({"model":"m","prompt":"\u006bey-a"})";
  CHECK(f.Run(escaped).status() == 400);
  CHECK(f.Run(f.Plain("/s/desk/key-a")).status() == 400);
  CHECK(f.Run(f.Plain("/s/desk/list?k=key-a")).status() == 400);
  CHECK(f.Run(f.Plain("/s/desk/list?k=%6bey%2Da")).status() == 400);
  HttpCall form = f.Plain("/s/desk/list", "POST");
  form.body = "k=%6Bey-a";
  CHECK(f.Run(form).status() == 400);
  HttpCall json = f.Plain("/s/desk/list", "POST");
  json.body = R"({"k":"\u006Bey-a"})";
  CHECK(f.Run(json).status() == 400);
  HttpCall identity = f.Plain("/s/orders/1", "POST");
  identity.headers.push_back({"idempotency-key", "key-a"});
  CHECK(f.Run(identity).status() == 400);
  CHECK(f.table.rows.empty());
  CHECK(Received(*f.endpoints["e0"]).find("key-a") == std::string::npos);
  CHECK(Received(*f.endpoints["d0"]).find("key-a") == std::string::npos);
  CHECK(f.endpoints["e0"]->requests.size() == 1);
}

// Guards against a body with two `model` fields, of which the route check reads one and the endpoint the other. The
// endpoint must get only the field that was checked.
TEST_CASE("a repeated field in the body reaches the endpoint once") {
  CallerFixture f;
  HttpCall call = f.Completion("x", false);
  call.body = R"({"model":"other","prompt":"x","model":"m"})";
  CHECK(f.Run(call).status() == 200);
  REQUIRE(f.endpoints["e0"]->requests.size() == 1);
  CHECK(f.endpoints["e0"]->requests[0].body.find("other") == std::string::npos);
}

// Guards against a withdrawn key that still works, for open streams, for waiting requests or for new requests.
TEST_CASE("a withdrawn key ends its streams and nothing else") {
  CallerFixture f;
  HoldStream(f.endpoints["e0"].get());
  const auto withdrawn = f.Send(f.Completion("x", true, "key-a"));
  const auto kept = f.Send(f.Completion("x", true, "key-b"));
  REQUIRE(f.RunUntil([&] { return f.endpoints["e0"]->open.size() == 2; }));
  f.admission.limit = 2;
  const auto waiting = f.Send(f.Completion("x", false, "key-a"));
  REQUIRE(f.RunUntil([&] { return f.admission.queue.size() == 1; }));
  f.RunTurns(5);
  f.config.Change(ConfigKind::kKey, Sha256Hex("key-a"), std::nullopt);
  REQUIRE(f.RunUntil([&] { return withdrawn->done && waiting->done; }));
  CHECK(withdrawn->body().find("key_withdrawn") != std::string::npos);
  CHECK(withdrawn->body().find("[DONE]") == std::string::npos);
  CHECK(waiting->status() == 401);
  CHECK(waiting->body().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(f.Run(f.Completion("x", false, "key-a")).status() == 401);
  f.RunTurns(5);
  CHECK_FALSE(kept->done);
  CHECK(f.endpoints["e0"]->requests.size() == 2);
}

// Guards against an instance that forwards data of keyed streams or starts keyed requests although it has lost its
// permission to serve keyed routes. A key may have been withdrawn without the instance's knowledge by then.
TEST_CASE("a keyed stream is held back without permission, then continues or ends") {
  CallerFixture f;
  HoldStream(f.endpoints["e0"].get());
  const auto stream = f.Send(f.Completion("x", true));
  REQUIRE(f.RunUntil([&] { return f.endpoints["e0"]->open.size() == 1; }));
  f.RunTurns(5);
  f.config.may_serve = false;
  CHECK(f.Run(f.Completion("x", false)).status() == 503);
  CHECK(f.Run(f.Plain("/s/public/list", "GET", "")).status() == 200);
  f.endpoints["e0"]->open[0]->Write(FakeEndpoint::TokenEvent("second", 1));
  f.RunTurns(3);
  f.config.may_serve = true;
  f.endpoints["e0"]->open[0]->Write(EncodeSseEvent(kSseDone));
  f.endpoints["e0"]->open[0]->End();
  REQUIRE(f.RunUntil([&] { return stream->done; }));
  CHECK(stream->body().find("second") != std::string::npos);
  CHECK(stream->body().find("[DONE]") != std::string::npos);

  const auto ended = f.Send(f.Completion("x", true));
  REQUIRE(f.RunUntil([&] { return f.endpoints["e0"]->open.size() == 2; }));
  f.RunTurns(5);
  f.config.may_serve = false;
  f.RunTurns(1);
  f.endpoints["e0"]->open[1]->Write(FakeEndpoint::TokenEvent("secret", 1));
  REQUIRE(f.RunUntil([&] { return ended->done; }));
  CHECK(ended->body().find("secret") == std::string::npos);
  CHECK(ended->body().find("permission_lapsed") != std::string::npos);
}

// Guards against new events of a stream that are sent before the events that were held back, when the instance gets its
// permission again. The caller would get the tokens in a wrong order, in a stream that looks complete.
TEST_CASE("events of a stream that were held back keep their order") {
  CallerFixture f;
  HoldStream(f.endpoints["e0"].get());
  const auto stream = f.Send(f.Completion("x", true));
  REQUIRE(f.RunUntil([&] { return f.endpoints["e0"]->open.size() == 1; }));
  f.RunTurns(5);
  f.config.may_serve = false;
  f.endpoints["e0"]->open[0]->Write(FakeEndpoint::TokenEvent("second", 1));
  f.RunTurns(3);
  f.config.may_serve = true;
  f.endpoints["e0"]->open[0]->Write(FakeEndpoint::TokenEvent("third", 2));
  f.RunTurns(3);
  f.endpoints["e0"]->open[0]->Write(EncodeSseEvent(kSseDone));
  f.endpoints["e0"]->open[0]->End();
  REQUIRE(f.RunUntil([&] { return stream->done; }));
  REQUIRE(stream->body().find("third") != std::string::npos);
  CHECK(stream->body().find("second") < stream->body().find("third"));
}

// Guards against a response that is sent although the permission lapsed while the endpoint worked on the request.
TEST_CASE("a response that is not streamed is held back without permission") {
  CallerFixture f;
  f.endpoints["e0"]->on_request = [&f](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    f.config.may_serve = false;
    responder->Send(200, FakeEndpoint::EchoHeaders(request, "application/json"), R"({"choices":[{"text":"secret"}]})");
  };
  const CallerResponse response = f.Run(f.Completion("x", false));
  CHECK(response.status() == 503);
  CHECK(response.body().find("permission_lapsed") != std::string::npos);
  CHECK(response.body().find("\"ran\":\"unknown\"") != std::string::npos);
}

}  // namespace
}  // namespace quetzalridge
