#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "tests/fakes/raw_server.h"
#include "tests/platform/node_cluster.h"

namespace quetzalridge::platform {
namespace {

constexpr char kIdempotentPath[] = "/lookup/";
constexpr char kOncePath[] = "/once/";
constexpr char kSignatureField[] = "x-quetzalridge-server-stamp: s\r\n";
constexpr char kSoundBody[] = "the whole body";
constexpr int kStatusServerFailed = 502;
// Does not fit the buffers of a connection, so that the instance still writes when the response arrives.
constexpr size_t kUploadBytes = 8 << 20;
constexpr size_t kSmallBytes = 16;
// Larger than what an instance keeps of a response before it passes it on.
constexpr size_t kForwardedBytes = 1 << 20;
constexpr Duration kStep = Duration::Milliseconds(5);
// The instances know a change of the registry after this time.
constexpr Duration kRegistryDelay = Duration::Seconds(1);
// An endpoint that has sent no response is not used for half a second.
constexpr Duration kAvoidance = Duration::Milliseconds(700);

// The sound response, with these lines in place of its status line.
std::string ResponseWith(const std::string& first_lines) {
  return first_lines + kSignatureField + "content-length: 14\r\n\r\n" + kSoundBody;
}
std::string SoundResponse() {
  return ResponseWith("HTTP/1.1 200 OK\r\n");
}
std::string UnframedResponse(const std::string& body) {
  return std::string("HTTP/1.1 200 OK\r\n") + kSignatureField + "\r\n" + body;
}

// An endpoint whose responses are given byte by byte. It answers probes soundly.
struct RawEndpoint {
  RawServer server;
  std::string response;
  int requests = 0;

  void Poll() {
    server.Poll([this](std::string_view received) -> std::string {
      if (received.substr(0, 4) == "GET ") {
        return "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
      }
      const bool begins = received.substr(0, 5) == "POST ";
      requests += begins ? 1 : 0;
      return begins ? response : "";
    });
  }
};

// A cluster whose plain service has only the endpoints of the test.
struct DeliveryFixture {
  Cluster cluster;
  RawEndpoint broken;
  RawEndpoint sound;

  DeliveryFixture() {
    for (int i = 0; i < kEndpoints; ++i) {
      cluster.RemoveFromRegistry(cluster.endpoint(i).id());
    }
    cluster.AddToRegistry("broken", broken.server.address());
    sound.response = SoundResponse();
    RunFor(kRegistryDelay);
  }

  void AddSoundEndpoint() {
    cluster.AddToRegistry("sound", sound.server.address());
    RunFor(kRegistryDelay);
  }

  void Start(const std::string& path, size_t request_bytes) {
    m_response.reset();
    // Requests that are alike could be taken for one that crashes its endpoints.
    cluster.SendBody(0, path + std::to_string(++m_sent), std::string(request_bytes, 'u'),
                     [this](const HttpResponse& received) { m_response = received; });
  }
  HttpResponse Finish() {
    while (!m_response.has_value()) {
      RunFor(kStep);
    }
    return *m_response;
  }
  HttpResponse Send(const std::string& path, size_t request_bytes) {
    Start(path, request_bytes);
    return Finish();
  }

  void RunFor(Duration time) {
    for (Duration ran; ran < time; ran = ran + kStep) {
      broken.Poll();
      sound.Poll();
      cluster.RunFor(kStep);
    }
  }

