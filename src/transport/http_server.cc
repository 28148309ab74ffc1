#include "transport/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <limits>
#include <list>
#include <map>
#include <new>
#include <optional>
#include <set>
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
// A response is handed to the HTTP library in pieces of at most this size, since the library reports progress only at
// the end of a piece.
constexpr size_t kMaxPieceBytes = 128 << 10;
// A connection makes progress when it has received this many bytes. Fewer do not count, or a client could hold much
// memory by sending a byte now and then.
constexpr size_t kProgressBytes = 4 << 10;
// Small holders are charged, but neither refused nor the reason to end others, so that readiness checks are answered
// and streams of small events are not cut while large requests take the whole budget.
constexpr size_t kSmallHolderBytes = 16 << 10;
// A buffer of this size and more is a mapping of its own (see SetUpProcessMemory), of which only the pages that were
// written to take memory.
constexpr size_t kMappedBufferBytes = 256 << 10;
// Time for which accept waits after it has failed for want of descriptors.
constexpr Duration kAcceptPause = Duration::Milliseconds(50);
// The `retry-after` sent when memory is short. Holders that stand still are ended first, so memory is soon free again.
constexpr Duration kMemoryRetryAfter = Duration::Milliseconds(500);
// At most this many bytes of a refused request are read before its connection is closed. Unread bytes would make the
// kernel send a reset, which can overtake the answer.
constexpr size_t kMaxDiscardedBytes = 1 << 20;
constexpr size_t kDiscardBytes = 16 << 10;
constexpr char kBodyTooLargeText[] = "the body is larger than this server accepts; send a smaller one";
constexpr char kMemoryText[] = "the memory for requests is used up; send the request again later";

// Assigning an empty string keeps the memory of the old one.
void FreeText(std::string* text) {
  std::string().swap(*text);
}

std::string ToString(const h2o_iovec_t& iovec) {
  return std::string(iovec.base, iovec.len);
}

// A responder over one h2o request. h2o owns the request and disposes it when the response is complete or the caller
// has gone; m_request is null from then on.
class H2oResponder : public HttpResponder {
 public:
  // Called when the size of the unread response changes; `progressed` is set when the client has taken a piece.
  using OutputCallback = std::function<void(size_t pending_bytes, bool progressed)>;

  H2oResponder(h2o_req_t* request, const Clock* clock, OutputCallback on_output)
      : m_request(request), m_clock(clock), m_on_output(std::move(on_output)) {
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
    FlushAndReport();
  }

  void Start(int status, HttpHeaders headers) override {
    if (m_request == nullptr || m_started) {
      return;
    }
    StartResponse(status, headers);
    Flush();
  }

