#include "transport/http_client.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <stdexcept>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/http_status.h"
#include "base/ip_port.h"
#include "base/number.h"
#include "transport/detail_h2o.h"
#include "transport/detail_http_parser.h"
#include "transport/socket_address.h"

namespace quetzalridge {

namespace {

// A pooled connection is dropped before the server's keep-alive limit, since a request written to a connection that the
// server closes at that moment has an unknown outcome. This is below common servers' limits, for servers that state
// none.
constexpr Duration kPoolIdleTimeout = Duration::Seconds(4);
// Bounds the idle connections of servers that state long limits.
constexpr Duration kLongestPoolIdleTimeout = Duration::Seconds(20);
// The server's clock for its own limit started earlier than ours.
constexpr Duration kKeepAliveMargin = Duration::Seconds(1);
constexpr size_t kMaxHeaders = 100;
constexpr size_t kMaxHeadBytes = 64 << 10;
// Bytes of one call that belong to no part of its own response: interim responses and responses to other requests. A
// server that repeats a response sends one of them, not a stream of them.
constexpr size_t kMaxForeignBytes = 1 << 20;
// Bytes of a chunked body between two pieces of data: chunk sizes, their extensions, and trailers.
constexpr size_t kMaxChunkOverheadBytes = 64 << 10;
// What a socket has read is parsed in pieces of this size: removing a small message from a buffer moves the rest of it.
constexpr size_t kMaxParsedPiece = 16 << 10;
// A socket's buffer that has grown beyond this is freed once it is empty. h2o would keep it with the connection.
constexpr size_t kMaxKeptInputCapacity = 64 << 10;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kParseError = -1;
constexpr int kParseIncomplete = -2;

std::string BuildHead(const HttpCall& call) {
  std::string head = call.method + " " + call.target + " HTTP/1.1\r\n";
  if (FindHeader(call.headers, "host") == nullptr) {
    head += "host: " + call.address + "\r\n";
  }
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

// The parser leaves the blanks after a field value, which are not part of it.
std::string_view TrimEnd(std::string_view value) {
  return value.substr(0, value.find_last_not_of(" \t") + 1);
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

enum class BodyFraming {
  kNone,
  kContentLength,
  kChunked,
  kUntilClose,
  // Lengths that contradict each other or are no numbers.
  kInvalid,
};

struct ResponseHead {
  int minor_version = 0;
  int status = 0;
  HttpHeaders headers;
  BodyFraming framing = BodyFraming::kNone;
  size_t content_length = 0;
};

// Sets `framing` and `content_length` from the status and the headers.
void SetFraming(bool is_head_request, ResponseHead* head) {
  if (is_head_request || head->status == kNoContent || head->status == kNotModified) {
    head->framing = BodyFraming::kNone;
    return;
  }
  if (FindHeader(head->headers, "transfer-encoding") != nullptr) {
    const bool chunked = ToLower(*FindHeader(head->headers, "transfer-encoding")) == "chunked";
    head->framing = chunked ? BodyFraming::kChunked : BodyFraming::kInvalid;
    return;
  }
  head->framing = BodyFraming::kUntilClose;
  for (const HttpHeader& header : head->headers) {
    if (header.name != "content-length") {
      continue;
    }
    const std::optional<int64_t> length = ParseInteger(header.value);
    const bool valid = length.has_value() && header.value[0] != '-';
    const bool differs =
        valid && head->framing == BodyFraming::kContentLength && static_cast<size_t>(*length) != head->content_length;
    if (!valid || differs) {
      head->framing = BodyFraming::kInvalid;
      return;
    }
    head->framing = BodyFraming::kContentLength;
    head->content_length = static_cast<size_t>(*length);
  }
}

// How long the peer keeps the connection open while it is idle, as far as its answer tells.
Duration IdleTimeOf(const HttpHeaders& headers) {
  const std::string* keep_alive = FindHeader(headers, "keep-alive");
  if (keep_alive == nullptr) {
    return kPoolIdleTimeout;
  }
  const size_t position = ToLower(*keep_alive).find("timeout=");
  if (position == std::string::npos) {
    return kPoolIdleTimeout;
  }
  const Duration stated = Duration::Seconds(std::atoi(keep_alive->c_str() + position + std::strlen("timeout=")));
  return std::min(kLongestPoolIdleTimeout, stated - kKeepAliveMargin);
}

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
  explicit Impl(EventLoop* loop) : m_loop(loop) {}

  ~Impl() {
    std::unordered_set<FetchCall*> fetches;
    fetches.swap(m_fetches);
    for (FetchCall* fetch : fetches) {
      DeleteFetch(fetch);
    }
  }

  std::unique_ptr<HttpExchange> Start(HttpCall call, HttpCallObserver* observer);
  void Fetch(HttpCall call, std::function<void(const HttpResponse&)> callback, size_t max_body_bytes);
  void DropIdle(const std::string& address) { m_idle.erase(address); }
  int64_t connections_made() const { return m_connections_made; }

 private:
  class Connection;
  class Call;
  class Handle;
  class FetchCall;

  static void DeleteFetch(FetchCall* fetch);
  std::unique_ptr<Connection> TakeIdle(const std::string& address);
  void Keep(std::unique_ptr<Connection> connection, const std::string& address, Duration idle_time);
  void Drop(const std::string& address, Connection* connection);

  EventLoop* m_loop;
  std::map<std::string, std::deque<std::unique_ptr<Connection>>> m_idle;
  std::unordered_set<FetchCall*> m_fetches;
  int64_t m_connections_made = 0;
};

// A socket that closes with its owner.
class HttpClient::Impl::Connection {
 public:
  explicit Connection(h2o_socket_t* socket) : m_socket(socket) {}
  ~Connection() { h2o_socket_close(m_socket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  h2o_socket_t* socket() { return m_socket; }

  // Makes the end of this object reset the connection. What was written and not yet delivered is lost then; otherwise
  // the network would still deliver it when a partition ends.
  void ResetOnClose() {
    const linger reset_on_close{1, 0};
    setsockopt(h2o_socket_get_fd(m_socket), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
  }

  // While idle, a byte or the end of the connection drops it: such bytes answer no request.
  void WatchIdle(Impl* owner, const std::string& address, Duration idle_time) {
    m_owner = owner;
    m_address = address;
    m_socket->data = this;
    h2o_socket_read_start(m_socket, [](h2o_socket_t* socket, const char*) {
      auto* self = static_cast<Connection*>(socket->data);
      self->m_owner->Drop(self->m_address, self);
    });
    m_expiry = owner->m_loop->After(idle_time, [this] { m_owner->Drop(m_address, this); });
  }
  void StopWatching() { m_expiry.reset(); }

 private:
  h2o_socket_t* m_socket;
  Impl* m_owner = nullptr;
  std::string m_address;
  std::unique_ptr<Timer> m_expiry;
};

std::unique_ptr<HttpClient::Impl::Connection> HttpClient::Impl::TakeIdle(const std::string& address) {
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return nullptr;
  }
  std::unique_ptr<Connection> connection = std::move(found->second.back());
  found->second.pop_back();
  if (found->second.empty()) {
    m_idle.erase(found);
  }
  connection->StopWatching();
  return connection;
}

void HttpClient::Impl::Keep(std::unique_ptr<Connection> connection, const std::string& address, Duration idle_time) {
  connection->WatchIdle(this, address, idle_time);
  m_idle[address].push_back(std::move(connection));
}

void HttpClient::Impl::Drop(const std::string& address, Connection* connection) {
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return;
  }
  auto& connections = found->second;
  connections.erase(std::remove_if(connections.begin(), connections.end(),
                                   [connection](const auto& candidate) { return candidate.get() == connection; }),
                    connections.end());
  if (connections.empty()) {
    m_idle.erase(found);
  }
}

// State of one call. Owned by itself: deleted after the end callback or a cancel, whichever is first and outermost.
class HttpClient::Impl::Call {
 public:
  Call(Impl* client, HttpCall call, HttpCallObserver* observer)
      : m_client(client), m_call(std::move(call)), m_observer(observer), m_head_bytes(BuildHead(m_call)) {}

  ~Call() {
    if (m_connection != nullptr && m_written && !m_is_whole) {
      m_connection->ResetOnClose();
    }
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void SetHandle(Handle* handle) { m_handle = handle; }

  void Begin() {
    const std::optional<IpPort> target = ParseIpPort(m_call.address);
    if (!target.has_value() || target->port == 0) {
      // Addresses come from outside, and an exception in a callback would end the process.
      FinishLater("'" + m_call.address + "' is not an address; give an IPv4 number and a port, such as 127.0.0.1:8000");
      return;
    }
    m_total_timer = m_client->m_loop->After(m_call.total_timeout, [this] { OnTimeout("total time"); });
    if (!m_call.fresh_connection) {
      m_connection = m_client->TakeIdle(m_call.address);
    }
    if (m_connection != nullptr) {
      // The observer must not run before Start has returned.
      m_stage_timer = m_client->m_loop->After(Duration(), [this] {
        m_stage_timer.reset();
        Write();
      });
      m_connection->socket()->data = this;
      h2o_socket_read_start(m_connection->socket(), &OnRead);
      return;
    }
    ArmStage(m_call.connect_timeout, "connect");
    sockaddr_in address = ToSocketAddress(*target);
    h2o_socket_t* socket = h2o_socket_connect(m_client->m_loop->h2o_loop(), reinterpret_cast<sockaddr*>(&address),
                                              sizeof(address), &OnConnect);
    if (socket == nullptr) {
      FinishLater("no socket could be made; raise the limit of open files");
      return;
    }
    ++m_client->m_connections_made;
    m_connecting = true;
    m_connection = std::make_unique<Connection>(socket);
    socket->data = this;
  }

  // Called by the handle. Inside a callback the outermost frame deletes the call.
  void Cancel() {
    m_observer = nullptr;
    m_handle = nullptr;
    StopTimers();
    if (m_in_callback) {
      m_cancelled = true;
      return;
    }
    delete this;
  }

 private:
  static Call* From(h2o_socket_t* socket) { return static_cast<Call*>(socket->data); }

  void FinishLater(const std::string& detail) {
    m_total_timer = m_client->m_loop->After(Duration(), [this, detail] { Finish(CallOutcome::kNotSent, detail); });
  }

  static void OnConnect(h2o_socket_t* socket, const char* error) {
    Call* self = From(socket);
    if (error != nullptr) {
      self->Finish(CallOutcome::kNotSent, error);
      return;
    }
    self->m_connecting = false;
    h2o_socket_read_start(socket, &OnRead);
    self->Write();
  }

  void Write() {
    if (m_call.before_write && !m_call.before_write()) {
      Finish(CallOutcome::kNotSent, "abandoned before the write");
      return;
    }
    m_written = true;
    ArmStage(m_call.head_timeout, "response head");
    WriteSome();
  }

  // Writes what the connection takes, and continues when it takes more. After an error, the call ends when the response
  // that the peer may have sent before is read.
  //
  // Does not use the write of h2o, which does not report the error's code. The kernel reports the reset of a connection
  // once, to the first read or write after it; if that is a write, reads then report an orderly end of the connection.
  void WriteSome() {
    const size_t head_sent = std::min(m_sent, m_head_bytes.size());
    const size_t body_sent = m_sent - head_sent;
    iovec buffers[] = {{m_head_bytes.data() + head_sent, m_head_bytes.size() - head_sent},
                       {const_cast<char*>(m_call.body.data()) + body_sent, m_call.body.size() - body_sent}};
    msghdr message{};
    message.msg_iov = buffers;
    message.msg_iovlen = std::size(buffers);
    const ssize_t sent = sendmsg(h2o_socket_get_fd(m_connection->socket()), &message, MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      // EPIPE reports a reset after the peer's FIN, so what was received before is all that the peer has sent.
      m_connection_lost = errno != EPIPE;
      return;
    }
    m_sent += static_cast<size_t>(std::max<ssize_t>(sent, 0));
    if (!IsRequestSent()) {
      h2o_socket_notify_write(m_connection->socket(),
                              [](h2o_socket_t* socket, const char*) { From(socket)->WriteSome(); });
    }
  }

  bool IsRequestSent() const { return m_sent == m_head_bytes.size() + m_call.body.size(); }

  static void OnRead(h2o_socket_t* socket, const char* error) {
    Call* self = From(socket);
    if (!self->m_written) {
      // The pooled connection ended, or sent what answers no request, before this call used it.
      self->Finish(CallOutcome::kNotSent, "the kept connection was closed by the peer");
      return;
    }
    while (socket->input->size > 0) {
      self->TakeInput(&socket->input);
      if (!self->Parse()) {
        return;
      }
    }
    if (error != nullptr) {
      self->OnConnectionEnd(error);
    }
  }

  // Moves the next piece of what the socket has read to m_input.
  void TakeInput(h2o_buffer_t** input) {
    const size_t size = std::min((*input)->size, kMaxParsedPiece);
    if (m_head.has_value() && m_skipping) {
      m_foreign_bytes += size;
    }
    m_input.append((*input)->bytes, size);
    h2o_buffer_consume(input, size);
    if ((*input)->size == 0 && (*input)->capacity > kMaxKeptInputCapacity) {
      h2o_buffer_dispose(input);
      h2o_buffer_init(input, &h2o_socket_buffer_prototype);
    }
  }

  // False when the call has ended and was deleted.
  bool Parse() {
    while (true) {
      if (!m_head.has_value()) {
        if (m_input.empty()) {
          return true;
        }
        ResponseHead head;
        const int size = ParseHead(&head);
        if (size == kParseError || (size == kParseIncomplete && m_input.size() > kMaxHeadBytes)) {
          Finish(CallOutcome::kNoAnswer, "what the peer sent is not an HTTP response");
          return false;
        }
        if (size == kParseIncomplete) {
          m_parsed_head_bytes = m_input.size();
          return true;
        }
        m_parsed_head_bytes = 0;
        m_input.erase(0, static_cast<size_t>(size));
        const bool is_interim = head.status < kFirstFinalStatus;
        m_skipping = !is_interim && m_call.is_own_answer && !m_call.is_own_answer(head.headers);
        if (is_interim || m_skipping) {
          m_foreign_bytes += static_cast<size_t>(size) + (m_skipping ? m_input.size() : 0);
        }
        if (is_interim) {
          if (HasTooManyForeignBytes()) {
            return false;
          }
          continue;
        }
        m_head = std::move(head);
        m_chunk_overhead_bytes = 0;
        m_left = m_head->content_length;
        m_decoder = {};
        m_decoder.consume_trailer = 1;
        if (!m_skipping && !ReportHead()) {
          return false;
        }
      }
      if (m_head->framing == BodyFraming::kInvalid) {
        Finish(CallOutcome::kCut, "the length of the response body is not valid");
        return false;
      }
      if (HasTooManyForeignBytes()) {
        return false;
      }
      const std::optional<bool> ended = ParseBody();
      if (!ended.has_value()) {
        return false;
      }
      if (!*ended) {
        return true;
      }
      if (!m_skipping) {
        FinishWhole();
        return false;
      }
      m_head.reset();
    }
  }

  // If so, ends the call. Otherwise a peer could occupy this process until the call's timeout.
  bool HasTooManyForeignBytes() {
    if (m_foreign_bytes <= kMaxForeignBytes) {
      return false;
    }
    Finish(m_head.has_value() && !m_skipping ? CallOutcome::kCut : CallOutcome::kNoAnswer,
           "the peer sends responses to other requests without end");
    return true;
  }

  int ParseHead(ResponseHead* head) {
    phr_header headers[kMaxHeaders];
    size_t count = kMaxHeaders;
    const char* message = nullptr;
    size_t message_size = 0;
    const int size = phr_parse_response(m_input.data(), m_input.size(), &head->minor_version, &head->status, &message,
                                        &message_size, headers, &count, m_parsed_head_bytes);
    if (size < 0) {
      return size;
    }
    // No call asks to switch protocols.
    if (head->status < kFirstStatus || head->status > kLastStatus || head->status == kSwitchingProtocols) {
      return kParseError;
    }
    for (size_t i = 0; i < count; ++i) {
      if (headers[i].name == nullptr) {
        return kParseError;
      }
      head->headers.push_back({ToLower(std::string(headers[i].name, headers[i].name_len)),
                               std::string(TrimEnd({headers[i].value, headers[i].value_len}))});
    }
    SetFraming(m_call.method == "HEAD", head);
    return size;
  }

  // True at the end of the body, nothing when the call was deleted.
  std::optional<bool> ParseBody() {
    switch (m_head->framing) {
      case BodyFraming::kNone:
      case BodyFraming::kInvalid:
        return true;
      case BodyFraming::kUntilClose:
        return Deliver(std::exchange(m_input, std::string())) ? std::optional<bool>(false) : std::nullopt;
      case BodyFraming::kContentLength: {
        const size_t size = std::min(m_left, m_input.size());
        const std::string data = m_input.substr(0, size);
        m_input.erase(0, size);
        m_left -= size;
        if (!Deliver(data)) {
          return std::nullopt;
        }
        return m_left == 0;
      }
      case BodyFraming::kChunked:
        return ParseChunks();
    }
    return true;
  }

  std::optional<bool> ParseChunks() {
    std::string data = std::exchange(m_input, std::string());
    const size_t received = data.size();
    size_t size = received;
    if (size == 0) {
      return false;
    }
    const ptrdiff_t rest = phr_decode_chunked(&m_decoder, data.data(), &size);
    if (rest == kParseError) {
      if (m_skipping) {
        Finish(CallOutcome::kNoAnswer, "a response to another request is malformed");
      } else {
        Finish(CallOutcome::kCut, "a chunk of the response is malformed");
      }
      return std::nullopt;
    }
    if (rest > 0) {
      m_input = data.substr(size, static_cast<size_t>(rest));
    }
    data.resize(size);
    m_chunk_overhead_bytes = size > 0 ? 0 : m_chunk_overhead_bytes + received;
    if (m_chunk_overhead_bytes > kMaxChunkOverheadBytes) {
      Finish(m_skipping ? CallOutcome::kNoAnswer : CallOutcome::kCut,
             "a chunk or the trailers of the response have no end");
      return std::nullopt;
    }
    if (!Deliver(data)) {
      return std::nullopt;
    }
    return rest != kParseIncomplete;
  }

  // False when the observer cancelled the call.
  bool ReportHead() {
    ArmStage(m_call.idle_timeout, "response body");
    m_in_callback = true;
    m_observer->OnHead(m_head->status, m_head->headers);
    return EndCallback();
  }

  bool Deliver(const std::string& data) {
    if (data.empty() || m_skipping) {
      return true;
    }
    ArmStage(m_call.idle_timeout, "response body");
    m_in_callback = true;
    m_observer->OnBody(data);
    return EndCallback();
  }

  bool EndCallback() {
    m_in_callback = false;
    if (m_cancelled) {
      delete this;
      return false;
    }
    return true;
  }

  void OnConnectionEnd(const char* error) {
    if (!m_head.has_value() || m_skipping) {
      Finish(CallOutcome::kNoAnswer, error);
    } else if (m_head->framing != BodyFraming::kUntilClose) {
      Finish(CallOutcome::kCut, "the connection closed in the response body");
    } else if (!m_call.accepts_unframed_body) {
      Finish(CallOutcome::kCut, "the response has neither a length nor chunks, so its end cannot be told");
    } else if (error != h2o_socket_error_closed || m_connection_lost) {
      Finish(CallOutcome::kCut, "the connection was reset in the response body");
    } else {
      Finish(CallOutcome::kWhole, "");
    }
  }

  // Bytes after the response answer no request, so such a connection is not kept.
  void FinishWhole() {
    const std::string* header = FindHeader(m_head->headers, "connection");
    const bool closes = header != nullptr && ToLower(*header).find("close") != std::string::npos;
    const bool has_more_input = !m_input.empty() || m_connection->socket()->input->size > 0;
    const bool keeps = !m_call.fresh_connection && !closes && m_head->minor_version > 0 && !has_more_input &&
                       IsRequestSent() && m_head->framing != BodyFraming::kUntilClose;
    const Duration idle_time = IdleTimeOf(m_head->headers);
    if (keeps && idle_time > Duration()) {
      m_client->Keep(std::move(m_connection), m_call.address, idle_time);
    }
    Finish(CallOutcome::kWhole, "");
  }

  // Streams move their deadline with each piece, so the timer is set anew only when it fires early.
  void ArmStage(Duration timeout, const char* stage) {
    m_stage = stage;
    m_stage_deadline = m_client->m_loop->clock().Now() + timeout;
    if (m_stage_timer == nullptr || m_stage_deadline < m_stage_timer_at) {
      SetStageTimer();
    }
  }

  void SetStageTimer() {
    m_stage_timer_at = m_stage_deadline;
    m_stage_timer = m_client->m_loop->After(m_stage_deadline - m_client->m_loop->clock().Now(), [this] {
      if (m_client->m_loop->clock().Now() < m_stage_deadline) {
        SetStageTimer();
      } else {
        OnTimeout(m_stage);
      }
    });
  }

  void OnTimeout(const char* stage) {
    m_timed_out = true;
    CallOutcome outcome = CallOutcome::kNotSent;
    if (m_written) {
      outcome = m_head.has_value() && !m_skipping ? CallOutcome::kCut : CallOutcome::kNoAnswer;
    }
    Finish(outcome, std::string("timeout: ") + stage);
  }

  void StopTimers() {
    m_stage_timer.reset();
    m_total_timer.reset();
  }

  void Finish(CallOutcome outcome, const std::string& detail);

  Impl* m_client;
  HttpCall m_call;
  HttpCallObserver* m_observer;
  Handle* m_handle = nullptr;
  std::string m_head_bytes;
  std::unique_ptr<Connection> m_connection;
  std::string m_input;
  std::optional<ResponseHead> m_head;
  // The present response answers another request.
  bool m_skipping = false;
  size_t m_left = 0;
  // Size of the unfinished head at the last attempt to parse it.
  size_t m_parsed_head_bytes = 0;
  size_t m_foreign_bytes = 0;
  size_t m_chunk_overhead_bytes = 0;
  phr_chunked_decoder m_decoder{};
  std::unique_ptr<Timer> m_stage_timer;
  std::unique_ptr<Timer> m_total_timer;
  const char* m_stage = "";
  TimePoint m_stage_deadline;
  TimePoint m_stage_timer_at;
  // A new connection is being made.
  bool m_connecting = false;
  // The first write has begun.
  bool m_written = false;
  // Bytes of the request that were written.
  size_t m_sent = 0;
  // A write failed because the peer or the network has broken the connection off.
  bool m_connection_lost = false;
  bool m_timed_out = false;
  // The whole response has arrived.
  bool m_is_whole = false;
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
  m_is_whole = outcome == CallOutcome::kWhole;
  CallResult result;
  result.outcome = outcome;
  result.timed_out = m_timed_out;
  result.connection_failed = m_connecting;
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

void HttpClient::DropIdle(const std::string& address) {
  m_impl->DropIdle(address);
}

int64_t HttpClient::connections_made() const {
  return m_impl->connections_made();
}

}  // namespace quetzalridge
