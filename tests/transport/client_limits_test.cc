#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_server.h"

namespace quetzalridge {
namespace {

constexpr size_t kKb = 1 << 10;
constexpr size_t kMb = 1 << 20;

class Handler : public HttpHandler {
 public:
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override {
    ++requests;
    last_body_bytes = request.body.size();
    if (request.path == "/hold") {
      held.push_back(responder);
      return;
    }
    responder->Send(200, {}, request.path == "/large" ? std::string(large_bytes, 'x') : "ok");
  }

  int requests = 0;
  size_t last_body_bytes = 0;
  size_t large_bytes = 4 * kMb;
  std::vector<std::shared_ptr<HttpResponder>> held;
};

// A client that sends and reads as much as the sockets take.
class Client {
 public:
  explicit Client(int port) : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    const int size = 64 << 10;
    setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    fcntl(m_fd, F_SETFL, O_NONBLOCK);
  }
  ~Client() { close(m_fd); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Queue(const std::string& data) { m_unsent += data; }
  void Step(bool reads = true) {
    if (m_sent < m_unsent.size()) {
      const ssize_t size = send(m_fd, m_unsent.data() + m_sent, m_unsent.size() - m_sent, MSG_NOSIGNAL);
      m_sent += size > 0 ? static_cast<size_t>(size) : 0;
      m_closed = m_closed || (size < 0 && errno != EAGAIN);
    }
    if (!reads) {
      return;
    }
    char buffer[65536];
    const ssize_t size = recv(m_fd, buffer, sizeof(buffer), 0);
    if (size > 0) {
      received.append(buffer, static_cast<size_t>(size));
    }
    m_closed = m_closed || size == 0 || (size < 0 && errno != EAGAIN);
  }
  bool all_sent() const { return m_sent == m_unsent.size(); }
  bool closed() const { return m_closed; }

  std::string received;

 private:
  int m_fd;
  std::string m_unsent;
  size_t m_sent = 0;
  bool m_closed = false;
};

std::string Announced(size_t announced, size_t sent, const std::string& path = "/") {
  return "POST " + path + " HTTP/1.1\r\nhost: x\r\ncontent-length: " + std::to_string(announced) + "\r\n\r\n" +
         std::string(sent, 'x');
}

std::string Chunked(size_t bytes, size_t chunk, bool ends) {
  std::string text = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
  char size[32];
  for (size_t sent = 0; sent < bytes; sent += chunk) {
    const size_t part = std::min(chunk, bytes - sent);
    std::snprintf(size, sizeof(size), "%zx\r\n", part);
    text += size + std::string(part, 'x') + "\r\n";
  }
  return ends ? text + "0\r\n\r\n" : text;
}

struct Fixture {
  explicit Fixture(HttpServerOptions options, size_t limit = 8 * kMb)
      : memory(limit), server(&loop, WithMemory(std::move(options), &memory), &handler) {}
  static HttpServerOptions WithMemory(HttpServerOptions options, MemoryBudget* memory) {
    options.memory = memory;
    options.socket_buffer_bytes = 64 << 10;
    return options;
  }

  Client* Connect() {
    clients.push_back(std::make_unique<Client>(server.port()));
    return clients.back().get();
  }
  // Lets all clients send and read, and records the largest sum that the connections held.
  bool Until(const std::function<bool()>& condition, bool reads = true) {
    for (int turn = 0; turn < 5000 && !condition(); ++turn) {
      for (const auto& client : clients) {
        client->Step(reads);
      }
      loop.RunOnce(Duration::Milliseconds(1));
    }
    return condition();
  }
  std::string Ask(const std::string& request, const std::string& end) {
    Client* client = Connect();
    client->Queue(request);
    Until([&] { return client->closed() || client->received.find(end) != std::string::npos; });
    return client->received;
  }

