#include "transport/http_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdlib>
#include <cstring>
#include <map>
#include <stdexcept>
#include <unordered_set>
#include <vector>

#include "base/error.h"
#include "base/ip_port.h"
#include "transport/detail_h2o.h"
#include "transport/socket_address.h"

namespace quetzalridge {

namespace {

constexpr size_t kPoolCapacity = 4096;
// A pooled connection is dropped before common servers' keep-alive limits, since a request written to a connection that
// the server closes at that moment has an unknown outcome.
constexpr uint64_t kPoolIdleTimeoutMs = 4000;
// h2o's own timeout is only a backstop; the deadlines of each call are kept on the event loop.
constexpr uint64_t kBackstopTimeoutMs = 3'600'000;

std::string BuildHead(const HttpCall& call) {
  std::string head = call.method + " " + call.target + " HTTP/1.1\r\nhost: " + call.address + "\r\n";
  for (const HttpHeader& header : call.headers) {
    head += header.name + ": " + header.value + "\r\n";
  }
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    head += "content-length: " + std::to_string(call.body.size()) + "\r\n";
  }
  if (call.fresh_connection) {
    head += "connection: close\r\n";
  }
  return head + "\r\n";
}

enum class BodyFraming {
  kNone,
  kContentLength,
  kChunked,
  kUntilClose,
};

}  // namespace

std::string_view CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kWhole:
      return "whole";
    case CallOutcome::kNotSent:
      return "not_sent";
    case CallOutcome::kNoAnswer:
      return "no_answer";
    case CallOutcome::kCut:
      return "cut";
  }
  throw std::logic_error("unknown value of CallOutcome; add it to CallOutcomeName");
}

class HttpClient::Impl {
 public:
  explicit Impl(EventLoop* loop) : m_loop(loop) {
    h2o_timeout_init(loop->h2o_loop(), m_io_timeout, kBackstopTimeoutMs);
    m_context.loop = loop->h2o_loop();
    m_context.io_timeout = m_io_timeout;
    m_context.websocket_timeout = nullptr;
    m_context.ssl_ctx = nullptr;
    m_context.getaddr_receiver = nullptr;
  }

  ~Impl() {
    std::unordered_set<FetchCall*> fetches;
    fetches.swap(m_fetches);
    for (FetchCall* fetch : fetches) {
      DeleteFetch(fetch);
    }
  }

  std::unique_ptr<HttpExchange> Start(HttpCall call, HttpCallObserver* observer);
  void Fetch(HttpCall call, std::function<void(const HttpResponse&)> callback, size_t max_body_bytes);

 private:
  class Call;
  class Handle;
  class FetchCall;

  static void DeleteFetch(FetchCall* fetch);

  h2o_socketpool_t* PoolFor(const std::string& address, const IpPort& target) {
    auto it = m_pools.find(address);
    if (it != m_pools.end()) {
      return it->second;
    }
    // Pools are kept for the life of the process: h2o's sockets refer to them until they close.
    auto* pool = new h2o_socketpool_t;
    sockaddr_in socket_address = ToSocketAddress(target);
    h2o_socketpool_init_by_address(pool, reinterpret_cast<sockaddr*>(&socket_address), sizeof(socket_address), 0,
                                   kPoolCapacity);
    h2o_socketpool_set_timeout(pool, m_loop->h2o_loop(), kPoolIdleTimeoutMs);
    m_pools.emplace(address, pool);
    return pool;
  }

  EventLoop* m_loop;
  h2o_http1client_ctx_t m_context{};
  // Kept for the life of the process: the loop's list of timeouts refers to it.
  h2o_timeout_t* m_io_timeout = new h2o_timeout_t{};
  std::map<std::string, h2o_socketpool_t*> m_pools;
  std::unordered_set<FetchCall*> m_fetches;
};

// State of one call. Owned by itself: deleted after the end callback or a cancel, whichever is first and outermost.
class HttpClient::Impl::Call {
 public:
  Call(Impl* client, HttpCall call, HttpCallObserver* observer)
      : m_client(client), m_call(std::move(call)), m_observer(observer), m_head(BuildHead(m_call)) {}

  void SetHandle(Handle* handle) { m_handle = handle; }

  void Begin() {
    const std::optional<IpPort> target = ParseIpPort(m_call.address);
    if (!target.has_value() || target->port == 0) {
      // Addresses come from outside, and an exception in a callback would end the process.
      m_total_timer = m_client->m_loop->After(Duration(), [this] {
        Finish(CallOutcome::kNotSent,
               "'" + m_call.address + "' is not an address; give an IPv4 number and a port, such as 127.0.0.1:8000");
      });
      return;
    }
    m_total_timer = m_client->m_loop->After(m_call.total_timeout, [this] { OnTimeout("total time"); });
    ArmStage(m_call.connect_timeout, "connect");
    if (m_call.fresh_connection) {
      m_host = target->ip;
      h2o_http1client_connect(&m_h2o, this, &m_client->m_context, h2o_iovec_init(m_host.data(), m_host.size()),
                              target->port, 0, &OnConnect);
    } else {
      h2o_http1client_connect_with_pool(&m_h2o, this, &m_client->m_context, m_client->PoolFor(m_call.address, *target),
                                        &OnConnect);
    }
  }

