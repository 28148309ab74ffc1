#include "gateway/relay_handler.h"

#include "base/number.h"
#include "protocol/relay_codec.h"
#include "transport/http_relay_client.h"

namespace quetzalridge {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;
// Limit of the bytes of a response that the other instance has not read yet.
constexpr size_t kMaxPendingBytes = 8 << 20;

void Refuse(HttpResponder* responder, RelayRefusal refusal) {
  responder->Send(kStatusUnavailable, {{kRelayRefusalHeader, std::string(RelayRefusalName(refusal))}}, "");
}

const char* ReachabilityText(Reachability reachability) {
  switch (reachability) {
    case Reachability::kReached:
      return kReachedText;
    case Reachability::kNotReached:
      return kNotReachedText;
    case Reachability::kUnknown:
      return "";
  }
  return "";
}

}  // namespace

// One call of another instance. Writes what the endpoint responds as frames.
class RelayHandler::Call : public EndpointCallObserver {
 public:
  Call(RelayHandler* handler, uint64_t number, std::string endpoint, std::shared_ptr<HttpResponder> responder)
      : m_handler(handler),
        m_number(number),
        m_endpoint(std::move(endpoint)),
        m_count(handler->m_context.endpoints, m_endpoint),
        m_memory(handler->m_context.response_memory),
        m_responder(std::move(responder)) {}
  ~Call() override { m_responder->SetCloseCallback(nullptr); }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Begin(EndpointCall call) {
    // The caller has left, or the other instance: the endpoint must stop its work.
    m_responder->SetCloseCallback([this] { Finish(); });
    m_responder->Start(kStatusOk, {{"content-type", "application/octet-stream"}});
    // The HTTP library sends the head with the first part of the body, and the other instance waits for it.
    KeepAlive();
    m_exchange = m_handler->m_context.relay->StartForPeer(std::move(call), this);
  }

  void OnHead(const EndpointResponseHead& head) override {
    m_handler->m_context.endpoints->OnResponse(m_endpoint);
    Write(RelayFrameType::kHead, EncodeResponseHead(head));
  }
  void OnBody(std::string_view data) override { Write(RelayFrameType::kBody, data); }
  void OnEvent(const StreamEvent& event) override { Write(RelayFrameType::kEvent, EncodeStreamEvent(event)); }
  void OnEnd(const EndpointCallResult& result) override {
    m_responder->Write(EncodeRelayFrame(RelayFrameType::kEnd, EncodeCallResult(result)));
    m_responder->End();
    Finish();
  }

 private:
  void Write(RelayFrameType type, std::string_view content) {
    m_responder->Write(EncodeRelayFrame(type, content));
    const size_t pending = m_responder->pending_bytes();
    if (!m_memory.Resize(pending) || pending > kMaxPendingBytes) {
      m_responder->Abort();
      Finish();
    }
  }

  void KeepAlive() {
    m_responder->Write(EncodeRelayFrame(RelayFrameType::kKeepAlive, ""));
    m_timer = m_handler->m_context.scheduler->After(kRelayKeepAliveInterval, [this] { KeepAlive(); });
  }

  void Finish() {
    m_exchange.reset();
    m_memory.Release();
    m_responder->SetCloseCallback(nullptr);
    // Runs in a later turn of the event loop, since this function may be called within a callback of this object.
    m_timer = m_handler->m_context.scheduler->After(
        Duration(), [handler = m_handler, number = m_number] { handler->Remove(number); });
  }

  RelayHandler* m_handler;
  uint64_t m_number;
  std::string m_endpoint;
  EndpointCallCount m_count;
  MemoryBudget::Share m_memory;
  std::shared_ptr<HttpResponder> m_responder;
  std::unique_ptr<EndpointExchange> m_exchange;
  std::unique_ptr<Timer> m_timer;
};

RelayHandler::RelayHandler(RelayHandlerContext context) : m_context(std::move(context)) {}

RelayHandler::~RelayHandler() = default;

bool RelayHandler::OnRequest(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const std::string question_path = kReachabilityPath;
  if (request.path == kRelayCallPath) {
    OnCall(request, responder);
    return true;
  }
  if (request.path.compare(0, question_path.size(), question_path) == 0) {
    OnReachabilityQuestion(request.path.substr(question_path.size()), responder);
    return true;
  }
  return false;
}

int RelayHandler::MaxCalls() const {
  int slots = 0;
  for (const auto& [id, endpoint] : m_context.endpoints->endpoints()) {
    slots += endpoint.entry.slots;
  }
  return MaxRelayedCalls(slots, m_context.instance_count());
}

std::optional<RelayRefusal> RelayHandler::Refusal(const std::string& endpoint) const {
  if (m_context.is_stopping()) {
    return RelayRefusal::kStopping;
  }
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  if (known == nullptr || !known->takes_work()) {
    return RelayRefusal::kUnknownEndpoint;
  }
  if (!m_context.relay->IsDirect(endpoint)) {
    return RelayRefusal::kNoPath;
  }
  return active() >= MaxCalls() ? std::optional<RelayRefusal>(RelayRefusal::kBusy) : std::nullopt;
}

void RelayHandler::OnCall(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  std::optional<EndpointCall> call = DecodeRelayedCall(request.body);
  if (!call.has_value()) {
    responder->Send(kStatusBadRequest, {}, "");
    return;
  }
  const std::optional<RelayRefusal> refusal = Refusal(call->endpoint_id);
  if (refusal.has_value()) {
    Refuse(responder.get(), *refusal);
    return;
  }
  call->address = m_context.endpoints->Find(call->endpoint_id)->entry.address;
  ++m_accepted;
  const uint64_t number = m_next_call++;
  auto entry = std::make_unique<Call>(this, number, call->endpoint_id, responder);
  Call* created = entry.get();
  m_calls[number] = std::move(entry);
  created->Begin(std::move(*call));
}

void RelayHandler::OnReachabilityQuestion(const std::string& text, const std::shared_ptr<HttpResponder>& responder) {
  const size_t slash = text.rfind('/');
  const std::optional<int64_t> age_ms =
      slash == std::string::npos ? std::nullopt : ParseInteger(text.substr(slash + 1));
  if (!age_ms.has_value() || *age_ms < 0) {
    responder->Send(kStatusBadRequest, {}, "");
    return;
  }
  m_context.relay->CheckReachability(
      text.substr(0, slash), Duration::Milliseconds(*age_ms),
      [responder](Reachability reachability) { responder->Send(kStatusOk, {}, ReachabilityText(reachability)); });
}

void RelayHandler::Remove(uint64_t number) {
  m_calls.erase(number);
}

}  // namespace quetzalridge
