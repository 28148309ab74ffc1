#include "transport/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <map>
#include <new>
#include <stdexcept>
#include <vector>

#include "base/error.h"
#include "protocol/error_body.h"
#include "transport/detail_h2o.h"

namespace quetzalridge {

namespace {

constexpr int kListenBacklog = 512;
constexpr int kStatusPayloadTooLarge = 413;
// The HTTP library closes a late connection without an answer; it does so this much after the server's own answer.
constexpr Duration kLibraryGrace = Duration::Seconds(1);

std::string ToString(const h2o_iovec_t& iovec) {
  return std::string(iovec.base, iovec.len);
}

// A responder over one h2o request. h2o owns the request and disposes it when the response is complete or the caller
// has gone; m_request is null from then on.
class H2oResponder : public HttpResponder {
 public:
  explicit H2oResponder(h2o_req_t* request) : m_request(request) {
    m_generator.base.proceed = &OnProceed;
    m_generator.base.stop = &OnStop;
    m_generator.owner = this;
  }

  void Send(int status, HttpHeaders headers, std::string body) override {
    if (m_request == nullptr || m_started) {
      return;
    }
    m_request->res.content_length = body.size();
    StartResponse(status, headers);
    m_pending = std::move(body);
    m_ended = true;
    Flush();
  }

  void Start(int status, HttpHeaders headers) override {
    if (m_request == nullptr || m_started) {
      return;
    }
    StartResponse(status, headers);
    Flush();
  }

  void Write(std::string_view data) override {
    if (m_request == nullptr || m_ended) {
      return;
    }
    m_pending.append(data);
    Flush();
  }

  void End() override {
    if (m_request == nullptr || m_ended) {
      return;
    }
    m_ended = true;
    Flush();
  }

  void Abort() override {
    if (m_request == nullptr || m_ended) {
      return;
    }
    m_ended = true;
    m_aborted = true;
    if (!m_started) {
      // h2o would send a head with status 500, which a caller could take for an answer.
      h2o_socket_t* socket = m_request->conn->callbacks->get_socket(m_request->conn);
      shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
      m_request->http1_is_persistent = 0;
      StartResponse(500, {});
    }
    m_pending.clear();
    Flush();
  }

  // h2o reads nothing while a response is due, so it does not see that the caller closes the connection.
  void CheckCaller() {
    if (m_request == nullptr || m_final_sent || !IsCallerGone()) {
      return;
    }
    RunCloseCallback();
    Abort();
  }

  bool closed() const override { return m_request == nullptr; }
  bool started() const override { return m_started; }
  size_t pending_bytes() const override { return m_pending.size() + m_in_flight.size(); }
  void SetCloseCallback(std::function<void()> callback) override { m_close_callback = std::move(callback); }

  // h2o calls this when the request's memory goes.
  void OnDisposed() {
    m_request = nullptr;
    if (!m_final_sent) {
      RunCloseCallback();
    }
    m_close_callback = nullptr;
  }

 private:
  struct Generator {
    h2o_generator_t base;
    H2oResponder* owner;
  };

  static void OnProceed(h2o_generator_t* self, h2o_req_t*) {
    H2oResponder* owner = reinterpret_cast<Generator*>(self)->owner;
    owner->m_sending = false;
    owner->m_in_flight.clear();
    owner->Flush();
  }

  static void OnStop(h2o_generator_t* self, h2o_req_t*) {
    H2oResponder* owner = reinterpret_cast<Generator*>(self)->owner;
    owner->m_request = nullptr;
    owner->RunCloseCallback();
  }

  bool IsCallerGone() const {
    h2o_socket_t* socket = m_request->conn->callbacks->get_socket(m_request->conn);
    char byte = 0;
    const ssize_t received = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }

  void RunCloseCallback() {
    if (!m_close_callback) {
      return;
    }
    std::function<void()> callback = std::move(m_close_callback);
    m_close_callback = nullptr;
    callback();
  }