  // Called by the handle. Inside a callback h2o must close the connection itself, told by the return value.
  void Cancel() {
    m_observer = nullptr;
    m_handle = nullptr;
    StopTimers();
    if (m_in_callback) {
      m_cancelled = true;
      return;
    }
    if (m_h2o != nullptr) {
      h2o_http1client_cancel(m_h2o);
    }
    delete this;
  }

 private:
  static Call* From(h2o_http1client_t* client) { return static_cast<Call*>(client->data); }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers,
                                           size_t* buffer_count, int* method_is_head) {
    Call* self = From(client);
    self->m_h2o = client;
    if (error != nullptr) {
      self->m_h2o = nullptr;
      self->Finish(CallOutcome::kNotSent, error);
      return nullptr;
    }
    if (self->m_call.before_write && !self->m_call.before_write()) {
      self->m_h2o = nullptr;
      self->Finish(CallOutcome::kNotSent, "abandoned before the write");
      return nullptr;
    }
    self->m_written = true;
    self->ArmStage(self->m_call.head_timeout, "response head");
    self->m_buffers[0] = h2o_iovec_init(self->m_head.data(), self->m_head.size());
    self->m_buffers[1] = h2o_iovec_init(self->m_call.body.data(), self->m_call.body.size());
    *buffers = self->m_buffers;
    *buffer_count = self->m_call.body.empty() ? 1 : 2;
    *method_is_head = self->m_call.method == "HEAD" ? 1 : 0;
    return &OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client, const char* error, int minor_version, int status,
                                        h2o_iovec_t message, h2o_header_t* headers, size_t header_count, int) {
    Call* self = From(client);
    const bool ended = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !ended) {
      self->m_h2o = nullptr;
      self->Finish(CallOutcome::kNoAnswer, error);
      return nullptr;
    }
    self->ArmStage(self->m_call.idle_timeout, "response body");
    HttpHeaders received = ReadHeaders(headers, header_count);
    self->m_framing = ended ? BodyFraming::kNone : FramingOf(received);
    self->m_in_callback = true;
    self->m_observer->OnHead(status, received);
    self->m_in_callback = false;
    if (self->m_cancelled) {
      delete self;
      return nullptr;
    }
    if (ended) {
      self->m_h2o = nullptr;
      self->Finish(CallOutcome::kWhole, "");
      return nullptr;
    }
    return &OnBody;
  }

  static int OnBody(h2o_http1client_t* client, const char* error) {
    Call* self = From(client);
    self->ArmStage(self->m_call.idle_timeout, "response body");
    h2o_buffer_t** input = &client->sock->input;
    // At the end of a chunked body this counter is 0 when the connection closed before the last chunk.
    const bool last_chunk_read = client->sock->bytes_read > 0;
    if ((*input)->size > 0 && (error == nullptr || error == h2o_http1client_error_is_eos)) {
      self->m_in_callback = true;
      const std::string data((*input)->bytes, (*input)->size);
      h2o_buffer_consume(input, (*input)->size);
      self->m_observer->OnBody(data);
      self->m_in_callback = false;
      if (self->m_cancelled) {
        delete self;
        return -1;
      }
    }
    if (error == nullptr) {
      return 0;
    }
    self->m_h2o = nullptr;
    if (error != h2o_http1client_error_is_eos) {
      self->Finish(CallOutcome::kCut, error);
    } else if (self->m_framing == BodyFraming::kUntilClose) {
      self->Finish(CallOutcome::kCut, "the response has neither a length nor chunks, so its end cannot be told");
    } else if (self->m_framing == BodyFraming::kChunked && !last_chunk_read) {
      self->Finish(CallOutcome::kCut, "the connection closed before the last chunk");
    } else {
      self->Finish(CallOutcome::kWhole, "");
    }
    return 0;
  }

  static HttpHeaders ReadHeaders(const h2o_header_t* headers, size_t count) {
    HttpHeaders result;
    result.reserve(count);
    for (size_t i = 0; i < count; ++i) {
      result.push_back({std::string(headers[i].name->base, headers[i].name->len),
                        std::string(headers[i].value.base, headers[i].value.len)});
    }
    return result;
  }

  static BodyFraming FramingOf(const HttpHeaders& headers) {
    if (FindHeader(headers, "transfer-encoding") != nullptr) {
      return BodyFraming::kChunked;
    }
    return FindHeader(headers, "content-length") != nullptr ? BodyFraming::kContentLength : BodyFraming::kUntilClose;
  }

  void ArmStage(Duration timeout, const char* stage) {
    m_stage_timer = m_client->m_loop->After(timeout, [this, stage] { OnTimeout(stage); });
  }

  void OnTimeout(const char* stage) {
    m_timed_out = true;
    if (m_h2o != nullptr) {
      h2o_http1client_cancel(m_h2o);
      m_h2o = nullptr;
    }
    CallOutcome outcome = CallOutcome::kNotSent;
    if (m_written) {
      outcome = IsHeadReceived() ? CallOutcome::kCut : CallOutcome::kNoAnswer;
    }
    Finish(outcome, std::string("timeout: ") + stage);
  }

  bool IsHeadReceived() const { return m_framing != BodyFraming::kNone; }

  void StopTimers() {
    m_stage_timer.reset();
    m_total_timer.reset();
  }

  void Finish(CallOutcome outcome, const std::string& detail);

  Impl* m_client;
  HttpCall m_call;
  HttpCallObserver* m_observer;
  Handle* m_handle = nullptr;
  std::string m_head;
  std::string m_host;
  h2o_http1client_t* m_h2o = nullptr;
  h2o_iovec_t m_buffers[2]{};
  std::unique_ptr<Timer> m_stage_timer;
  std::unique_ptr<Timer> m_total_timer;
  BodyFraming m_framing = BodyFraming::kNone;
  bool m_written = false;
  bool m_timed_out = false;
  bool m_in_callback = false;
  bool m_cancelled = false;
};

