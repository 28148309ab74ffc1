#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "base/random.h"
#include "transport/http_client.h"

namespace quetzalridge {
namespace {

// A server in the test process that answers each connection with fixed bytes and closes it, unless told otherwise.
class RawServer {
 public:
  RawServer() : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(m_fd, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(m_fd, 16) == 0);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
  }
  ~RawServer() { close(m_fd); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  void Poll(const std::string& answer) {
    if (m_connection < 0) {
      m_connection = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK);
    }
    char request[4096];
    if (m_connection < 0 || recv(m_connection, request, sizeof(request), 0) <= 0) {
      return;
    }
    send(m_connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    if (keeps_open) {
      return;
    }
    close(m_connection);
    m_connection = -1;
  }

  bool keeps_open = false;

  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  int m_fd;
  int m_port = 0;
  int m_connection = -1;
};

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
    server.keeps_open = true;
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