  void StartResponse(int status, const HttpHeaders& headers) {
    m_started = true;
    m_request->res.status = status;
    m_request->res.reason = status < 400 ? "OK" : "Error";
    for (const HttpHeader& header : headers) {
      const h2o_iovec_t name = h2o_strdup(&m_request->pool, header.name.data(), header.name.size());
      const h2o_iovec_t value = h2o_strdup(&m_request->pool, header.value.data(), header.value.size());
      h2o_add_header_by_str(&m_request->pool, &m_request->res.headers, name.base, name.len, 1, nullptr, value.base,
                            value.len);
    }
    h2o_start_response(m_request, &m_generator.base);
  }

  // h2o takes one piece at a time and asks for the next through OnProceed; what is written meanwhile is collected.
  void Flush() {
    if (m_request == nullptr || !m_started || m_sending || m_final_sent) {
      return;
    }
    if (m_pending.empty() && !m_ended && m_head_sent) {
      return;
    }
    m_head_sent = true;
    m_sending = true;
    m_in_flight = std::move(m_pending);
    m_pending.clear();
    m_final_sent = m_ended;
    const h2o_send_state_t state =
        m_aborted ? H2O_SEND_STATE_ERROR : (m_ended ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
    h2o_iovec_t buffer = h2o_iovec_init(m_in_flight.data(), m_in_flight.size());
    h2o_send(m_request, &buffer, m_in_flight.empty() ? 0 : 1, state);
  }

  h2o_req_t* m_request;
  Generator m_generator{};
  std::function<void()> m_close_callback;
  std::string m_pending;
  std::string m_in_flight;
  bool m_started = false;
  bool m_head_sent = false;
  bool m_sending = false;
  bool m_ended = false;
  bool m_aborted = false;
  bool m_final_sent = false;
};

// One accepted connection, between its accept and its close.
struct Connection {
  h2o_socket_t* socket = nullptr;
  // Bytes read when the present request could begin.
  size_t bytes_before = 0;
  // No further request of this connection is run.
  bool refused = false;
  // Runs while a whole request is awaited.
  std::unique_ptr<Timer> deadline;
};

// Keeps the responder alive in the request's memory pool until h2o disposes the request.
struct ResponderHolder {
  std::shared_ptr<H2oResponder> responder;
  std::function<void()> disposed;
};

void DisposeHolder(void* memory) {
  auto* holder = static_cast<ResponderHolder*>(memory);
  const ResponderHolder last = std::move(*holder);
  holder->~ResponderHolder();
  last.responder->OnDisposed();
  last.disposed();
}

// Of the request line and the headers as the caller sent them, within a few bytes.
size_t HeadBytes(const h2o_req_t* request) {
  constexpr size_t kSeparators = 4;
  size_t bytes = request->method.len + request->path.len + request->authority.len + kSeparators;
  for (size_t i = 0; i < request->headers.size; ++i) {
    bytes += request->headers.entries[i].name->len + request->headers.entries[i].value.len + kSeparators;
  }
  return bytes;
}

// Replaces the text of h2o's own refusals, such as that of a body over the limit, by the typed error body.
struct RefusalStream {
  h2o_ostream_t base;
  h2o_iovec_t body;
};

void SendRefusal(h2o_ostream_t* self, h2o_req_t* request, h2o_iovec_t*, size_t, h2o_send_state_t state) {
  auto* stream = reinterpret_cast<RefusalStream*>(self);
  h2o_ostream_send_next(&stream->base, request, &stream->body, 1, state);
}

void SetUpRefusal(h2o_filter_t*, h2o_req_t* request, h2o_ostream_t** slot) {
  const bool too_large = request->res.status == kStatusPayloadTooLarge;
  const std::string body = EncodeErrorBody(too_large ? ErrorCode::kPayloadTooLarge : ErrorCode::kInvalidRequest,
                                           too_large ? "the body is larger than this server accepts; send a smaller one"
                                                     : "the request is not valid HTTP/1.1; check its framing headers",
                                           RequestRan::kNo);
  auto* stream = reinterpret_cast<RefusalStream*>(h2o_add_ostream(request, sizeof(RefusalStream), slot));
  stream->base.do_send = &SendRefusal;
  stream->body = h2o_strdup(&request->pool, body.data(), body.size());
  request->res.content_length = stream->body.len;
  h2o_set_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, H2O_STRLIT("application/json"), 1);
  h2o_setup_next_ostream(request, &stream->base.next);
}

HttpRequest ReadRequest(h2o_req_t* request) {
  HttpRequest result;
  result.method = ToString(request->method);
  result.host = ToString(request->authority);
  const std::string target = ToString(request->path);
  const size_t question_mark = target.find('?');
  result.path = target.substr(0, question_mark);
  if (question_mark != std::string::npos) {
    result.query = target.substr(question_mark + 1);
  }
  result.headers.reserve(request->headers.size);
  for (size_t i = 0; i < request->headers.size; ++i) {
    const h2o_header_t& header = request->headers.entries[i];
    result.headers.push_back({ToString(*header.name), ToString(header.value)});
  }
  if (request->entity.base != nullptr) {
    result.body = ToString(request->entity);
  }
  return result;
}

SSL_CTX* CreateTlsContext(const HttpServerOptions& options) {
  SSL_CTX* context = SSL_CTX_new(TLS_server_method());
  SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file(context, options.tls_certificate_file.c_str()) != 1 ||
      SSL_CTX_use_PrivateKey_file(context, options.tls_key_file.c_str(), SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(context) != 1) {
    ERR_clear_error();
    SSL_CTX_free(context);
    return nullptr;
  }
  return context;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(EventLoop* loop, HttpServerOptions options, HttpHandler* handler)
      : m_loop(loop), m_options(std::move(options)), m_handler(handler) {
    h2o_config_init(&m_config);
    m_config.max_request_entity_size = m_options.max_body_bytes;
    m_config.http1.req_timeout = (m_options.request_timeout + (AnswersLate() ? kLibraryGrace : Duration())).ms();
    m_config.http1.upgrade_to_http2 = 0;
    m_config.server_name = h2o_iovec_init(H2O_STRLIT("quetzalridge"));
    h2o_hostconf_t* host = h2o_config_register_host(&m_config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    // Refusals that h2o sends on its own belong to no path.
    h2o_create_filter(&host->fallback_path, sizeof(h2o_filter_t))->on_setup_ostream = &SetUpRefusal;
    auto* request_handler = reinterpret_cast<RequestHandler*>(h2o_create_handler(path, sizeof(RequestHandler)));
    request_handler->base.on_req = &OnRequest;
    request_handler->owner = this;
    h2o_context_init(&m_context, m_loop->h2o_loop(), &m_config);
    std::memset(&m_accept, 0, sizeof(m_accept));
    m_accept.ctx = &m_context;
    m_accept.hosts = m_config.hosts;
    if (!m_options.tls_certificate_file.empty() && !ReloadTls()) {
      throw Error(ErrorCode::kInvalidSettings, "cannot read the TLS certificate " + m_options.tls_certificate_file +
                                                   " or its key; give a PEM chain and the matching PEM key");
    }
    Listen();
  }

  // The h2o context stays, since connections may still refer to it; servers live as long as the process.
  ~Impl() { CloseListener(); }

  int port() const { return m_port; }

  void BeginShutdown() {
    CloseListener();
    StopKeepAlive();
  }

  void StopKeepAlive() { h2o_context_request_shutdown(&m_context); }

  int active_requests() const { return m_active_requests; }

  int open_connections() const { return static_cast<int>(m_connections.size()); }

  bool ReloadTls() {
    SSL_CTX* context = CreateTlsContext(m_options);
    if (context == nullptr) {
      return false;
    }
    if (m_accept.ssl_ctx != nullptr) {
      SSL_CTX_free(m_accept.ssl_ctx);
    }
    m_accept.ssl_ctx = context;
    return true;
  }

 private:
  struct RequestHandler {
    h2o_handler_t base;
    Impl* owner;
  };

  static int OnRequest(h2o_handler_t* self, h2o_req_t* request) {
    Impl* owner = reinterpret_cast<RequestHandler*>(self)->owner;
    h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
    auto responder = std::make_shared<H2oResponder>(request);
    void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(ResponderHolder), &DisposeHolder);
    ++owner->m_active_requests;
    new (memory) ResponderHolder{responder, [owner, socket] {
                                   --owner->m_active_requests;
                                   owner->AwaitRequest(socket);
                                 }};
    owner->Watch(responder);
    try {
      owner->Handle(request, socket, responder);
    } catch (const std::exception& error) {
      // A C frame is above; no exception may pass through it.
      SendError(responder.get(), ErrorCode::kInternal, std::string(error.what()) + "; report it", RequestRan::kUnknown);
    }
    return 0;
  }

  static void SendError(H2oResponder* responder, ErrorCode code, const std::string& message, RequestRan ran) {
    responder->Send(ErrorCodeHttpStatus(code), {{"content-type", "application/json"}},
                    EncodeErrorBody(code, message, ran));
  }

  void Handle(h2o_req_t* request, h2o_socket_t* socket, const std::shared_ptr<H2oResponder>& responder) {
    const auto connection = m_connections.find(socket);
    if (connection != m_connections.end()) {
      connection->second->deadline.reset();
      if (connection->second->refused) {
        responder->Abort();
        return;
      }
    }
    if (HeadBytes(request) > m_options.max_head_bytes) {
      request->http1_is_persistent = 0;
      SendError(responder.get(), ErrorCode::kPayloadTooLarge,
                "the request line and headers are larger than " + std::to_string(m_options.max_head_bytes) +
                    " bytes; send fewer or shorter headers",
                RequestRan::kNo);
      return;
    }
    m_handler->OnRequest(ReadRequest(request), responder);
  }

  // The answer is written to the socket past the HTTP library, which is possible without TLS only.
  bool AnswersLate() const { return m_options.tls_certificate_file.empty(); }

  // A whole request must follow within the timeout, however slowly it comes.
  void AwaitRequest(h2o_socket_t* socket) {
    const auto found = m_connections.find(socket);
    if (found == m_connections.end() || !AnswersLate()) {
      return;
    }
    Connection* connection = found->second.get();
    connection->bytes_before = socket->bytes_read;
    connection->deadline = m_loop->After(m_options.request_timeout, [this, connection] { OnLate(connection); });
  }

  // An idle connection is closed without an answer, since a caller could take one for that to its next request.
  void OnLate(Connection* connection) {
    h2o_socket_t* socket = connection->socket;
    const int fd = h2o_socket_get_fd(socket);
    // What still arrives is not run, because nothing can be answered any more.
    connection->refused = true;
    if (socket->bytes_read <= connection->bytes_before && socket->input->size == 0) {
      shutdown(fd, SHUT_RDWR);
      return;
    }
    const std::string body =
        EncodeErrorBody(ErrorCode::kRequestTimeout,
                        "the whole request did not arrive within " + std::to_string(m_options.request_timeout.ms()) +
                            " ms; check its content-length and send it again without pauses",
                        RequestRan::kNo);
    const std::string answer = "HTTP/1.1 " + std::to_string(ErrorCodeHttpStatus(ErrorCode::kRequestTimeout)) +
                               " Error\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body;
    send(fd, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    // The caller may still send; the library reads that and closes, so that no reset overtakes the answer.
    shutdown(fd, SHUT_WR);
  }

  void Watch(const std::shared_ptr<H2oResponder>& responder) {
    m_watched.push_back(responder);
    if (m_watch_timer == nullptr) {
      m_watch_timer = m_loop->After(m_options.caller_check_interval, [this] { CheckCallers(); });
    }
  }

  void CheckCallers() {
    std::vector<std::weak_ptr<H2oResponder>> watched;
    watched.swap(m_watched);
    m_watch_timer.reset();
    for (const std::weak_ptr<H2oResponder>& candidate : watched) {
      const std::shared_ptr<H2oResponder> responder = candidate.lock();
      if (responder == nullptr || responder->closed()) {
        continue;
      }
      responder->CheckCaller();
      if (!responder->closed()) {
        Watch(responder);
      }
    }
  }

  struct CloseNotice {
    Impl* owner;
    h2o_socket_t* socket;
  };

  void AddConnection(h2o_socket_t* socket) {
    auto connection = std::make_unique<Connection>();
    connection->socket = socket;
    m_connections[socket] = std::move(connection);
    socket->on_close.cb = [](void* data) {
      const std::unique_ptr<CloseNotice> notice(static_cast<CloseNotice*>(data));
      notice->owner->m_connections.erase(notice->socket);
    };
    socket->on_close.data = new CloseNotice{this, socket};
    AwaitRequest(socket);
  }

  static void OnAccept(h2o_socket_t* listener, const char* error) {
    auto* owner = static_cast<Impl*>(listener->data);
    if (error != nullptr) {
      return;
    }
    for (int accepted = 0; accepted < kListenBacklog; ++accepted) {
      h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
      if (socket == nullptr) {
        return;
      }
      owner->AddConnection(socket);
      h2o_accept(&owner->m_accept, socket);
    }
  }

  void Listen() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(m_options.port));
    if (inet_pton(AF_INET, m_options.ip.c_str(), &address.sin_addr) != 1) {
      throw Error(ErrorCode::kInvalidSettings,
                  "'" + m_options.ip + "' is not an IPv4 address; give a number such as 127.0.0.1");
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, kListenBacklog) != 0) {
      const std::string reason = std::strerror(errno);
      close(fd);
      throw Error(ErrorCode::kInvalidSettings, "cannot listen on " + m_options.ip + ":" +
                                                   std::to_string(m_options.port) + " (" + reason +
                                                   "); choose a free port");
    }
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_listener = h2o_evloop_socket_create(m_loop->h2o_loop(), fd, H2O_SOCKET_FLAG_DONT_READ);
    m_listener->data = this;
    h2o_socket_read_start(m_listener, &OnAccept);
  }