  EventLoop loop;
  MemoryBudget memory;
  Handler handler;
  HttpServer server;
  std::vector<std::unique_ptr<Client>> clients;
};

HttpServerOptions LargeBodies() {
  HttpServerOptions options;
  options.max_body_bytes = 4 * kMb;
  return options;
}

// Guards against memory that grows with the number of clients which stop just short of the end of a body.
TEST_CASE("bodies that stop short of their end are ended in favour of requests that make progress") {
  for (const bool chunked : {true, false}) {
    Fixture f(LargeBodies());
    std::vector<Client*> stopped;
    for (int i = 0; i < 12; ++i) {
      stopped.push_back(f.Connect());
      stopped.back()->Queue(chunked ? Chunked(2 * kMb, 64 * kKb, false) : Announced(2 * kMb + 10, 2 * kMb));
    }
    REQUIRE(f.Until([&] { return f.server.counts().closed_for_memory >= 8; }));
    CHECK(f.memory.peak() < 9 * kMb);
    const std::string answer = f.Ask(Announced(kMb, kMb), "ok");
    INFO(answer);
    CHECK(answer.find("HTTP/1.1 200") == 0);
    int refused = 0;
    for (const Client* client : stopped) {
      refused +=
          client->received.find("HTTP/1.1 503") == 0 && client->received.find("retry-after:") != std::string::npos;
      CHECK(client->received.find("200") == std::string::npos);
    }
    CHECK(refused > 0);
    CHECK(f.handler.requests == 1);
  }
}

// Guards against a slow client that is ended in favour of others which have stopped, and against a byte now and then
// that counts as progress.
TEST_CASE("a slow client that makes progress outlasts those that stand still or trickle") {
  Fixture f(LargeBodies());
  Client* slow = f.Connect();
  slow->Queue(Announced(4 * kMb, kMb));
  Client* stopped = f.Connect();
  stopped->Queue(Announced(kMb, 300 * kKb));
  Client* trickling = f.Connect();
  trickling->Queue(Announced(kMb, 300 * kKb));
  Client* large = f.Connect();
  large->Queue(Announced(4 * kMb, 0));
  TimePoint last = f.loop.clock().Now();
  const TimePoint pressure_at = last + kHolderStallTime + Duration::Milliseconds(500);
  REQUIRE(f.Until([&] {
    if (f.loop.clock().Now() - last >= Duration::Milliseconds(20)) {
      last = f.loop.clock().Now();
      slow->Queue(std::string(8 * kKb, 'x'));
      trickling->Queue("x");
      if (last >= pressure_at && large->all_sent()) {
        large->Queue(std::string(128 * kKb, 'x'));
      }
    }
    return f.server.counts().closed_for_memory >= 2;
  }));
  REQUIRE(f.Until([&] { return stopped->closed() && trickling->closed(); }));
  CHECK_FALSE(slow->closed());
  CHECK_FALSE(large->closed());
}

// Guards against small chunks whose framing makes the buffer larger than the body.
TEST_CASE("very small chunks take memory within the limit") {
  Fixture f(LargeBodies(), kMb);
  for (int i = 0; i < 20; ++i) {
    f.Connect()->Queue(Chunked(100'000, 1, false));
  }
  REQUIRE(f.Until([&] {
    bool done = true;
    for (const auto& client : f.clients) {
      done = done && (client->all_sent() || client->closed());
    }
    return done;
  }));
  CHECK(f.memory.peak() < kMb + 512 * kKb);
  CHECK(f.Ask(Announced(1000, 1000), "ok").find("HTTP/1.1 200") == 0);
}

// Guards against bodies within the limit that are refused, and against bodies over it that are read.
TEST_CASE("a body of exactly the limit is served, and a larger one is refused at the limit") {
  Fixture f(LargeBodies(), 8 * kMb + 256 * kKb);
  for (const std::string& request : {Announced(4 * kMb, 4 * kMb), Chunked(4 * kMb, 64 * kKb, true)}) {
    const std::string answer = f.Ask(request, "ok");
    INFO(answer);
    CHECK(answer.find("HTTP/1.1 200") == 0);
    CHECK(f.handler.last_body_bytes == 4 * kMb);
  }
  CHECK(f.Ask(Chunked(4 * kMb + 1, 64 * kKb, true), "}").find("HTTP/1.1 413") == 0);
  CHECK(f.Ask(Announced(4 * kMb + 1, 0), "}").find("HTTP/1.1 413") == 0);
  Client* endless = f.Connect();
  endless->Queue(Chunked(40 * kMb, 64 * kKb, true));
  REQUIRE(f.Until([&] { return endless->closed(); }));
  CHECK(f.memory.peak() < 9 * kMb);
  CHECK(f.handler.requests == 2);
}

// Guards against chunked bodies of the limit that are refused when they arrive in one piece with their head.
TEST_CASE("small chunked bodies of exactly the limit are served in any chunk size") {
  HttpServerOptions options;
  options.max_body_bytes = 5000;
  Fixture f(options);
  int served = 0;
  for (const size_t chunk : {1, 7, 1000, 5000}) {
    const std::string answer = f.Ask(Chunked(5000, chunk, true), "ok");
    INFO(chunk << ": " << answer);
    CHECK(answer.find("HTTP/1.1 200") == 0);
    CHECK(f.handler.requests == ++served);
    CHECK(f.Ask(Chunked(5001, chunk, true), "}").find("HTTP/1.1 413") == 0);
  }
  // The next request of a connection arrives with the one before.
  Client* client = f.Connect();
  client->Queue(Chunked(5000, 100, true) + Chunked(5000, 100, true) + Announced(5001, 5001));
  REQUIRE(f.Until([&] { return client->received.find("HTTP/1.1 413") != std::string::npos; }));
  CHECK(f.handler.requests == served + 2);
}

// Guards against limits of the operator that take effect only after a restart.
TEST_CASE("limits that change apply to the next request") {
  Fixture f(LargeBodies());
  CHECK(f.Ask(Announced(kMb, kMb), "ok").find("HTTP/1.1 200") == 0);
  HttpServerLimits limits;
  limits.max_body_bytes = 1000;
  limits.max_head_bytes = 200;
  limits.head_timeout = Duration::Milliseconds(100);
  f.server.SetLimits(limits);
  CHECK(f.Ask(Announced(1001, 0), "}").find("HTTP/1.1 413") == 0);
  CHECK(f.Ask(Announced(1000, 1000), "ok").find("HTTP/1.1 200") == 0);
  CHECK(f.Ask("GET / HTTP/1.1\r\nhost: x\r\na: " + std::string(300, 'y') + "\r\n\r\n", "}").find("HTTP/1.1 413") == 0);
  CHECK(f.Ask("GET / HTTP/1.1\r\nho", "}").find("HTTP/1.1 408") == 0);
}

// Guards against heads without an end, which the HTTP library collects up to 400 KB.
TEST_CASE("a head that never ends is refused at the limit") {
  HttpServerOptions options;
  options.max_head_bytes = 16 * kKb;
  Fixture f(options);
  const std::string answer = f.Ask("GET / HTTP/1.1\r\nhost: x\r\na: " + std::string(100 * kKb, 'y'), "}");
  INFO(answer);
  CHECK(answer.find("HTTP/1.1 413") == 0);
  CHECK(f.handler.requests == 0);
  CHECK(f.memory.used() == 0);
}

// Guards against a slow head that is ended by the deadline of the body, or a slow body by that of the head.
TEST_CASE("head and body have their own deadlines") {
  HttpServerOptions options;
  options.head_timeout = Duration::Milliseconds(200);
  options.request_timeout = Duration::Seconds(5);
  options.idle_timeout = Duration::Seconds(5);
  Fixture f(options);
  Client* body = f.Connect();
  body->Queue(Announced(20, 10));
  Client* head = f.Connect();
  head->Queue("GET / HTTP/1.1\r\nho");
  Client* idle = f.Connect();
  REQUIRE(f.Until([&] { return head->closed(); }));
  CHECK(head->received.find("HTTP/1.1 408") == 0);
  CHECK_FALSE(body->closed());
  CHECK_FALSE(idle->closed());
  body->Queue(std::string(10, 'x'));
  idle->Queue("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
  REQUIRE(f.Until([&] { return body->received.find("ok") != std::string::npos; }));
  REQUIRE(f.Until([&] { return idle->received.find("ok") != std::string::npos; }));
}

// Guards against whole requests that are cut while they are handled, and against more of them than memory allows.
TEST_CASE("requests that are handled are kept, and further ones are refused as not run") {
  Fixture f(LargeBodies(), 4 * kMb + 512 * kKb);
  Client* first = f.Connect();
  first->Queue(Announced(2 * kMb, 2 * kMb, "/hold"));
  REQUIRE(f.Until([&] { return f.handler.requests == 1; }));
  CHECK(f.memory.used() >= 4 * kMb);
  const std::string second = f.Ask(Announced(512 * kKb, 512 * kKb), "}");
  INFO(second);
  CHECK(second.find("HTTP/1.1 503") == 0);
  CHECK(second.find("retry-after:") != std::string::npos);
  CHECK(second.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(f.handler.requests == 1);
  f.handler.held.front()->Send(200, {}, "held");
  REQUIRE(f.Until([&] { return first->received.find("held") != std::string::npos; }));
  REQUIRE(f.Until([&] { return f.memory.used() == 0; }));
  CHECK(f.Ask(Announced(512 * kKb, 512 * kKb), "ok").find("HTTP/1.1 200") == 0);
}

// Guards against responses that are kept for clients which do not read them.
TEST_CASE("slow readers are ended in favour of others, and after their time") {
  HttpServerOptions options;
  options.caller_check_interval = Duration::Milliseconds(20);
  Fixture f(options, 10 * kMb);
  for (int i = 0; i < 6; ++i) {
    f.Connect()->Queue("GET /large HTTP/1.1\r\nhost: x\r\n\r\n");
  }
  REQUIRE(f.Until([&] { return f.handler.requests == 6 && f.server.counts().closed_for_memory >= 4; }, false));
  REQUIRE(f.Until([&] { return f.memory.used() <= 10 * kMb; }, false));
  f.clients.clear();
  REQUIRE(f.Until([&] { return f.server.open_connections() == 0; }));
  CHECK(f.memory.used() == 0);

  options.response_piece_timeout = Duration::Milliseconds(200);
  Fixture late(options, 100 * kMb);
  late.Connect()->Queue("GET /large HTTP/1.1\r\nhost: x\r\n\r\n");
  REQUIRE(late.Until([&] { return late.server.open_connections() == 0 && late.handler.requests == 1; }, false));
  CHECK(late.server.counts().late_readers == 1);
  CHECK(late.memory.used() == 0);
  // A client that reads gets the whole response in pieces.
  const std::string whole = late.Ask("GET /large HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", "no such text");
  INFO(whole.substr(0, 300));
  CHECK(whole.size() > late.handler.large_bytes);
  CHECK(whole.find("Content-Length: " + std::to_string(late.handler.large_bytes)) != std::string::npos);
}

// Guards against idle connections that keep others from being accepted.
TEST_CASE("at the limit of connections, the one that is idle for the longest time is closed") {
  HttpServerOptions options;
  options.max_connections = 4;
  Fixture f(options);
  Client* handled = f.Connect();
  handled->Queue("GET /hold HTTP/1.1\r\nhost: x\r\n\r\n");
  REQUIRE(f.Until([&] { return f.handler.requests == 1; }));
  Client* oldest = f.Connect();
  REQUIRE(f.Until([&] { return f.server.open_connections() == 2; }));
  Client* used = f.Connect();
  REQUIRE(f.Until([&] { return f.server.open_connections() == 3; }));
  Client* third = f.Connect();
  REQUIRE(f.Until([&] { return f.server.open_connections() == 4; }));
  CHECK(f.Ask("GET / HTTP/1.1\r\nhost: x\r\n\r\n", "ok").find("HTTP/1.1 200") == 0);
  CHECK(oldest->closed());
  CHECK(oldest->received.empty());
  CHECK_FALSE(handled->closed());
  CHECK_FALSE(used->closed());
  CHECK_FALSE(third->closed());
  // Unfinished requests make room too.
  for (int i = 0; i < 6; ++i) {
    Client* unfinished = f.Connect();
    unfinished->Queue("GET / HTTP/1.1\r\nho");
    for (int turn = 0; turn < 5; ++turn) {
      unfinished->Step();
      f.loop.RunOnce(Duration::Milliseconds(1));
    }
    CHECK(f.server.open_connections() <= 4);
  }
  CHECK(f.Ask("GET / HTTP/1.1\r\nhost: x\r\n\r\n", "ok").find("HTTP/1.1 200") == 0);
  CHECK_FALSE(handled->closed());
}

// Guards against a process that accepts nothing more, or that spins, once it has run out of descriptors.
TEST_CASE("without free descriptors, an idle connection is closed and accept goes on") {
  Fixture f(HttpServerOptions{});
  Client* idle = f.Connect();
  REQUIRE(f.Until([&] { return f.server.open_connections() == 1; }));
  // The client takes its descriptor before none is left.
  Client* next = f.Connect();
  next->Queue("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const int lowest = dup(0);
  REQUIRE(lowest >= 0);
  close(lowest);
  rlimit lowered = before;
  lowered.rlim_cur = static_cast<rlim_t>(lowest);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  const bool answered = f.Until([&] { return next->received.find("ok") != std::string::npos; });
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK(answered);
  CHECK(idle->closed());
  CHECK(f.server.counts().closed_for_connections == 1);
}

// Guards against calls of other instances that are ended because clients hold the memory.
TEST_CASE("requests of other instances are not ended in favour of clients") {
  HttpServerOptions options = LargeBodies();
  Fixture f(options);
  HttpServerOptions peer_options = LargeBodies();
  peer_options.holder_kind = HolderKind::kPeer;
  HttpServer peer_server(&f.loop, Fixture::WithMemory(peer_options, &f.memory), &f.handler);
  Client peer(peer_server.port());
  peer.Queue(Announced(3 * kMb, 3 * kMb - 10));
  REQUIRE(f.Until([&] {
    peer.Step();
    return f.memory.used() >= 3 * kMb - kKb;
  }));
  for (int i = 0; i < 8; ++i) {
    f.Connect()->Queue(Announced(2 * kMb, 2 * kMb - 10));
  }
  REQUIRE(f.Until([&] { return f.server.counts().closed_for_memory >= 5; }));
  CHECK(peer_server.counts().closed_for_memory == 0);
  peer.Step();
  CHECK_FALSE(peer.closed());
}

}  // namespace
}  // namespace quetzalridge
