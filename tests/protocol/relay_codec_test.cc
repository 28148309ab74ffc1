#include "protocol/relay_codec.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"

namespace quetzalridge {
namespace {

EndpointCall Call() {
  EndpointCall call;
  call.endpoint_id = "i-7f3a";
  call.address = "10.0.0.1:80";
  call.method = "PUT";
  call.host = "a.example";
  call.target = "/x?y=1";
  call.headers = {{"a", "1"}, {"b", std::string("\0\xff", 2)}};
  call.body = std::string("body\0\r\n\xff", 8);
  call.request_id = "r1";
  call.workspace = "w";
  call.time_left = Duration::Milliseconds(1200);
  call.head_timeout = Duration::Seconds(4);
  call.idle_timeout = Duration::Seconds(3);
  call.resume_after = 17;
  call.reads_events = true;
  call.is_repeatable = true;
  return call;
}

// Every message that is shorter, or has one other byte, must be rejected or read, and never end the process.
template <typename Decode>
void Damage(const std::string& message, const Decode& decode) {
  for (size_t size = 0; size < message.size(); ++size) {
    CHECK(!decode(message.substr(0, size)).has_value());
  }
  Random random(1);
  for (int i = 0; i < 5000; ++i) {
    std::string damaged = message;
    damaged[random.Below(damaged.size())] = static_cast<char>(random.Below(256));
    decode(damaged);
  }
}

TEST_CASE("a relayed call is read as it was written, with every byte of headers and body") {
  const EndpointCall call = Call();
  const std::optional<EndpointCall> read = DecodeRelayedCall(EncodeRelayedCall(call));
  REQUIRE(read.has_value());
  CHECK(read->endpoint_id == call.endpoint_id);
  // The other instance uses the address that it knows.
  CHECK(read->address.empty());
  CHECK(read->method == call.method);
  CHECK(read->host == call.host);
  CHECK(read->target == call.target);
  REQUIRE(read->headers.size() == 2);
  CHECK(read->headers[1].value == call.headers[1].value);
  CHECK(read->body == call.body);
  CHECK(read->request_id == call.request_id);
  CHECK(read->workspace == call.workspace);
  CHECK(read->time_left == call.time_left);
  CHECK(read->head_timeout == call.head_timeout);
  CHECK(read->idle_timeout == call.idle_timeout);
  CHECK(read->resume_after == call.resume_after);
  CHECK(read->reads_events);
  CHECK(read->is_repeatable);
}

TEST_CASE("damaged messages between instances are rejected and do not end the process") {
  Damage(EncodeRelayedCall(Call()), DecodeRelayedCall);
  EndpointResponseHead head;
  head.status = 200;
  head.headers = {{"a", "1"}};
  head.model_version = 3;
  head.rate_limit = 2.5;
  head.signature = "s";
  Damage(EncodeResponseHead(head), DecodeResponseHead);
  StreamEvent event;
  event.id = 4;
  event.data = "data";
  Damage(EncodeStreamEvent(event), DecodeStreamEvent);
  EndpointCallResult result;
  result.outcome = EndpointCallOutcome::kTruncated;
  result.detail = "cut";
  Damage(EncodeCallResult(result), DecodeCallResult);
}

TEST_CASE("the parts of a response are read as they were written") {
  EndpointResponseHead head;
  head.status = 421;
  head.headers = {{"x", "1"}, {"y", ""}};
  head.not_run = true;
  head.wrong_endpoint = true;
  head.model_version = 9;
  head.rate_limit = 1.25;
  head.leaving = true;
  head.signature = "3e1b.07";
  const std::optional<EndpointResponseHead> read = DecodeResponseHead(EncodeResponseHead(head));
  REQUIRE(read.has_value());
  CHECK(read->status == 421);
  CHECK(read->headers.size() == 2);
  CHECK(read->not_run);
  CHECK(read->wrong_endpoint);
  CHECK(read->model_version == 9);
  CHECK(read->rate_limit == 1.25);
  CHECK(read->leaving);
  CHECK(read->signature == "3e1b.07");
  for (const EndpointCallOutcome outcome : {EndpointCallOutcome::kComplete, EndpointCallOutcome::kNotSent,
                                            EndpointCallOutcome::kNoResponse, EndpointCallOutcome::kTruncated}) {
    EndpointCallResult result;
    result.outcome = outcome;
    result.connection_failed = true;
    const std::optional<EndpointCallResult> decoded = DecodeCallResult(EncodeCallResult(result));
    REQUIRE(decoded.has_value());
    CHECK(decoded->outcome == outcome);
    CHECK(decoded->connection_failed);
    CHECK(!decoded->timed_out);
    CHECK(!decoded->path_failed);
  }
}

// Guards against a head that no endpoint may send and that reaches a client through another instance.
TEST_CASE("a head with an invalid status or field is rejected") {
  const auto is_read = [](int status, const HttpHeader& header) {
    EndpointResponseHead head;
    head.status = status;
    head.headers = {{"a", "1"}, header};
    return DecodeResponseHead(EncodeResponseHead(head)).has_value();
  };
  const HttpHeader sound = {"!#$%&'*+-.^_`|~09az", "\xc3\xa9\t\"b\""};
  for (const int status : {200, 226, 299, 399, 421, 451, 599}) {
    CHECK(is_read(status, sound));
  }
  for (const int status : {0, 99, 100, 101, 199, 600, 999}) {
    INFO(status);
    CHECK_FALSE(is_read(status, sound));
  }
  for (const std::string& name :
       {std::string(), std::string("x y"), std::string("x "), std::string("x\ny"), std::string("x\x01"),
        std::string("x\0", 2), std::string("x:"), std::string("\xc3")}) {
    INFO(name);
    CHECK_FALSE(is_read(200, {name, "1"}));
  }
  for (const std::string& value :
       {std::string("1\r\nx: 2"), std::string("1\n2"), std::string("1\0", 2), std::string("\x7f")}) {
    INFO(value);
    CHECK_FALSE(is_read(200, {"x", value}));
  }
}

TEST_CASE("frames are found however the bytes are split, and other bytes are no frames") {
  const std::string bytes = EncodeRelayFrame(RelayFrameType::kBody, "abc") +
                            EncodeRelayFrame(RelayFrameType::kKeepAlive, "") +
                            EncodeRelayFrame(RelayFrameType::kEnd, std::string(300, 'x'));
  for (size_t piece = 1; piece < bytes.size(); ++piece) {
    RelayFrameParser parser;
    std::vector<RelayFrame> frames;
    for (size_t position = 0; position < bytes.size(); position += piece) {
      for (RelayFrame& frame : parser.Feed(bytes.substr(position, piece))) {
        frames.push_back(std::move(frame));
      }
    }
    REQUIRE(frames.size() == 3);
    CHECK(frames[0].content == "abc");
    CHECK(frames[2].content.size() == 300);
    CHECK(!parser.malformed());
  }
  RelayFrameParser other;
  CHECK(other.Feed("HTTP/1.1 200 OK\r\n").empty());
  CHECK(other.malformed());
  RelayFrameParser endless;
  CHECK(endless.Feed("B\xff\xff\xff\xff").empty());
  CHECK(endless.malformed());
}

}  // namespace
}  // namespace quetzalridge
