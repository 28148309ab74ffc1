#include "platform/endpoint_client.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>

#include "tests/fakes/raw_server.h"

namespace quetzalridge::platform {
namespace {

constexpr char kEventHead[] = "HTTP/1.1 200 OK\r\nx-quetzalridge-server-stamp: s\r\n\r\n";

class Recorder : public EndpointCallObserver {
 public:
  void OnHead(const EndpointResponseHead& received) override { head = received; }
  void OnBody(std::string_view data) override { body_bytes += data.size(); }
  void OnEvent(const StreamEvent&) override { ++events; }
  void OnEnd(const EndpointCallResult& received) override { result = received; }

  std::optional<EndpointResponseHead> head;
  size_t body_bytes = 0;
  int events = 0;
  std::optional<EndpointCallResult> result;
};

struct ClientFixture {
  EventLoop loop;
  RawServer server;
  HttpClient http{&loop};
  EndpointClient client{&http, &loop.clock()};
  Recorder recorder;
  std::unique_ptr<EndpointExchange> exchange;

  void Start(bool reads_events, Duration idle_timeout) {
    server.keeps_connection_open = true;
    EndpointCall call;
    call.endpoint_id = "e";
    call.address = server.address();
    call.host = "x.example";
    call.target = "/";
    call.request_id = "r";
    call.head_timeout = Duration::Seconds(60);
    call.idle_timeout = idle_timeout;
    call.reads_events = reads_events;
    exchange = client.Start(std::move(call), &recorder);
  }
  // Sends `start` as the response, then `repeated` at each turn of the loop, until the call ends. Returns the bytes
  // sent after `start`.
  size_t SendWithoutEnd(const std::string& start, const std::string& repeated) {
    constexpr size_t kMaxSent = 32 << 20;
    size_t sent = 0;
    while (!recorder.result.has_value() && sent < kMaxSent) {
      server.Poll(start);
      sent += server.requests > 0 ? server.Send(repeated) : 0;
      loop.RunOnce(Duration::Milliseconds(1));
    }
    return sent;
  }
};

TEST_CASE("the signature of a response is reported, and a success without one ends the call at once") {
  ClientFixture fixture;
  fixture.Start(false, Duration::Seconds(60));
  fixture.SendWithoutEnd("HTTP/1.1 200 OK\r\nx-quetzalridge-server-stamp: 3e1b.07\r\ncontent-length: 2\r\n\r\nok", "");
  REQUIRE(fixture.recorder.result.has_value());
  CHECK(fixture.recorder.result->outcome == EndpointCallOutcome::kComplete);
  CHECK(fixture.recorder.head->signature == "3e1b.07");

  ClientFixture unsigned_fixture;
  unsigned_fixture.Start(false, Duration::Seconds(60));
  unsigned_fixture.SendWithoutEnd("HTTP/1.1 200 OK\r\n\r\n", std::string(1 << 10, 'a'));
  REQUIRE(unsigned_fixture.recorder.result.has_value());
  CHECK(unsigned_fixture.recorder.result->outcome == EndpointCallOutcome::kTruncated);
  CHECK_FALSE(unsigned_fixture.recorder.head.has_value());
  CHECK(unsigned_fixture.recorder.body_bytes == 0);
}

// Guards against items of batch jobs that wait for minutes at an endpoint that sends bytes, but no events.
TEST_CASE("a stream that sends no event ends after its idle timeout, whatever bytes arrive") {
  ClientFixture fixture;
  fixture.Start(true, Duration::Milliseconds(200));
  fixture.SendWithoutEnd(std::string(kEventHead) + "id: 1\ndata: a\n\n", ":");
  REQUIRE(fixture.recorder.result.has_value());
  CHECK(fixture.recorder.events == 1);
  CHECK(fixture.recorder.result->outcome == EndpointCallOutcome::kTruncated);
  CHECK(fixture.recorder.result->timed_out);
}

// Guards against slow but sound streams that are cut.
TEST_CASE("a stream whose events arrive in small pieces within the idle timeout is read to its end") {
  ClientFixture fixture;
  fixture.Start(true, Duration::Milliseconds(400));
  const std::string event = "data: abcdefgh\n\n";
  fixture.server.Poll("");
  for (int number = 0; number < 6; ++number) {
    for (const char c : event) {
      for (int turn = 0; turn < 5; ++turn) {
        fixture.server.Poll(kEventHead);
        fixture.loop.RunOnce(Duration::Milliseconds(1));
      }
      fixture.server.Send(std::string(1, c));
    }
  }
  CHECK_FALSE(fixture.recorder.result.has_value());
  for (int turn = 0; turn < 20; ++turn) {
    fixture.loop.RunOnce(Duration::Milliseconds(1));
  }
  CHECK(fixture.recorder.events == 6);
}

// Guards against memory and time that an endless event or error body would take.
TEST_CASE("an event without end and an error body without end are cut off") {
  ClientFixture fixture;
  fixture.Start(true, Duration::Seconds(60));
  fixture.SendWithoutEnd(std::string(kEventHead) + "data: ", std::string(16 << 10, 'a'));
  REQUIRE(fixture.recorder.result.has_value());
  CHECK(fixture.recorder.result->outcome == EndpointCallOutcome::kTruncated);
  CHECK(fixture.recorder.events == 0);

  ClientFixture error_fixture;
  error_fixture.Start(true, Duration::Seconds(60));
  error_fixture.SendWithoutEnd("HTTP/1.1 503 Full\r\nx-quetzalridge-not-run: 1\r\n\r\n", std::string(16 << 10, 'a'));
  REQUIRE(error_fixture.recorder.result.has_value());
  CHECK(error_fixture.recorder.head->not_run);
  CHECK(error_fixture.recorder.result->outcome == EndpointCallOutcome::kTruncated);
}

// Guards against processes that run out of memory when an endpoint sends lines that belong to no event (review case 1).
TEST_CASE("a stream of lines without an event is cut off long before its idle timeout") {
  for (const char* line : {"nan\n", ": a\n", "data\n", "\n"}) {
    INFO(line);
    ClientFixture fixture;
    fixture.Start(true, Duration::Seconds(60));
    std::string lines;
    while (lines.size() < 16 << 10) {
      lines += line;
    }
    fixture.SendWithoutEnd(kEventHead, lines);
    REQUIRE(fixture.recorder.result.has_value());
    CHECK(fixture.recorder.result->outcome == EndpointCallOutcome::kTruncated);
    CHECK(fixture.recorder.events == 0);
  }
}

// Guards against items that stand still at an endpoint whose error response comes byte by byte and does not end.
TEST_CASE("an error response to a call for events ends after its idle timeout, whatever bytes arrive") {
  ClientFixture fixture;
  fixture.Start(true, Duration::Milliseconds(200));
  fixture.SendWithoutEnd("HTTP/1.1 500 Error\r\n\r\n", "a");
  REQUIRE(fixture.recorder.result.has_value());
  CHECK(fixture.recorder.result->outcome == EndpointCallOutcome::kTruncated);
  CHECK(fixture.recorder.result->timed_out);
}

TEST_CASE("the rate limit of a response is reported, and a malformed one is ignored") {
  const std::pair<const char*, std::optional<double>> cases[] = {
      {"4.5", 4.5}, {"0", std::nullopt}, {"-1", std::nullopt}, {"many", std::nullopt}, {"inf", std::nullopt}};
  for (const auto& [text, limit] : cases) {
    INFO(text);
    ClientFixture fixture;
    fixture.Start(true, Duration::Seconds(60));
    const std::string head = std::string("HTTP/1.1 200 OK\r\nx-quetzalridge-server-stamp: s\r\nserver-limit: ") + text +
                             "\r\ncontent-length: 0\r\n\r\n";
    for (int i = 0; i < 1000 && !fixture.recorder.head.has_value(); ++i) {
      fixture.server.Poll(head);
      fixture.loop.RunOnce(Duration::Milliseconds(1));
    }
    REQUIRE(fixture.recorder.head.has_value());
    CHECK(fixture.recorder.head->rate_limit == limit);
  }
}

TEST_CASE("a response says that its endpoint leaves, whatever its status and however it ends") {
  const std::pair<const char*, bool> cases[] = {
      {"HTTP/1.1 200 OK\r\nx-quetzalridge-server-stamp: s\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n", true},
      {"HTTP/1.1 503 Full\r\nx-quetzalridge-not-run: 1\r\nServer-Leaving: 1\r\ncontent-length: 0\r\n\r\n", true},
      {"HTTP/1.1 500 Error\r\nserver-leaving: 1\r\ncontent-length: 100\r\n\r\ncut", true},
      {"HTTP/1.1 200 OK\r\nx-quetzalridge-server-stamp: s\r\nserver-leaving: 1\r\n\r\nid: 1\n", true},
      {"HTTP/1.1 200 OK\r\nx-quetzalridge-server-stamp: s\r\ncontent-length: 0\r\n\r\n", false},
      {"HTTP/1.1 200 OK\r\nx-quetzalridge-server-stamp: s\r\nserver-leaving: 0\r\ncontent-length: 0\r\n\r\n", false},
      // Another endpoint has the address.
      {"HTTP/1.1 421 Other\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n", false}};
  for (const auto& [head, leaving] : cases) {
    INFO(head);
    ClientFixture fixture;
    fixture.Start(true, Duration::Seconds(60));
    for (int i = 0; i < 1000 && !fixture.recorder.head.has_value(); ++i) {
      fixture.server.Poll(head);
      fixture.loop.RunOnce(Duration::Milliseconds(1));
    }
    REQUIRE(fixture.recorder.head.has_value());
    CHECK(fixture.recorder.head->leaving == leaving);
  }
}

}  // namespace
}  // namespace quetzalridge::platform