  void Write(std::string_view data) override {
    if (m_request == nullptr || m_ended || m_dropped) {
      return;
    }
    m_pending.append(data);
    FlushAndReport();
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

  // Ends the response of a client that does not read it.
  void Cut() {
    if (m_request == nullptr) {
      return;
    }
    h2o_socket_t* socket = m_request->conn->callbacks->get_socket(m_request->conn);
    shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    RunCloseCallback();
    Abort();
  }

  // Frees what h2o does not refer to, before a Cut that must wait for the next turn of the loop: a turn may end many
  // responses. Nothing more is sent.
  void DropUnsent() {
    m_dropped = true;
    FreeText(&m_in_flight);
    FreeText(&m_pending);
    m_handed_over = 0;
  }

  // Called before the server goes.
  void DropOutputCallback() { m_on_output = nullptr; }

  // Whether the client has taken no piece of the response for this long.
  bool IsStalled(Duration limit) const {
    return m_request != nullptr && m_sending && m_clock->Now() - m_piece_started_at >= limit;
  }

  bool closed() const override { return m_request == nullptr; }
  bool started() const override { return m_started; }
  size_t pending_bytes() const override { return m_pending.size() + m_in_flight.size() + m_piece.size(); }
  void SetCloseCallback(std::function<void()> callback) override { m_close_callback = std::move(callback); }

  // h2o calls this when the request's memory goes.
  void OnDisposed() {
    m_request = nullptr;
    m_on_output = nullptr;
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
    FreeText(&owner->m_piece);
    owner->Flush();
    owner->ReportOutput(true);
  }

  static void OnStop(h2o_generator_t* self, h2o_req_t*) {
    H2oResponder* owner = reinterpret_cast<Generator*>(self)->owner;
    owner->m_request = nullptr;
    owner->m_on_output = nullptr;
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
    if (m_request == nullptr || !m_started || m_sending || m_final_sent || (m_dropped && !m_aborted)) {
      return;
    }
    TakePiece();
    if (m_piece.empty() && !m_ended && m_head_sent) {
      return;
    }
    h2o_iovec_t buffer = h2o_iovec_init(m_piece.data(), m_piece.size());
    m_head_sent = true;
    m_sending = true;
    m_piece_started_at = m_clock->Now();
    m_final_sent = m_ended && m_in_flight.empty() && m_pending.empty();
    const h2o_send_state_t state =
        m_aborted ? H2O_SEND_STATE_ERROR : (m_final_sent ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
    h2o_send(m_request, &buffer, m_piece.empty() ? 0 : 1, state);
  }

  // Moves the next piece to m_piece. h2o refers to its memory until OnProceed; all the rest can be freed at any time.
  void TakePiece() {
    if (m_in_flight.empty()) {
      m_in_flight = std::move(m_pending);
      FreeText(&m_pending);
    }
    if (m_handed_over == 0 && m_in_flight.size() <= kMaxPieceBytes) {
      m_piece = std::move(m_in_flight);
      FreeText(&m_in_flight);
      return;
    }
    m_piece = m_in_flight.substr(m_handed_over, kMaxPieceBytes);
    m_handed_over += m_piece.size();
    if (m_handed_over == m_in_flight.size()) {
      FreeText(&m_in_flight);
      m_handed_over = 0;
    }
  }

  void FlushAndReport() {
    Flush();
    ReportOutput(false);
  }

  void ReportOutput(bool progressed) {
    if (m_on_output) {
      m_on_output(pending_bytes(), progressed);
    }
  }

  h2o_req_t* m_request;
  const Clock* m_clock;
  OutputCallback m_on_output;
  Generator m_generator{};
  std::function<void()> m_close_callback;
  std::string m_pending;
  // The part of the response that h2o is given in pieces, and how much of it was.
  std::string m_in_flight;
  size_t m_handed_over = 0;
  std::string m_piece;
  TimePoint m_piece_started_at;
  bool m_started = false;
  bool m_head_sent = false;
  bool m_sending = false;
  bool m_ended = false;
  bool m_dropped = false;
  bool m_aborted = false;
  bool m_final_sent = false;
};

// What a connection is doing.
enum class ConnectionState {
  kHandshake,
  // No byte of the next request has arrived.
  kIdle,
  kHead,
  kBody,
  // The request is whole, and its response is not complete.
  kHandling,
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
  const std::string body = EncodeErrorBody(
      too_large ? ErrorCode::kPayloadTooLarge : ErrorCode::kInvalidRequest,
      too_large ? kBodyTooLargeText : "the request is not valid HTTP/1.1; check its framing headers", RequestRan::kNo);
  auto* stream = reinterpret_cast<RefusalStream*>(h2o_add_ostream(request, sizeof(RefusalStream), slot));
  stream->base.do_send = &SendRefusal;
  stream->body = h2o_strdup(&request->pool, body.data(), body.size());
  request->res.content_length = stream->body.len;
  h2o_set_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, H2O_STRLIT("application/json"), 1);
  h2o_setup_next_ostream(request, &stream->base.next);
}

// Copies a body. The library keeps its buffer until the response is complete but does not read the body again, so the
// pages that lie within a large body are given back to the system, a part at a time.
std::string TakeBody(h2o_iovec_t body) {
  if (body.len < kMappedBufferBytes) {
    return ToString(body);
  }
  constexpr size_t kPartBytes = 1 << 20;
  const auto page = static_cast<size_t>(sysconf(_SC_PAGESIZE));
  // Of the body in its first page.
  const size_t misaligned = reinterpret_cast<uintptr_t>(body.base) % page;
  std::string copy;
  copy.reserve(body.len);
  size_t released = (page - misaligned) % page;
  for (size_t begin = 0; begin < body.len; begin += kPartBytes) {
    const size_t size = std::min(kPartBytes, body.len - begin);
    copy.append(body.base + begin, size);
    const size_t end = (misaligned + begin + size) / page * page - misaligned;
    if (end > released) {
      madvise(body.base + released, end - released, MADV_DONTNEED);
      released = end;
    }
  }
  return copy;
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
    result.body = TakeBody(request->entity);
  }
  return result;
}

// The memory that the buffer takes, without `released_bytes` of it. The written part of a large buffer counts twice,
// since it is copied to one of twice the size when it is full.
size_t BufferBytes(const h2o_buffer_t* buffer, size_t released_bytes = 0) {
  if (buffer->bytes == nullptr) {
    return 0;
  }
  if (buffer->capacity < kMappedBufferBytes) {
    return buffer->capacity;
  }
  const size_t written = static_cast<size_t>(buffer->bytes - buffer->_buf) + buffer->size;
  return 2 * (written - std::min(written, released_bytes));
}

