#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/fakes/raw_server.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace quetzalridge {

// What one call of a reader uses. An event loop keeps its descriptor until the process ends, so many calls share one.
struct ReaderFixture {
  explicit ReaderFixture(EventLoop* event_loop) : loop(*event_loop), client(event_loop) {}

  EventLoop& loop;
  RawServer server;
  HttpClient client;
};

// A part of the product that reads HTTP responses.
struct ResponseReader {
  using Callback = std::function<void(bool taken)>;

  std::string name;
  // A response that it takes for an answer, without its length. Each field ends with a line end.
  std::string status;
  std::string fields;
  std::string body;
  // Sends one request to the server. The callback receives whether the reader took the response for an answer. The
  // result is kept until then.
  std::function<std::shared_ptr<void>(ReaderFixture*, Callback)> read;
  // A body without a length is whole when its connection ends in order.
  bool accepts_unframed_body = false;
};

// How the server ends the connection after a response.
enum class ConnectionEnd {
  kOpen,
  kFin,
  kReset,
};

struct RawResponse {
  std::string name;
  std::string bytes;
  ConnectionEnd end = ConnectionEnd::kOpen;
};

inline std::string LengthField(const std::string& body) {
  return "content-length: " + std::to_string(body.size()) + "\r\n";
}

// Valid forms of the reader's response.
inline std::vector<RawResponse> SoundResponses(const ResponseReader& reader) {
  const std::string line = "HTTP/1.1 " + reader.status + " Status\r\n";
  const std::string framed = line + reader.fields + LengthField(reader.body) + "\r\n" + reader.body;
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", reader.body.size());
  const std::string chunks = std::string(size) + "\r\n" + reader.body + "\r\n0\r\n\r\n";
  std::vector<RawResponse> responses = {
      {"with a length", framed},
      {"with a length, then a reset", framed, ConnectionEnd::kReset},
      {"in chunks", line + reader.fields + "transfer-encoding: chunked\r\n\r\n" + chunks},
      {"after informational responses",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" + framed},
      {"with unusual field names", line + "!#$%&'*+-.^_`|~: 1\r\n0: 2\r\nx-empty:\r\n" + framed.substr(line.size())}};
  if (reader.accepts_unframed_body) {
    responses.push_back({"without a length", line + reader.fields + "\r\n" + reader.body, ConnectionEnd::kFin});
  }
  return responses;
}

// Forms of the reader's response with a head that is none. The connection stays open, so that only the head can end the
// call early.
inline std::vector<RawResponse> ResponsesWithBrokenHead(const ResponseReader& reader) {
  const std::string line = "HTTP/1.1 " + reader.status + " Status\r\n";
  const std::string rest = reader.fields + LengthField(reader.body) + "\r\n" + reader.body;
  const std::string framed = line + rest;
  std::vector<RawResponse> responses = {{"bytes that are no response", std::string(64, '\x16')}};
  for (const char* status : {"000", "099", "600"}) {
    const std::string other = std::string("HTTP/1.1 ") + status + " Status\r\n";
    responses.push_back({other, other + rest});
    responses.push_back({other + "with a response as its body", other + LengthField(framed) + "\r\n" + framed});
  }
  for (const std::string& name : {std::string("x y"), std::string("x "), std::string(" x"), std::string("x\x01y"),
                                  std::string("x\0y", 3), std::string("x\x7fy")}) {
    responses.push_back({"the field name '" + name + "'", line + name + ": 1\r\n" + rest});
  }
  responses.push_back(
      {"a blank behind the name of the length",
       line + reader.fields + "content-length : " + std::to_string(reader.body.size()) + "\r\n\r\n" + reader.body});
  return responses;
}

// Forms of the reader's response that end too early.
inline std::vector<RawResponse> CutResponses(const ResponseReader& reader) {
  const std::string head = "HTTP/1.1 " + reader.status + " Status\r\n" + reader.fields;
  const std::string framed = head + LengthField(reader.body) + "\r\n" + reader.body;
  std::vector<RawResponse> responses;
  constexpr size_t kStep = 5;
  for (size_t size = framed.size() - 1; size > 0; size -= std::min(size, kStep)) {
    for (const ConnectionEnd end : {ConnectionEnd::kFin, ConnectionEnd::kReset}) {
      responses.push_back({"cut after " + std::to_string(size) + " bytes", framed.substr(0, size), end});
    }
  }
  return responses;
}

// A form of the reader's response whose end is not certain.
inline RawResponse UnframedResponseAndReset(const ResponseReader& reader) {
  return {"without a length, and reset",
          "HTTP/1.1 " + reader.status + " Status\r\n" + reader.fields + "\r\n" + reader.body, ConnectionEnd::kReset};
}

// Whether the reader takes this response for an answer.
inline bool Takes(EventLoop* loop, const ResponseReader& reader, const RawResponse& response) {
  ReaderFixture fixture(loop);
  fixture.server.keeps_connection_open = response.end == ConnectionEnd::kOpen;
  // Closing alone would send a reset if the request is not read to its end.
  fixture.server.sends_fin_first = response.end == ConnectionEnd::kFin;
  fixture.server.closes_with_reset = response.end == ConnectionEnd::kReset;
  std::optional<bool> taken;
  const std::shared_ptr<void> call = reader.read(&fixture, [&taken](bool result) { taken = result; });
  while (!taken.has_value()) {
    fixture.server.Poll(fixture.server.requests == 0 ? response.bytes : "");
    fixture.loop.RunOnce(Duration::Milliseconds(1));
  }
  return *taken;
}

inline void CheckTakesAll(const ResponseReader& reader, const std::vector<RawResponse>& responses) {
  EventLoop loop;
  for (const RawResponse& response : responses) {
    INFO(reader.name << ": " << response.name);
    CHECK(Takes(&loop, reader, response));
  }
}

inline void CheckTakesNone(const ResponseReader& reader, const std::vector<RawResponse>& responses) {
  EventLoop loop;
  for (const RawResponse& response : responses) {
    INFO(reader.name << ": " << response.name);
    CHECK_FALSE(Takes(&loop, reader, response));
  }
}

inline void CheckReader(const ResponseReader& reader) {
  CheckTakesAll(reader, SoundResponses(reader));
  CheckTakesNone(reader, ResponsesWithBrokenHead(reader));
  CheckTakesNone(reader, CutResponses(reader));
  CheckTakesNone(reader, {UnframedResponseAndReset(reader)});
}

}  // namespace quetzalridge
