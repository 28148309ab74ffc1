#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "base/random.h"
#include "tests/fakes/raw_server.h"
#include "transport/http_client.h"

namespace quetzalridge {
namespace {

// Guards against an endpoint's malformed answer that crashes the process, leaves a call without an end, or is reported
// as a whole answer with other bytes than it declares.
TEST_CASE("mutated answers end each call with a typed outcome") {
  EventLoop loop;
  HttpClient client(&loop);
  RawServer server;
  const std::string inputs[] = {"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-request-id: a\r\n\r\nhello",
                                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                                "HTTP/1.1 200 OK\r\n\r\nno end"};
  Random random(29);
  int whole = 0;
  for (int round = 0; round < 300; ++round) {
    std::string text = inputs[random.Below(3)];
    for (uint64_t change = random.Below(3); change > 0; --change) {
      const size_t at = random.Below(text.size());
      text[at] = random.Chance(0.5) ? static_cast<char>(random.Below(256)) : "\r\n 0f:"[random.Below(6)];
    }
    text.resize(1 + random.Below(2 * text.size()) % text.size());
    HttpCall call;
    call.address = server.address();
    call.fresh_connection = true;
    call.head_timeout = Duration::Seconds(20);
    bool done = false;
    client.Fetch(call, [&](const HttpResponse& response) {
      done = true;
      whole += response.result.outcome == CallOutcome::kWhole ? 1 : 0;
    });
    for (int turn = 0; turn < 2000 && !done; ++turn) {
      server.Poll(text);
      loop.RunOnce(Duration::Milliseconds(5));
    }
    INFO(text);
    REQUIRE(done);
  }
  INFO(whole);
  CHECK(whole < 300);
}

// Guards against a call that waits for a body which a 304 never has, whatever length it names.
TEST_CASE("a 304 ends with its head") {
  for (const std::string& length :
       {std::string(), std::string("content-length: 201000\r\n"), std::string("content-length: 0\r\n")}) {
    EventLoop loop;
    HttpClient client(&loop);
    RawServer server;
    server.keeps_connection_open = true;
    HttpCall call;
    call.address = server.address();
    call.idle_timeout = Duration::Seconds(2);
    std::optional<HttpResponse> response;
    client.Fetch(std::move(call), [&](const HttpResponse& r) { response = r; });
    while (!response.has_value()) {
      server.Poll("HTTP/1.1 304 Not Modified\r\netag: \"1\"\r\n" + length + "\r\n");
      loop.RunOnce(Duration::Milliseconds(10));
    }
    INFO(length);
    CHECK(response->status == 304);
    CHECK(response->result.outcome == CallOutcome::kWhole);
    CHECK_FALSE(response->result.timed_out);
  }
}

}  // namespace
}  // namespace quetzalridge
