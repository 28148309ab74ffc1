#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/shared_text.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"

namespace quetzalridge {

struct HttpCall {
  // "ip:port"; also the host header, unless `headers` holds one.
  std::string address;
  std::string method = "GET";
  // Path and query.
  std::string target = "/";
  HttpHeaders headers;
  SharedText body;
  // Neither takes a connection from the pool nor returns it.
  bool fresh_connection = false;
  Duration connect_timeout = Duration::Seconds(2);
  // From the write to the first byte of the response head.
  Duration head_timeout = Duration::Seconds(30);
  // Between two pieces of the body.
  Duration idle_timeout = Duration::Seconds(30);
  Duration total_timeout = Duration::Seconds(600);
  // Takes a body with neither length nor chunks as whole when the peer closes the connection in order.
  bool accepts_unframed_body = false;
  // Runs as the last step before the first byte is written; false abandons the call as not sent.
  std::function<bool()> before_write;
  // False for a response that answers another request; it is skipped, and the next one on the connection is awaited.
  std::function<bool(const HttpHeaders&)> is_own_answer;
};

enum class CallOutcome {
  // Head and whole body arrived.
  kWhole,
  // No byte of the request was written.
  kNotSent,
  // The request was written, wholly or in part, and no response head came.
  kNoAnswer,
  // A response head came, but the body was cut or its end cannot be told.
  kCut,
};

std::string_view CallOutcomeName(CallOutcome outcome);

struct CallResult {
  CallOutcome outcome = CallOutcome::kNotSent;
  bool timed_out = false;
  // No connection could be made to the peer.
  bool connection_failed = false;
  std::string detail;
};

class HttpCallObserver {
 public:
  virtual ~HttpCallObserver() = default;
  virtual void OnHead(int status, const HttpHeaders& headers) = 0;
  virtual void OnBody(std::string_view data) = 0;
  // Always the last call. The observer may destroy the exchange in any of these.
  virtual void OnEnd(const CallResult& result) = 0;
};

// A call in flight; destroying it cancels the call, closes its connection, and silences the observer.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
};

struct HttpResponse {
  CallResult result;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// An HTTP/1.1 client with a connection pool for each address.
class HttpClient {
 public:
  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::unique_ptr<HttpExchange> Start(HttpCall call, HttpCallObserver* observer);
  // Collects the whole response, at most `max_body_bytes` of it. The call goes on until it ends or the client is
  // destroyed.
  void Fetch(HttpCall call, std::function<void(const HttpResponse&)> callback, size_t max_body_bytes = 4 << 20);
  // Closes the idle connections to an address.
  void DropIdle(const std::string& address);
  // Connections made since the start.
  int64_t connections_made() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace quetzalridge