// The size of the head, if it ends in the data. `searched` is the part that was searched before.
std::optional<size_t> FindHeadEnd(std::string_view data, size_t searched) {
  constexpr size_t kOverlap = 3;
  const size_t from = searched > kOverlap ? searched - kOverlap : 0;
  for (size_t end = data.find('\n', from); end != std::string_view::npos; end = data.find('\n', end + 1)) {
    const std::string_view rest = data.substr(end + 1, 2);
    if (rest.substr(0, 1) == "\n" || rest == "\r\n") {
      return end + 1 + (rest[0] == '\n' ? 1 : 2);
    }
  }
  return std::nullopt;
}

SSL_CTX* CreateTlsContext(const HttpServerOptions& options) {
  SSL_CTX* context = SSL_CTX_new(TLS_server_method());
  SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
  // An idle connection keeps no buffers, which would take about 34 KB.
  SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS);
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

HttpServerCounts& HttpServerCounts::operator+=(const HttpServerCounts& other) {
  closed_for_memory += other.closed_for_memory;
  refused_for_memory += other.refused_for_memory;
  closed_for_connections += other.closed_for_connections;
  not_accepted += other.not_accepted;
  too_large += other.too_large;
  late_requests += other.late_requests;
  late_readers += other.late_readers;
  return *this;
}

class HttpServer::Impl {
 public:
  Impl(EventLoop* loop, HttpServerOptions options, HttpHandler* handler)
      : m_loop(loop), m_options(std::move(options)), m_handler(handler) {
    h2o_config_init(&m_library->config);
    m_library->config.max_request_entity_size = m_options.max_body_bytes;
    m_library->config.http1.req_timeout = LibraryTimeoutMs();
    // Instances have no disk; by default, h2o moves buffers of 32 MB and more to a file.
    h2o_socket_buffer_mmap_settings.threshold = std::numeric_limits<size_t>::max();
    m_library->config.http1.upgrade_to_http2 = 0;
    m_library->config.server_name = h2o_iovec_init(H2O_STRLIT("quetzalridge"));
    h2o_hostconf_t* host = h2o_config_register_host(&m_library->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    // Refusals that h2o sends on its own belong to no path.
    h2o_create_filter(&host->fallback_path, sizeof(h2o_filter_t))->on_setup_ostream = &SetUpRefusal;
    m_request_handler = reinterpret_cast<RequestHandler*>(h2o_create_handler(path, sizeof(RequestHandler)));
    m_request_handler->base.on_req = &OnRequest;
    m_request_handler->owner = this;
    h2o_context_init(&m_library->context, m_loop->h2o_loop(), &m_library->config);
    m_library->accept.ctx = &m_library->context;
    m_library->accept.hosts = m_library->config.hosts;
    if (!m_options.tls_certificate_file.empty() && !ReloadTls()) {
      throw Error(ErrorCode::kInvalidSettings, "cannot read the TLS certificate " + m_options.tls_certificate_file +
                                                   " or its key; give a PEM chain and the matching PEM key");
    }
    Listen();
  }

  // Connections and responses may outlast the server. They are closed by their clients or by the timeouts of the
  // library, and further requests on them are not handled.
  ~Impl() {
    CloseListener();
    m_request_handler->owner = nullptr;
    // Only the server reacts to the end of a handshake.
    std::vector<h2o_socket_t*> in_handshake;
    for (const auto& [socket, connection] : m_connections) {
      if (socket->_cb.read == &OnRead) {
        socket->_cb.read = connection->read_callback;
      }
      socket->on_close.cb = nullptr;
      if (connection->state == ConnectionState::kHandshake) {
        in_handshake.push_back(socket);
      }
      if (const std::shared_ptr<H2oResponder> responder = connection->responder.lock()) {
        responder->DropOutputCallback();
      }
    }
    for (h2o_socket_t* socket : in_handshake) {
      h2o_socket_close(socket);
    }
  }

  int port() const { return m_port; }

  void SetLimits(const HttpServerLimits& limits) {
    static_cast<HttpServerLimits&>(m_options) = limits;
    m_library->config.max_request_entity_size = limits.max_body_bytes;
    m_library->config.http1.req_timeout = LibraryTimeoutMs();
    m_library->context.http1.req_timeout.timeout = m_library->config.http1.req_timeout;
  }

  const HttpServerCounts& counts() const { return m_counts; }

  void BeginShutdown() {
    CloseListener();
    StopKeepAlive();
  }

  void StopKeepAlive() { h2o_context_request_shutdown(&m_library->context); }

  int active_requests() const { return m_active_requests; }

  int open_connections() const { return static_cast<int>(m_connections.size()); }

  bool ReloadTls() {
    SSL_CTX* context = CreateTlsContext(m_options);
    if (context == nullptr) {
      return false;
    }
    if (m_library->accept.ssl_ctx != nullptr) {
      SSL_CTX_free(m_library->accept.ssl_ctx);
    }
    m_library->accept.ssl_ctx = context;
    return true;
  }

 private:
  struct RequestHandler {
    h2o_handler_t base;
    // Null once the server is destroyed.
    Impl* owner;
  };

  // What the loop and the connections refer to. The loop's list of timeouts has those of the context, so this is kept
  // for the life of the process, as the loop is.
  struct Library {
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept{};
  };

  static int OnRequest(h2o_handler_t* self, h2o_req_t* request) {
    auto* handler = reinterpret_cast<RequestHandler*>(self);
    Impl* owner = handler->owner;
    if (owner == nullptr) {
      // The library answers by itself.
      return -1;
    }
    h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
    const auto found = owner->m_connections.find(socket);
    Connection* connection = found == owner->m_connections.end() ? nullptr : found->second.get();
    H2oResponder::OutputCallback on_output;
    if (connection != nullptr) {
      on_output = [owner, connection](size_t pending_bytes, bool progressed) {
        owner->OnOutput(connection, pending_bytes, progressed);
      };
    }
    auto responder = std::make_shared<H2oResponder>(request, &owner->m_loop->clock(), std::move(on_output));
    void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(ResponderHolder), &DisposeHolder);
    ++owner->m_active_requests;
    new (memory) ResponderHolder{responder, [handler, socket] {
                                   if (handler->owner != nullptr) {
                                     --handler->owner->m_active_requests;
                                     handler->owner->OnResponseEnd(socket);
                                   }
                                 }};
    owner->Watch(responder);
    try {
      owner->Handle(request, connection, responder);
    } catch (const std::exception& error) {
      // A C frame is above; no exception may pass through it.
      SendError(responder.get(), ErrorCode::kInternal, std::string(error.what()) + "; report it", RequestRan::kUnknown);
    }
    return 0;
  }

