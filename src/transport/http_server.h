#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"

namespace quetzalridge {

// Answers one request, now or later. Safe to use after the caller has gone; writes then have no effect.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  // Sends a whole response.
  virtual void Send(int status, HttpHeaders headers, std::string body) = 0;
  // Begins a streamed response.
  virtual void Start(int status, HttpHeaders headers) = 0;
  virtual void Write(std::string_view data) = 0;
  // Ends a streamed response as whole.
  virtual void End() = 0;
  // Ends a streamed response so that the caller sees a cut body; without a Start, closes the connection.
  virtual void Abort() = 0;

  virtual bool closed() const = 0;
  virtual bool started() const = 0;
  // Bytes accepted by Write that the connection has not taken yet.
  virtual size_t pending_bytes() const = 0;
  // Runs once, when the caller has gone before the response was complete.
  virtual void SetCloseCallback(std::function<void()> callback) = 0;
};

class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) = 0;
};

struct HttpServerOptions {
  std::string ip = "127.0.0.1";
  // 0 lets the system choose; see HttpServer::port.
  int port = 0;
  size_t max_body_bytes = 1 << 20;
  // Of the request line and the headers together.
  size_t max_head_bytes = 32 << 10;
  // From accept to the last byte of the request, and between requests of a connection. Later bytes do not extend it.
  Duration request_timeout = Duration::Seconds(10);
  // Callers that have closed their connection are noticed within this time.
  Duration caller_check_interval = Duration::Milliseconds(250);
  // PEM files; empty for plain TCP.
  std::string tls_certificate_file;
  std::string tls_key_file;
};

// An HTTP/1.1 server on the event loop.
class HttpServer {
 public:
  HttpServer(EventLoop* loop, HttpServerOptions options, HttpHandler* handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  int port() const;
  // Stops accepting connections and ends each connection after its present request.
  void BeginShutdown();
  // Still accepts connections, but ends each one after its present request.
  void StopKeepAlive();
  int open_connections() const;
  // Requests that were read whole and whose response is not complete.
  int active_requests() const;
  // Reads the certificate files again; false, with the old ones still in use, when they are not usable.
  bool ReloadTls();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace quetzalridge
