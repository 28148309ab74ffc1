#include "transport/event_loop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "transport/http_client.h"
#include "transport/http_server.h"

namespace quetzalridge {
namespace {

constexpr Duration kLongWait = Duration::Seconds(60);

// Answers each request of one connection on its own thread, so that nothing but its answers wakes the loop under test.
class OneConnectionServer {
 public:
  OneConnectionServer() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(m_listener, 1) == 0);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { Serve(); });
  }
  ~OneConnectionServer() {
    shutdown(m_listener, SHUT_RDWR);
    shutdown(m_connection, SHUT_RDWR);
    m_thread.join();
    close(m_connection);
    close(m_listener);
  }
  OneConnectionServer(const OneConnectionServer&) = delete;
  OneConnectionServer& operator=(const OneConnectionServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  void Serve() {
    static const std::string kAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";
    m_connection = accept(m_listener, nullptr, nullptr);
    char buffer[4096];
    while (recv(m_connection, buffer, sizeof(buffer), 0) > 0) {
      send(m_connection, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL);
    }
  }

  int m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int m_connection = -1;
  int m_port = 0;
  std::thread m_thread;
};

// Guards against a loop that sleeps through the answer to a call which a timer made.
TEST_CASE("the answer to a call that a timer made wakes the loop", "[transport]") {
  OneConnectionServer server;
  EventLoop loop;
  HttpClient client(&loop);
  std::vector<int> statuses;
  const auto fetch = [&] {
    HttpCall call;
    call.address = server.address();
    // Ends the test when the loop does not see the answer.
    call.head_timeout = Duration::Seconds(5);
    client.Fetch(std::move(call), [&](const HttpResponse& response) { statuses.push_back(response.status); });
  };
  // The first call opens the connection; the second one finds it in the pool and writes at once.
  for (size_t calls = 1; calls <= 2; ++calls) {
    const std::unique_ptr<Timer> timer = loop.After(Duration(), fetch);
    while (statuses.size() < calls) {
      loop.RunOnce(kLongWait);
    }
  }
  CHECK(statuses == std::vector<int>{200, 200});
}

class SlowHandler : public HttpHandler {
 public:
  void OnRequest(HttpRequest, std::shared_ptr<HttpResponder> responder) override {
    responder->Send(200, {{"content-type", "text/plain"}}, "x");
  }
};

class SilentObserver : public HttpCallObserver {
 public:
  void OnHead(int, const HttpHeaders&) override {}
  void OnBody(std::string_view) override {}
  void OnEnd(const CallResult&) override {}
};

// Guards against a socket that is freed while the report of its write is still due: one timer wrote a request, and the
// next timer of the same turn cancelled it. The process crashed or span for ever.
TEST_CASE("a call can be cancelled in the turn that wrote it", "[transport]") {
  EventLoop loop;
  SlowHandler handler;
  HttpServer server(&loop, {}, &handler);
  HttpClient client(&loop);
  SilentObserver observer;
  HttpCall call;
  call.address = "127.0.0.1:" + std::to_string(server.port());
  int answered = 0;
  for (int round = 0; round < 50; ++round) {
    // Fills the pool, so that the call of the first timer writes at once.
    bool done = false;
    client.Fetch(call, [&](const HttpResponse& response) {
      answered += response.status == 200 ? 1 : 0;
      done = true;
    });
    while (!done) {
      loop.RunOnce(Duration::Milliseconds(20));
    }
    std::unique_ptr<HttpExchange> exchange;
    bool cancelled = false;
    const auto write = loop.After(Duration(), [&] { exchange = client.Start(call, &observer); });
    const auto cancel = loop.After(Duration(), [&] {
      exchange.reset();
      cancelled = true;
    });
    while (!cancelled) {
      loop.RunOnce(Duration::Milliseconds(20));
    }
  }
  CHECK(answered == 50);
}

}  // namespace
}  // namespace quetzalridge