class HttpClient::Impl::Handle : public HttpExchange {
 public:
  explicit Handle(Call* call) : m_call(call) {}
  ~Handle() override {
    if (m_call != nullptr) {
      m_call->Cancel();
    }
  }
  void Release() { m_call = nullptr; }

 private:
  Call* m_call;
};

// The observer may destroy the handle in OnEnd, so the call leaves both before it reports.
void HttpClient::Impl::Call::Finish(CallOutcome outcome, const std::string& detail) {
  StopTimers();
  CallResult result;
  result.outcome = outcome;
  result.timed_out = m_timed_out;
  result.detail = detail;
  HttpCallObserver* observer = m_observer;
  if (m_handle != nullptr) {
    m_handle->Release();
  }
  delete this;
  if (observer != nullptr) {
    observer->OnEnd(result);
  }
}

class HttpClient::Impl::FetchCall : public HttpCallObserver {
 public:
  FetchCall(Impl* client, std::function<void(const HttpResponse&)> callback, size_t max_body_bytes)
      : m_client(client), m_callback(std::move(callback)), m_max_body_bytes(max_body_bytes) {}

  void Begin(HttpCall call) { m_exchange = m_client->Start(std::move(call), this); }

  void OnHead(int status, const HttpHeaders& headers) override {
    m_response.status = status;
    m_response.headers = headers;
  }

  void OnBody(std::string_view data) override {
    if (m_response.body.size() + data.size() > m_max_body_bytes) {
      CallResult result;
      result.outcome = CallOutcome::kCut;
      result.detail = "the response is larger than " + std::to_string(m_max_body_bytes) + " bytes";
      OnEnd(result);
      return;
    }
    m_response.body.append(data);
  }

  void OnEnd(const CallResult& result) override {
    m_response.result = result;
    const std::function<void(const HttpResponse&)> callback = std::move(m_callback);
    const HttpResponse response = std::move(m_response);
    m_client->m_fetches.erase(this);
    delete this;
    callback(response);
  }

 private:
  Impl* m_client;
  std::function<void(const HttpResponse&)> m_callback;
  size_t m_max_body_bytes;
  HttpResponse m_response;
  std::unique_ptr<HttpExchange> m_exchange;
};

void HttpClient::Impl::DeleteFetch(FetchCall* fetch) {
  delete fetch;
}

std::unique_ptr<HttpExchange> HttpClient::Impl::Start(HttpCall call, HttpCallObserver* observer) {
  auto* state = new Call(this, std::move(call), observer);
  auto handle = std::make_unique<Handle>(state);
  state->SetHandle(handle.get());
  state->Begin();
  return handle;
}

void HttpClient::Impl::Fetch(HttpCall call, std::function<void(const HttpResponse&)> callback, size_t max_body_bytes) {
  auto* fetch = new FetchCall(this, std::move(callback), max_body_bytes);
  m_fetches.insert(fetch);
  fetch->Begin(std::move(call));
}

HttpClient::HttpClient(EventLoop* loop) : m_impl(std::make_unique<Impl>(loop)) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpExchange> HttpClient::Start(HttpCall call, HttpCallObserver* observer) {
  return m_impl->Start(std::move(call), observer);
}

void HttpClient::Fetch(HttpCall call, std::function<void(const HttpResponse&)> callback, size_t max_body_bytes) {
  m_impl->Fetch(std::move(call), std::move(callback), max_body_bytes);
}

}  // namespace quetzalridge
