#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "state/memory_budget.h"
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

// Limits for what a client sends.
struct HttpServerLimits {
  size_t max_body_bytes = 1 << 20;
  // Of the request line and the headers together.
  size_t max_head_bytes = 32 << 10;
  // From the first to the last byte of a request. Later bytes do not extend it.
  Duration request_timeout = Duration::Seconds(10);
  // From the first to the last byte of a head; `request_timeout` if 0.
  Duration head_timeout;
  // From accept to the first byte, and between requests of a connection; `request_timeout` if 0.
  Duration idle_timeout;
};

struct HttpServerOptions : HttpServerLimits {
  std::string ip = "127.0.0.1";
  // 0 lets the system choose; see HttpServer::port.
  int port = 0;
  // A client must take a piece of a response (see kMaxPieceBytes) within this time; not limited if 0.
  Duration response_piece_timeout;
  // Callers that have closed their connection are noticed within this time.
  Duration caller_check_interval = Duration::Milliseconds(250);
  // Bounds the memory of requests and unread responses, which are charged as `holder_kind`. Not bounded if null.
  MemoryBudget* memory = nullptr;
  HolderKind holder_kind = HolderKind::kClient;
  // Number of copies of a body that exist while it is handled, apart from a small one in the connection's buffer.
  size_t handled_body_copies = 2;
  // A further connection closes the one that has been idle for the longest time; not bounded if 0.
  int max_connections = 0;
  // Size of the kernel's receive buffer and of its send buffer for a connection; chosen by the system if 0.
  int socket_buffer_bytes = 0;
  // PEM files; empty for plain TCP.
  std::string tls_certificate_file;
  std::string tls_key_file;
};

// What a server has done to stay within its limits, since its start.
struct HttpServerCounts {
  // Connections with an unfinished request or an unread response that were closed to free memory.
  int64_t closed_for_memory = 0;
  // Whole requests that were refused because no memory was left to handle them.
  int64_t refused_for_memory = 0;
  // Connections that were closed so that others could be accepted.
  int64_t closed_for_connections = 0;
  // Connections that were not accepted because no other could be closed, and calls of accept that failed.
  int64_t not_accepted = 0;
  // Requests that were over a limit of their size.
  int64_t too_large = 0;
  // Requests that did not arrive in time.
  int64_t late_requests = 0;
  // Responses that were not read in time.
  int64_t late_readers = 0;

  HttpServerCounts& operator+=(const HttpServerCounts& other);
};

// An HTTP/1.1 server on the event loop.
class HttpServer {
 public:
  HttpServer(EventLoop* loop, HttpServerOptions options, HttpHandler* handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  int port() const;
  // Applies to requests whose first byte has not arrived yet, the sizes also to the others.
  void SetLimits(const HttpServerLimits& limits);
  const HttpServerCounts& counts() const;
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