 private:
  int m_sent = 0;
  std::optional<HttpResponse> m_response;
};

// The client gets an error that leaves open whether its request ran, and no byte of the endpoint's response.
void CheckFails(const HttpResponse& response) {
  CHECK(response.result.outcome == CallOutcome::kWhole);
  CHECK(response.status == kStatusServerFailed);
  CHECK(FindHeader(response.headers, kSignatureHeader) == nullptr);
  CHECK(response.body.find("the whole") == std::string::npos);
}

void CheckServed(const HttpResponse& response) {
  CHECK(response.result.outcome == CallOutcome::kWhole);
  CHECK(response.status == kStatusOk);
  CHECK(response.body == kSoundBody);
  CHECK(FindHeader(response.headers, kSignatureHeader) != nullptr);
}

// Sends a request that may run once to the broken endpoint, and then a sound response, which also ends the endpoint's
// series of failures: each of them doubles the time for which it is not used.
void CheckFailsOnce(DeliveryFixture* fixture, const std::string& response, size_t request_bytes) {
  INFO(response);
  fixture->broken.response = response;
  fixture->broken.requests = 0;
  CheckFails(fixture->Send(kOncePath, request_bytes));
  CHECK(fixture->broken.requests == 1);
  fixture->RunFor(kAvoidance);
  fixture->broken.response = SoundResponse();
  CheckServed(fixture->Send(kOncePath, kSmallBytes));
}

// Guards against a client that gets a part of a body as the whole one: the endpoint answers a long request at once,
// without a length, and resets the connection while the request is still being written.
TEST_CASE("clients do not get a part of a response that is reset during their upload") {
  DeliveryFixture fixture;
  fixture.broken.response = UnframedResponse("the whole");
  fixture.broken.server.closes_with_reset = true;
  CheckFails(fixture.Send(kIdempotentPath, kUploadBytes));
  fixture.broken.requests = 0;
  CheckFails(fixture.Send(kOncePath, kUploadBytes));
  CHECK(fixture.broken.requests == 1);
  fixture.AddSoundEndpoint();
  fixture.broken.requests = 0;
  for (int i = 0; i < 20; ++i) {
    CheckServed(fixture.Send(kIdempotentPath, kUploadBytes));
  }
  CHECK(fixture.broken.requests > 0);
}

// Guards against a response that looks whole to the client although it was cut after its first part was passed on.
TEST_CASE("clients see that a response was reset during their upload after a part was passed on") {
  DeliveryFixture fixture;
  RawServer& server = fixture.broken.server;
  fixture.broken.response = UnframedResponse("the whole");
  server.keeps_connection_open = true;
  server.closes_with_reset = true;
  fixture.Start(kOncePath, kUploadBytes);
  const std::string piece(64 << 10, 'a');
  for (size_t sent = 0; sent < kForwardedBytes;) {
    fixture.RunFor(kStep);
    sent += fixture.broken.requests > 0 ? server.Send(piece) : 0;
  }
  server.Close();
  const HttpResponse response = fixture.Finish();
  CHECK(response.status == kStatusOk);
  CHECK(response.result.outcome == CallOutcome::kCut);
}

// Guards against clients that get a response with a broken head, its body in place of the response, or nothing until
// their deadline.
TEST_CASE("clients do not get responses with broken heads") {
  const std::string heads[] = {
      "HTTP/1.1 000 Status\r\n",       "HTTP/1.1 099 Status\r\n",          "HTTP/1.1 600 Status\r\n",
      "HTTP/1.1 200 OK\r\nx y: 1\r\n", "HTTP/1.1 200 OK\r\nx\x01y: 1\r\n", "HTTP/1.1 200 OK\r\ncontent-length : 9\r\n",
  };
  DeliveryFixture fixture;
  fixture.broken.server.keeps_connection_open = true;
  for (const std::string& head : heads) {
    const std::string length = "content-length: " + std::to_string(SoundResponse().size()) + "\r\n\r\n";
    CheckFailsOnce(&fixture, ResponseWith(head), kSmallBytes);
    CheckFailsOnce(&fixture, head + kSignatureField + length + SoundResponse(), kSmallBytes);
  }
  fixture.AddSoundEndpoint();
  fixture.broken.response = ResponseWith(heads[0]);
  fixture.broken.requests = 0;
  for (int i = 0; i < 20; ++i) {
    CheckServed(fixture.Send(kIdempotentPath, kSmallBytes));
  }
  CHECK(fixture.broken.requests > 0);
}

// Guards against a false promise that a request did not run, and against one that is not passed on although the
// endpoint made it early.
TEST_CASE("clients are told that their upload did not run only if a sound head says so") {
  const std::string not_run = "x-quetzalridge-not-run: 1\r\n";
  DeliveryFixture fixture;
  fixture.broken.server.closes_with_reset = true;
  for (const std::string& head : {"HTTP/1.1 000 Full\r\n" + not_run, "HTTP/1.1 503 Full\r\nx y: 1\r\n" + not_run,
                                  "HTTP/1.1 503 Full\r\nx\x01: 1\r\n" + not_run}) {
    CheckFailsOnce(&fixture, ResponseWith(head), kUploadBytes);
  }
  for (const std::string& body : {std::string("content-length: 4\r\n\r\nfull"), std::string("\r\nfull")}) {
    INFO(body);
    fixture.broken.response = "HTTP/1.1 503 Full\r\n" + not_run + body;
    const HttpResponse refused = fixture.Send(kOncePath, kUploadBytes);
    CHECK(refused.result.outcome == CallOutcome::kWhole);
    CHECK(refused.status == kStatusUnavailable);
  }
}

// Guards against sound responses that are refused together with the broken ones.
TEST_CASE("clients get early, unframed and unusual responses as their endpoint sent them") {
  DeliveryFixture fixture;
  RawServer& server = fixture.broken.server;
  // With a length, and the connection is reset.
  fixture.broken.response = SoundResponse();
  server.closes_with_reset = true;
  CheckServed(fixture.Send(kOncePath, kUploadBytes));
  // Without a length, with and without a reset after the end.
  fixture.broken.response = UnframedResponse(kSoundBody);
  server.sends_fin_first = true;
  CheckServed(fixture.Send(kOncePath, kUploadBytes));
  server.closes_with_reset = false;
  CheckServed(fixture.Send(kOncePath, kSmallBytes));
  server.sends_fin_first = false;
  // After informational responses, with an unusual field name.
  fixture.broken.response =
      ResponseWith("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0: 1\r\n");
  const HttpResponse unusual = fixture.Send(kOncePath, kSmallBytes);
  CheckServed(unusual);
  REQUIRE(FindHeader(unusual.headers, "!#$%&'*+-.^_`|~0") != nullptr);
  CHECK(*FindHeader(unusual.headers, "!#$%&'*+-.^_`|~0") == "1");
  // With unusual statuses.
  for (const int status : {226, 299, 399, 418, 451, 499, 599}) {
    INFO(status);
    fixture.broken.response = ResponseWith("HTTP/1.1 " + std::to_string(status) + " Status\r\n");
    const HttpResponse response = fixture.Send(kOncePath, kSmallBytes);
    CHECK(response.result.outcome == CallOutcome::kWhole);
    CHECK(response.status == status);
    CHECK(response.body == kSoundBody);
  }
}

}  // namespace
}  // namespace quetzalridge::platform