  // One accepted connection, between its accept and its close.
  struct Connection {
    Connection(Impl* impl, h2o_socket_t* accepted)
        : owner(impl),
          socket(accepted),
          share(impl->m_options.memory, impl->m_options.holder_kind, [this] { owner->EndForMemory(this); }) {}
    Impl* owner;
    h2o_socket_t* socket;
    ConnectionState state = ConnectionState::kIdle;
    // The function of the HTTP library that OnRead stands in for.
    h2o_socket_cb read_callback = nullptr;
    // No further request of this connection is run.
    bool refused = false;
    // Runs while a whole request is awaited.
    std::unique_ptr<Timer> deadline;
    TimePoint request_started_at;
    TimePoint progress_at;
    // Bytes received since the last progress.
    size_t received_bytes = 0;
    // The part of a head that was searched for its end.
    size_t searched = 0;
    // The size of the head in the state kBody.
    size_t head_bytes = 0;
    // The memory of the request that is being handled, with its copies.
    size_t request_bytes = 0;
    // The response that is due.
    std::weak_ptr<H2oResponder> responder;
    MemoryBudget::ReclaimableShare share;
    // The position in m_idle in the state kIdle.
    std::list<Connection*>::iterator idle_position;
  };

  static void SendError(H2oResponder* responder, ErrorCode code, const std::string& message, RequestRan ran,
                        HttpHeaders headers = {}, Duration retry_after = Duration()) {
    headers.push_back({"content-type", "application/json"});
    responder->Send(ErrorCodeHttpStatus(code), std::move(headers),
                    EncodeErrorBody(code, message, ran, retry_after.ms()));
  }

