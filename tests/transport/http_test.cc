#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace quetzalridge {
namespace {

// All connected TCP sockets of this process.
std::vector<int> ConnectedSockets() {
  std::vector<int> sockets;
  for (int fd = 0; fd < 1024; ++fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 && peer.sin_family == AF_INET) {
      sockets.push_back(fd);
    }
  }
  return sockets;
}

// Answers by path, so that each test can ask for one way of answering.
class PathHandler : public HttpHandler {
 public:
  explicit PathHandler(EventLoop* loop) : m_loop(loop) {}

  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override {
    ++requests;
    if (request.path == "/echo") {
      responder->Send(200, {{"content-type", "text/plain"}}, request.body);
    } else if (request.path == "/stream") {
      responder->Start(200, {{"content-type", "text/plain"}});
      for (int i = 0; i < 100; ++i) {
        responder->Write("piece " + std::to_string(i) + "\n");
      }
      responder->End();
    } else if (request.path == "/cut") {
      responder->Start(200, {{"content-type", "text/plain"}});
      responder->Write("half an answer");
      m_timer = m_loop->After(Duration::Milliseconds(20), [responder] { responder->Abort(); });
    } else if (request.path == "/abort") {
      responder->Abort();
    } else if (request.path == "/silent") {
      silent = responder;
      responder->SetCloseCallback([this] { silent_closed = true; });
    }
  }

  int requests = 0;
  std::shared_ptr<HttpResponder> silent;
  bool silent_closed = false;

 private:
  EventLoop* m_loop;
  std::unique_ptr<Timer> m_timer;
};

struct Fixture {
  EventLoop loop;
  PathHandler handler{&loop};
  HttpServer server{&loop, {}, &handler};
  HttpClient client{&loop};

  HttpCall Call(const std::string& target) {
    HttpCall call;
    call.address = "127.0.0.1:" + std::to_string(server.port());
    call.method = "POST";
    call.target = target;
    return call;
  }

  HttpResponse Run(HttpCall call) {
    HttpResponse response;
    bool done = false;
    client.Fetch(std::move(call), [&](const HttpResponse& r) {
      response = r;
      done = true;
    });
    while (!done) {
      loop.RunOnce(Duration::Milliseconds(100));
    }
    return response;
  }
};

// Guards against mixed-up or shortened bodies on reused connections.
TEST_CASE("whole and streamed responses arrive whole over one connection") {
  Fixture f;
  HttpCall call = f.Call("/echo");
  call.body = std::string(300'000, 'x') + "end";
  HttpResponse echoed = f.Run(call);
  CHECK(echoed.result.outcome == CallOutcome::kWhole);
  CHECK(echoed.body == call.body);
  HttpResponse streamed = f.Run(f.Call("/stream"));
  CHECK(streamed.result.outcome == CallOutcome::kWhole);
  CHECK(f.server.open_connections() == 1);
  CHECK(streamed.body.substr(streamed.body.size() - 9) == "piece 99\n");
}

// Guards against a cut stream that passes for a whole one: h2o reports both with the same end mark.
TEST_CASE("a body that ends at a chunk boundary without the last chunk is cut") {
  Fixture f;
  HttpResponse response = f.Run(f.Call("/cut"));
  CHECK(response.result.outcome == CallOutcome::kCut);
  CHECK(response.body == "half an answer");
}

// Guards against a status 500 in place of a closed connection: the caller would take it for the server's answer.
TEST_CASE("an abort before the head closes the connection without a byte") {
  Fixture f;
  HttpResponse response = f.Run(f.Call("/abort"));
  CHECK(response.result.outcome == CallOutcome::kNoAnswer);
  CHECK(response.status == 0);
}

// Guards against waiting forever on a connection that went silent after the request was written.
TEST_CASE("a silent server ends the call as unanswered") {
  Fixture f;
  HttpCall call = f.Call("/silent");
  call.head_timeout = Duration::Milliseconds(50);
  HttpResponse response = f.Run(call);
  CHECK(response.result.outcome == CallOutcome::kNoAnswer);
  CHECK(response.result.timed_out);
}

// Guards against a false "not run": only a call without a written byte may say so.
TEST_CASE("a refused connection and an abandoned call are not sent") {
  Fixture f;
  HttpCall refused = f.Call("/echo");
  refused.address = "127.0.0.1:1";
  CHECK(f.Run(refused).result.outcome == CallOutcome::kNotSent);
  HttpCall abandoned = f.Call("/echo");
  abandoned.before_write = [] { return false; };
  CHECK(f.Run(abandoned).result.outcome == CallOutcome::kNotSent);
  HttpCall fresh = f.Call("/echo");
  fresh.fresh_connection = true;
  CHECK(f.Run(fresh).result.outcome == CallOutcome::kWhole);
  CHECK(f.handler.requests == 1);
}

// Guards against an address from the configuration or the platform that ends the process by an exception.
TEST_CASE("a call to a malformed address is not sent") {
  Fixture f;
  for (const bool is_fresh : {false, true}) {
    for (const char* address : {"bad", "127.0.0.1:0", "host:80", "127.0.0.1:80x"}) {
      HttpCall call = f.Call("/echo");
      call.address = address;
      call.fresh_connection = is_fresh;
      bool done = false;
      HttpResponse response;
      f.client.Fetch(std::move(call), [&](const HttpResponse& answer) {
        done = true;
        response = answer;
      });
      CHECK_FALSE(done);
      for (int turn = 0; turn < 100 && !done; ++turn) {
        f.loop.RunOnce(Duration::Milliseconds(10));
      }
      INFO(address);
      REQUIRE(done);
      CHECK(response.result.outcome == CallOutcome::kNotSent);
      CHECK(response.result.detail.find("is not an address") != std::string::npos);
    }
  }
  CHECK(f.handler.requests == 0);
}

// Guards against callbacks into an observer that has gone.
TEST_CASE("a destroyed exchange reports nothing more") {
  struct Silent : HttpCallObserver {
    void OnHead(int, const HttpHeaders&) override { FAIL("head after cancel"); }
    void OnBody(std::string_view) override { FAIL("body after cancel"); }
    void OnEnd(const CallResult&) override { FAIL("end after cancel"); }
  };
  Fixture f;
  Silent observer;
  std::unique_ptr<HttpExchange> exchange = f.client.Start(f.Call("/silent"), &observer);
  for (int i = 0; i < 10; ++i) {
    f.loop.RunOnce(Duration::Milliseconds(5));
  }
  exchange.reset();
  for (int i = 0; i < 10; ++i) {
    f.loop.RunOnce(Duration::Milliseconds(5));
  }
  SUCCEED();
}

// Such a timeout would also decide when keep-alive probes give up. The timeouts of calls end silent connections
// instead.
TEST_CASE("no library sets a TCP_USER_TIMEOUT on the connections of clients and servers") {
  Fixture fixture;
  fixture.client.Fetch(fixture.Call("/silent"), [](const HttpResponse&) {});
  while (fixture.handler.silent == nullptr) {
    fixture.loop.RunOnce(Duration::Milliseconds(5));
  }
  const std::vector<int> sockets = ConnectedSockets();
  CHECK(sockets.size() >= 2);
  for (const int fd : sockets) {
    unsigned int timeout_ms = 1;
    socklen_t size = sizeof(timeout_ms);
    REQUIRE(getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, &size) == 0);
    CHECK(timeout_ms == 0);
  }
}

}  // namespace
}  // namespace quetzalridge