  void CloseListener() {
    if (m_listener != nullptr) {
      h2o_socket_close(m_listener);
      m_listener = nullptr;
    }
  }

  EventLoop* m_loop;
  HttpServerOptions m_options;
  HttpHandler* m_handler;
  h2o_globalconf_t m_config{};
  h2o_context_t m_context{};
  h2o_accept_ctx_t m_accept{};
  h2o_socket_t* m_listener = nullptr;
  int m_port = 0;
  int m_active_requests = 0;
  std::map<h2o_socket_t*, std::unique_ptr<Connection>> m_connections;
  std::vector<std::weak_ptr<H2oResponder>> m_watched;
  std::unique_ptr<Timer> m_watch_timer;
};

HttpServer::HttpServer(EventLoop* loop, HttpServerOptions options, HttpHandler* handler)
    : m_impl(std::make_unique<Impl>(loop, std::move(options), handler)) {}

HttpServer::~HttpServer() = default;

int HttpServer::port() const {
  return m_impl->port();
}

void HttpServer::BeginShutdown() {
  m_impl->BeginShutdown();
}

void HttpServer::StopKeepAlive() {
  m_impl->StopKeepAlive();
}

int HttpServer::open_connections() const {
  return m_impl->open_connections();
}

int HttpServer::active_requests() const {
  return m_impl->active_requests();
}

bool HttpServer::ReloadTls() {
  return m_impl->ReloadTls();
}

}  // namespace quetzalridge