  static std::string RetryAfterText(Duration duration) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(duration.ms()) / 1000.0);
    return text;
  }

  // `connection` is null if the server does not know the connection any more.
  void Handle(h2o_req_t* request, Connection* connection, const std::shared_ptr<H2oResponder>& responder) {
    if (connection != nullptr) {
      connection->deadline.reset();
      SetState(connection, ConnectionState::kHandling);
      connection->responder = responder;
      if (connection->refused) {
        responder->Abort();
        return;
      }
    }
    if (HeadBytes(request) > m_options.max_head_bytes) {
      ++m_counts.too_large;
      request->http1_is_persistent = 0;
      SendError(responder.get(), ErrorCode::kPayloadTooLarge, HeadTooLargeText(), RequestRan::kNo);
      return;
    }
    if (request->entity.len > m_options.max_body_bytes) {
      ++m_counts.too_large;
      request->http1_is_persistent = 0;
      SendError(responder.get(), ErrorCode::kPayloadTooLarge, kBodyTooLargeText, RequestRan::kNo);
      return;
    }
    if (connection != nullptr && !ChargeRequest(connection, request->entity.len)) {
      ++m_counts.refused_for_memory;
      request->http1_is_persistent = 0;
      SendError(responder.get(), ErrorCode::kMemoryExhausted, kMemoryText, RequestRan::kNo,
                {{"retry-after", RetryAfterText(kMemoryRetryAfter)}}, kMemoryRetryAfter);
      return;
    }
    m_handler->OnRequest(ReadRequest(request), responder);
  }

  static bool Charge(Connection* connection, size_t bytes, TimePoint now) {
    if (bytes <= kSmallHolderBytes) {
      connection->share.Record(bytes);
      return true;
    }
    return connection->share.Resize(bytes, now);
  }

  // Charges the copies of the body that handling it makes. Returns false if there is no memory for them.
  bool ChargeRequest(Connection* connection, size_t body_bytes) {
    const TimePoint now = m_loop->clock().Now();
    const size_t buffer_bytes = BufferBytes(connection->socket->input, body_bytes);
    connection->request_bytes = buffer_bytes + m_options.handled_body_copies * body_bytes;
    connection->share.MarkProgress(now);
    if (!Charge(connection, connection->request_bytes, now)) {
      connection->request_bytes = BufferBytes(connection->socket->input);
      connection->share.Record(connection->request_bytes);
      return false;
    }
    connection->share.SetProtected(true);
    return true;
  }

  std::string HeadTooLargeText() const {
    return "the request line and headers are larger than " + std::to_string(m_options.max_head_bytes) +
           " bytes; send fewer or shorter headers";
  }

  // An answer may be written to the socket past the HTTP library, which is possible without TLS only.
  bool AnswersEarly() const { return m_options.tls_certificate_file.empty(); }

  // The library's own timeout closes without an answer; it counts from the end of the request before.
  uint64_t LibraryTimeoutMs() const {
    return static_cast<uint64_t>((IdleTimeout() + HeadTimeout() + m_options.request_timeout + kLibraryGrace).ms());
  }

  Duration HeadTimeout() const {
    return m_options.head_timeout > Duration() ? m_options.head_timeout : m_options.request_timeout;
  }

  Duration IdleTimeout() const {
    return m_options.idle_timeout > Duration() ? m_options.idle_timeout : m_options.request_timeout;
  }

  void SetState(Connection* connection, ConnectionState state) {
    if (connection->state == ConnectionState::kIdle) {
      m_idle.erase(connection->idle_position);
    }
    connection->state = state;
    if (state == ConnectionState::kIdle) {
      connection->idle_position = m_idle.insert(m_idle.end(), connection);
    }
  }

  void ArmDeadline(Connection* connection, TimePoint deadline) {
    connection->deadline = m_loop->After(deadline - m_loop->clock().Now(), [this, connection] { OnLate(connection); });
  }

  // The library goes on to read the next request only after this call, so the read function is replaced later.
  void OnResponseEnd(h2o_socket_t* socket) {
    const auto found = m_connections.find(socket);
    if (found == m_connections.end()) {
      return;
    }
    Connection* connection = found->second.get();
    SetLibraryBodyLimit(connection);
    connection->request_bytes = 0;
    connection->share.Record(0);
    connection->share.SetProtected(false);
    BecomeIdle(connection);
    m_unwrapped.insert(connection);
    if (m_wrap_timer == nullptr) {
      m_wrap_timer = m_loop->After(Duration(), [this] { WrapReads(); });
    }
  }

  void BecomeIdle(Connection* connection) {
    const TimePoint now = m_loop->clock().Now();
    SetState(connection, ConnectionState::kIdle);
    connection->progress_at = now;
    connection->received_bytes = 0;
    ArmDeadline(connection, now + IdleTimeout());
  }

  void WrapReads() {
    m_wrap_timer.reset();
    // A connection that is closed meanwhile is removed from the set.
    while (!m_unwrapped.empty()) {
      Connection* connection = *m_unwrapped.begin();
      m_unwrapped.erase(m_unwrapped.begin());
      WrapRead(connection);
      OnInput(connection);
    }
  }

  // The library reports neither the size of an unfinished request nor its progress. The function that it calls for each
  // read is therefore replaced by OnRead, which calls it and then looks at the buffer.
  void WrapRead(Connection* connection) {
    h2o_socket_t* socket = connection->socket;
    if (socket->_cb.read != nullptr && socket->_cb.read != &OnRead) {
      connection->read_callback = socket->_cb.read;
      socket->_cb.read = &OnRead;
    }
  }

  static void OnRead(h2o_socket_t* socket, const char* error) {
    auto* connection = static_cast<Connection*>(socket->on_close.data);
    Impl* owner = connection->owner;
    owner->m_reading = connection;
    // In spite of its description in h2o's header, this is the number of bytes of one read.
    connection->received_bytes += socket->bytes_read;
    owner->SetLibraryBodyLimit(connection);
    connection->read_callback(socket, error);
    // The call may have closed the connection, which sets m_reading to null.
    if (owner->m_reading == nullptr) {
      return;
    }
    owner->m_reading = nullptr;
    owner->WrapRead(connection);
    owner->OnInput(connection);
  }

  // The library compares the limit with the announced length of a body, but that of a chunked body with all that it has
  // received, of which the head is a part. So a chunked body gets room for the head; OnInput and Handle compare its
  // exact length. If more than the limit has arrived with the head, it may be either, and the room does not matter to
  // an announced body.
  void SetLibraryBodyLimit(const Connection* connection) {
    const bool has_room =
        connection->state == ConnectionState::kBody || connection->socket->input->size > m_options.max_body_bytes;
    m_library->config.max_request_entity_size = m_options.max_body_bytes + (has_room ? m_options.max_head_bytes : 0);
  }

  // Follows the state of the request that is being received, and charges its memory.
  void OnInput(Connection* connection) {
    h2o_socket_t* socket = connection->socket;
    if (connection->state == ConnectionState::kHandling) {
      return;
    }
    if (connection->refused) {
      connection->share.Record(BufferBytes(socket->input));
      return;
    }
    const TimePoint now = m_loop->clock().Now();
    const h2o_buffer_t* input = socket->input;
    if (!h2o_socket_is_reading(socket)) {
      // The library refuses the request by itself. It closes the connection after its answer.
      ++m_counts.too_large;
      connection->refused = true;
      SetState(connection, ConnectionState::kBody);
      connection->share.Record(BufferBytes(input));
      return;
    }
    if (connection->state == ConnectionState::kIdle && input->size > 0) {
      SetState(connection, ConnectionState::kHead);
      connection->request_started_at = now;
      connection->progress_at = now;
      connection->share.MarkProgress(now);
      connection->searched = 0;
      ArmDeadline(connection, now + HeadTimeout());
    }
    if (connection->state == ConnectionState::kHead) {
      if (const std::optional<size_t> head = FindHeadEnd({input->bytes, input->size}, connection->searched)) {
        connection->head_bytes = *head;
        SetState(connection, ConnectionState::kBody);
        ArmDeadline(connection, connection->request_started_at + m_options.request_timeout);
      } else if (input->size > m_options.max_head_bytes) {
        ++m_counts.too_large;
        RefuseAndClose(connection, ErrorCode::kPayloadTooLarge, HeadTooLargeText(), Duration());
        return;
      }
      connection->searched = input->size;
    }
    if (connection->state == ConnectionState::kBody &&
        input->size > connection->head_bytes + m_options.max_body_bytes) {
      ++m_counts.too_large;
      RefuseAndClose(connection, ErrorCode::kPayloadTooLarge, kBodyTooLargeText, Duration());
      return;
    }
    if (connection->received_bytes >= kProgressBytes) {
      connection->received_bytes = 0;
      connection->progress_at = now;
      connection->share.MarkProgress(now);
    }
    if (!Charge(connection, BufferBytes(input), now)) {
      ++m_counts.closed_for_memory;
      RefuseAndClose(connection, ErrorCode::kMemoryExhausted, kMemoryText, kMemoryRetryAfter);
    }
  }

  void OnOutput(Connection* connection, size_t pending_bytes, bool progressed) {
    const TimePoint now = m_loop->clock().Now();
    if (progressed || pending_bytes == 0 || connection->share.bytes() <= connection->request_bytes) {
      connection->share.MarkProgress(now);
    }
    connection->share.SetProtected(pending_bytes == 0);
    const size_t bytes = connection->request_bytes + pending_bytes;
    if (pending_bytes <= kSmallHolderBytes) {
      connection->share.Record(bytes);
    } else if (!connection->share.Resize(bytes, now)) {
      connection->share.MarkEnding();
      EndForMemory(connection);
    }
  }

  // Ends the connection in favour of others.
  void EndForMemory(Connection* connection) {
    ++m_counts.closed_for_memory;
    if (connection->state == ConnectionState::kHandling || connection == m_reading) {
      // A response may be cut, and a connection closed, only outside of the calls that it has made.
      m_cut.push_back(connection->responder);
      if (const std::shared_ptr<H2oResponder> responder = connection->responder.lock()) {
        responder->DropUnsent();
      }
      connection->refused = true;
      if (m_cut_timer == nullptr) {
        m_cut_timer = m_loop->After(Duration(), [this] { CutResponses(); });
      }
      return;
    }
    RefuseAndClose(connection, ErrorCode::kMemoryExhausted, kMemoryText, kMemoryRetryAfter);
  }

  void CutResponses() {
    m_cut_timer.reset();
    std::vector<std::weak_ptr<H2oResponder>> cut;
    cut.swap(m_cut);
    for (const std::weak_ptr<H2oResponder>& candidate : cut) {
      if (const std::shared_ptr<H2oResponder> responder = candidate.lock()) {
        responder->Cut();
      }
    }
  }

  // Writes a response past the library, to a request that is not whole and therefore was not run.
  void WriteRefusal(Connection* connection, ErrorCode code, const std::string& message, Duration retry_after) {
    const std::string body = EncodeErrorBody(code, message, RequestRan::kNo, retry_after.ms());
    std::string answer = "HTTP/1.1 " + std::to_string(ErrorCodeHttpStatus(code)) +
                         " Error\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: " +
                         std::to_string(body.size()) + "\r\n";
    if (retry_after > Duration()) {
      answer += "retry-after: " + RetryAfterText(retry_after) + "\r\n";
    }
    answer += "\r\n" + body;
    send(h2o_socket_get_fd(connection->socket), answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  }

  // Refuses a request that is not whole, and frees its memory at once.
  void RefuseAndClose(Connection* connection, ErrorCode code, const std::string& message, Duration retry_after) {
    const bool has_request = connection->state == ConnectionState::kHead || connection->state == ConnectionState::kBody;
    if (AnswersEarly() && has_request && !connection->refused) {
      WriteRefusal(connection, code, message, retry_after);
      DiscardInput(h2o_socket_get_fd(connection->socket));
    }
    CloseNow(connection);
  }

  static void DiscardInput(int fd) {
    char buffer[kDiscardBytes];
    for (size_t discarded = 0; discarded < kMaxDiscardedBytes; discarded += sizeof(buffer)) {
      if (recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT) <= 0) {
        return;
      }
    }
  }

  // Closes a connection on which no request is being handled. Not to be called within a call of its read function.
  void CloseNow(Connection* connection) {
    h2o_socket_t* socket = connection->socket;
    connection->refused = true;
    if (connection->state == ConnectionState::kHandshake) {
      h2o_socket_close(socket);
      return;
    }
    if (connection == m_reading || !h2o_socket_is_reading(socket)) {
      shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
      return;
    }
    const h2o_socket_cb callback = socket->_cb.read == &OnRead ? connection->read_callback : socket->_cb.read;
    callback(socket, h2o_socket_error_closed);
  }

  // An idle connection is closed without an answer, since a caller could take one for that to its next request.
  void OnLate(Connection* connection) {
    h2o_socket_t* socket = connection->socket;
    const bool idle = connection->state == ConnectionState::kIdle || connection->state == ConnectionState::kHandshake;
    if (idle || connection->refused || !AnswersEarly() || !h2o_socket_is_reading(socket)) {
      m_counts.late_requests += idle || connection->refused ? 0 : 1;
      CloseNow(connection);
      return;
    }
    ++m_counts.late_requests;
    // What still arrives is not run, because nothing can be answered any more.
    connection->refused = true;
    const Duration limit = connection->state == ConnectionState::kHead ? HeadTimeout() : m_options.request_timeout;
    WriteRefusal(connection, ErrorCode::kRequestTimeout,
                 "the whole request did not arrive within " + std::to_string(limit.ms()) +
                     " ms; check its content-length and send it again without pauses",
                 Duration());
    // The caller may still send; the library reads that and closes, so that no reset overtakes the answer.
    shutdown(h2o_socket_get_fd(socket), SHUT_WR);
    ArmDeadline(connection, m_loop->clock().Now() + kLibraryGrace);
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
      if (m_options.response_piece_timeout > Duration() && responder->IsStalled(m_options.response_piece_timeout)) {
        ++m_counts.late_readers;
        responder->Cut();
      } else {
        responder->CheckCaller();
      }
      if (!responder->closed()) {
        Watch(responder);
      }
    }
  }

  Connection* AddConnection(h2o_socket_t* socket) {
    auto created = std::make_unique<Connection>(this, socket);
    Connection* connection = created.get();
    connection->idle_position = m_idle.insert(m_idle.end(), connection);
    m_connections[socket] = std::move(created);
    socket->on_close.cb = [](void* data) {
      auto* closed = static_cast<Connection*>(data);
      closed->owner->OnClosed(closed);
    };
    socket->on_close.data = connection;
    BecomeIdle(connection);
    return connection;
  }

  void OnClosed(Connection* connection) {
    if (connection->state == ConnectionState::kIdle) {
      m_idle.erase(connection->idle_position);
    }
    if (m_reading == connection) {
      m_reading = nullptr;
    }
    m_unwrapped.erase(connection);
    m_connections.erase(connection->socket);
  }

  // Closes the connection that has been idle for the longest time, or else the unfinished request that has made no
  // progress for the longest time. Returns false if there is neither.
  bool CloseOne() {
    Connection* chosen = m_idle.empty() ? nullptr : m_idle.front();
    if (chosen == nullptr) {
      for (const auto& [socket, connection] : m_connections) {
        const bool can_close = connection->state != ConnectionState::kHandling && h2o_socket_is_reading(socket);
        if (can_close && (chosen == nullptr || connection->progress_at < chosen->progress_at)) {
          chosen = connection.get();
        }
      }
    }
    if (chosen == nullptr) {
      return false;
    }
    ++m_counts.closed_for_connections;
    RefuseAndClose(chosen, ErrorCode::kMemoryExhausted,
                   "no more connections can be served; send the request again later", kMemoryRetryAfter);
    return true;
  }

  static void OnAccept(h2o_socket_t* listener, const char* error) {
    if (error == nullptr) {
      static_cast<Impl*>(listener->data)->Accept();
    }
  }

  void Accept() {
    for (int accepted = 0; accepted < kListenBacklog; ++accepted) {
      h2o_socket_t* socket = h2o_evloop_socket_accept(m_listener);
      if (socket == nullptr) {
        const bool out_of_descriptors = errno == EMFILE || errno == ENFILE;
        if (!out_of_descriptors || !IsConnectionWaiting()) {
          return;
        }
        if (CloseOne()) {
          continue;
        }
        ++m_counts.not_accepted;
        PauseAccept();
        return;
      }
      if (m_options.max_connections > 0 && open_connections() >= m_options.max_connections && !CloseOne()) {
        ++m_counts.not_accepted;
        h2o_socket_close(socket);
        continue;
      }
      Connection* connection = AddConnection(socket);
      if (m_library->accept.ssl_ctx == nullptr) {
        StartHttp(connection);
        continue;
      }
      SetState(connection, ConnectionState::kHandshake);
      socket->data = connection;
      h2o_socket_ssl_handshake(socket, m_library->accept.ssl_ctx, nullptr, &OnHandshake);
    }
  }

  // accept reports that no descriptor is free even if no connection waits.
  bool IsConnectionWaiting() const {
    pollfd listener{h2o_socket_get_fd(m_listener), POLLIN, 0};
    return poll(&listener, 1, 0) == 1;
  }

  static void OnHandshake(h2o_socket_t* socket, const char* error) {
    auto* connection = static_cast<Connection*>(socket->data);
    if (error != nullptr) {
      h2o_socket_close(socket);
      return;
    }
    connection->owner->SetState(connection, ConnectionState::kIdle);
    connection->owner->StartHttp(connection);
  }

  void StartHttp(Connection* connection) {
    timeval now{};
    gettimeofday(&now, nullptr);
    h2o_http1_accept(&m_library->accept, connection->socket, now);
    WrapRead(connection);
  }

  // A listener that is ready but cannot accept would keep the loop busy.
  void PauseAccept() {
    h2o_socket_read_stop(m_listener);
    m_accept_timer = m_loop->After(kAcceptPause, [this] {
      if (m_listener != nullptr) {
        h2o_socket_read_start(m_listener, &OnAccept);
      }
    });
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
    if (m_options.socket_buffer_bytes > 0) {
      // Accepted connections inherit these sizes.
      const int bytes = m_options.socket_buffer_bytes;
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
      setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    }
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
  // Not deleted.
  Library* m_library = new Library;
  // Part of the configuration in m_library, so it outlives the server.
  RequestHandler* m_request_handler = nullptr;
  h2o_socket_t* m_listener = nullptr;
  int m_port = 0;
  int m_active_requests = 0;
  HttpServerCounts m_counts;
  std::map<h2o_socket_t*, std::unique_ptr<Connection>> m_connections;
  // The connections in the state kIdle, the one that has been idle for the longest time first.
  std::list<Connection*> m_idle;
  // The connection whose read function is running.
  Connection* m_reading = nullptr;
  // Connections whose read function the library has set anew.
  std::set<Connection*> m_unwrapped;
  std::unique_ptr<Timer> m_wrap_timer;
  // Responses that are to be cut to free memory.
  std::vector<std::weak_ptr<H2oResponder>> m_cut;
  std::unique_ptr<Timer> m_cut_timer;
  std::unique_ptr<Timer> m_accept_timer;
  std::vector<std::weak_ptr<H2oResponder>> m_watched;
  std::unique_ptr<Timer> m_watch_timer;
};

HttpServer::HttpServer(EventLoop* loop, HttpServerOptions options, HttpHandler* handler)
    : m_impl(std::make_unique<Impl>(loop, std::move(options), handler)) {}

HttpServer::~HttpServer() = default;

int HttpServer::port() const {
  return m_impl->port();
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  m_impl->SetLimits(limits);
}

const HttpServerCounts& HttpServer::counts() const {
  return m_impl->counts();
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
