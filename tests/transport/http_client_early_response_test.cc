#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>

#include "tests/fakes/raw_server.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace quetzalridge {
namespace {

// Does not fit the buffers of a connection, so that the client still writes when the response arrives.
constexpr size_t kUploadBytes = 32 << 20;

constexpr char kUnframedResponse[] = "HTTP/1.1 200 OK\r\n\r\npart of the body";
constexpr char kUnframedBody[] = "part of the body";

// A server that responds to an upload while the client still sends it.
struct UploadFixture {
  EventLoop loop;
  RawServer server;
  HttpClient client{&loop};
  std::optional<HttpResponse> response;

  void Start() {
    HttpCall call;
    call.address = server.address();
    call.method = "POST";
    call.body = std::string(kUploadBytes, 'u');
    call.accepts_unframed_body = true;
    call.head_timeout = Duration::Seconds(20);
    call.idle_timeout = Duration::Seconds(20);
    client.Fetch(std::move(call), [this](const HttpResponse& received) { response = received; });
  }
  void Turn(const std::string& answer) {
    server.Poll(answer);
    loop.RunOnce(Duration::Milliseconds(1));
  }
  const HttpResponse& Finish(const std::string& answer) {
    while (!response.has_value()) {
      Turn(answer);
    }
    return *response;
  }
};

// Guards against a part of a body that is passed on as the whole one. A write after the reset was the only call to get
// its error, and the next read reported an orderly close.
TEST_CASE("a body without length is cut when the connection is reset while the request is being written") {
  UploadFixture fixture;
  fixture.server.closes_with_reset = true;
  fixture.Start();
  const HttpResponse& response = fixture.Finish(kUnframedResponse);
  CHECK(response.result.outcome == CallOutcome::kCut);
  CHECK_FALSE(response.result.timed_out);
}

TEST_CASE("a body without length is cut when the connection is reset some time after its last piece") {
  UploadFixture fixture;
  fixture.server.closes_with_reset = true;
  fixture.server.keeps_connection_open = true;
  fixture.Start();
  while (fixture.server.requests == 0) {
    fixture.Turn(kUnframedResponse);
  }
  for (int turn = 0; turn < 20; ++turn) {
    fixture.loop.RunOnce(Duration::Milliseconds(1));
  }
  REQUIRE_FALSE(fixture.response.has_value());
  fixture.server.Close();
  CHECK(fixture.Finish("").result.outcome == CallOutcome::kCut);
}

// The head alone is no response either: its empty body could be the beginning of a longer one.
TEST_CASE("an empty body without length is cut when the connection is reset while the request is being written") {
  UploadFixture fixture;
  fixture.server.closes_with_reset = true;
  fixture.Start();
  CHECK(fixture.Finish("HTTP/1.1 200 OK\r\n\r\n").result.outcome == CallOutcome::kCut);
}

TEST_CASE("a connection that is reset before a head, while the request is being written, brings no answer") {
  UploadFixture fixture;
  fixture.server.closes_with_reset = true;
  fixture.Start();
  CHECK(fixture.Finish("HTTP/1.1 200 OK\r\n").result.outcome == CallOutcome::kNoAnswer);
}

// Guards against early responses that are refused although they are whole: servers may answer without reading a long
// request.
TEST_CASE("a response with a known end is whole although the connection is reset while the request is being written") {
  const std::string answers[] = {
      "HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"};
  for (const std::string& answer : answers) {
    INFO(answer);
    UploadFixture fixture;
    fixture.server.closes_with_reset = true;
    fixture.Start();
    const HttpResponse& response = fixture.Finish(answer);
    CHECK(response.result.outcome == CallOutcome::kWhole);
    CHECK(response.body == "whole");
  }
}

// A server that closes a connection with unread bytes sends a reset, also after its FIN.
TEST_CASE("a body without length is whole when a FIN ends it while the request is being written") {
  for (const bool reset_follows : {false, true}) {
    INFO(reset_follows);
    UploadFixture fixture;
    fixture.server.sends_fin_first = true;
    fixture.server.keeps_connection_open = !reset_follows;
    fixture.server.closes_with_reset = reset_follows;
    fixture.Start();
    const HttpResponse& response = fixture.Finish(kUnframedResponse);
    CHECK(response.result.outcome == CallOutcome::kWhole);
    CHECK(response.body == kUnframedBody);
  }
}

// Guards against the rest of a long request that arrives where the server expects the next request.
TEST_CASE("a connection whose request was not wholly written is not used again") {
  UploadFixture fixture;
  fixture.server.keeps_connection_open = true;
  fixture.Start();
  while (!fixture.response.has_value()) {
    fixture.Turn(fixture.server.requests == 0 ? "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole" : "");
  }
  CHECK(fixture.response->result.outcome == CallOutcome::kWhole);
  fixture.server.keeps_connection_open = false;
  fixture.server.Close();
  fixture.response.reset();
  HttpCall next;
  next.address = fixture.server.address();
  fixture.client.Fetch(std::move(next), [&](const HttpResponse& received) { fixture.response = received; });
  CHECK(fixture.Finish("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext").body == "next");
  CHECK(fixture.server.connections == 2);
}

struct BodyRecorder : HttpHandler {
  std::string body;
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override {
    body = std::move(request.body);
    responder->Send(200, {}, "");
  }
};

// Guards against requests that are written in several pieces and arrive changed.
TEST_CASE("a request that does not fit the buffers of the connection arrives unchanged") {
  EventLoop loop;
  BodyRecorder handler;
  HttpServerOptions options;
  options.max_body_bytes = 2 * kUploadBytes;
  HttpServer server(&loop, options, &handler);
  HttpClient client(&loop);
  std::string body;
  for (uint32_t number = 0; body.size() < kUploadBytes; ++number) {
    body += std::to_string(number) + " ";
  }
  HttpCall call;
  call.address = "127.0.0.1:" + std::to_string(server.port());
  call.method = "POST";
  call.body = body;
  std::optional<HttpResponse> response;
  client.Fetch(std::move(call), [&response](const HttpResponse& received) { response = received; });
  while (!response.has_value()) {
    loop.RunOnce(Duration::Milliseconds(10));
  }
  CHECK(response->result.outcome == CallOutcome::kWhole);
  // Not compared by CHECK itself, which would print both.
  const bool unchanged = handler.body == body;
  CHECK(unchanged);
}

}  // namespace
}  // namespace quetzalridge
