#include "transport/http_relay_client.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "protocol/relay_codec.h"

namespace quetzalridge {

namespace {

constexpr int kStatusOk = 200;
constexpr Duration kPeerConnectTimeout = Duration::Milliseconds(100);
// An instance accepts or refuses a call at once; a paused one does neither.
constexpr Duration kAcceptTimeout = Duration::Milliseconds(400);
// Includes the time in which the other instance probes the endpoint.
constexpr Duration kReachabilityTimeout = Duration::Milliseconds(800);
// The other instance ends the call at its deadline and reports that.
constexpr Duration kDeadlineMargin = Duration::Milliseconds(200);
constexpr Duration kMaxCallDuration = Duration::Seconds(120);

}  // namespace

// One call that another instance passes on. The observer may destroy it in each call to it.
class HttpRelayClient::Exchange : public EndpointExchange, public HttpCallObserver {
 public:
  explicit Exchange(RelayObserver* observer) : m_observer(observer) {}

  void Begin(HttpClient* client, HttpCall call) { m_exchange = client->Start(std::move(call), this); }

  void OnHead(int status, const HttpHeaders& headers) override {
    if (status == kStatusOk) {
      m_accepted = true;
      m_observer->OnAccepted();
      return;
    }
    const std::string* refusal = FindHeader(headers, kRelayRefusalHeader);
    m_exchange.reset();
    m_observer->OnRefused(RelayRefusalFromName(refusal == nullptr ? "" : *refusal));
  }

  void OnBody(std::string_view data) override {
    const std::weak_ptr<bool> alive = m_alive;
    for (const RelayFrame& frame : m_parser.Feed(data)) {
      const bool valid = OnFrame(frame);
      if (alive.expired() || m_ended) {
        return;
      }
      if (!valid) {
        EndWithout("the instance that passes the call on sent a malformed response");
        return;
      }
    }
    if (m_parser.malformed()) {
      EndWithout("the instance that passes the call on sent a malformed response");
    }
  }

  void OnEnd(const CallResult& result) override {
    if (m_ended) {
      return;
    }
    if (result.outcome == CallOutcome::kNotSent) {
      m_observer->OnRefused(RelayRefusal::kNotAsked);
      return;
    }
    EndWithout("the instance that passes the call on did not complete the response: " + result.detail);
  }

 private:
  // Returns false if the content of the frame is malformed. This object may be destroyed then.
  bool OnFrame(const RelayFrame& frame) {
    switch (frame.type) {
      case RelayFrameType::kKeepAlive:
        return true;
      case RelayFrameType::kHead: {
        const std::optional<EndpointResponseHead> head = DecodeResponseHead(frame.content);
        if (head.has_value() && !m_has_head) {
          m_has_head = true;
          m_observer->OnHead(*head);
          return true;
        }
        return false;
      }
      case RelayFrameType::kBody:
        if (!m_has_head) {
          return false;
        }
        m_observer->OnBody(frame.content);
        return true;
      case RelayFrameType::kEvent: {
        const std::optional<StreamEvent> event = DecodeStreamEvent(frame.content);
        if (!event.has_value() || !m_has_head) {
          return false;
        }
        m_observer->OnEvent(*event);
        return true;
      }
      case RelayFrameType::kEnd: {
        const std::optional<EndpointCallResult> result = DecodeCallResult(frame.content);
        if (!result.has_value()) {
          return false;
        }
        m_ended = true;
        m_observer->OnEnd(*result);
        return true;
      }
    }
    return false;
  }

  // Without a report of the other instance, the endpoint may have run the call.
  void EndWithout(const std::string& detail) {
    m_ended = true;
    m_exchange.reset();
    EndpointCallResult result;
    result.outcome = m_has_head ? EndpointCallOutcome::kTruncated : EndpointCallOutcome::kNoResponse;
    result.peer_failed = true;
    result.detail = detail;
    m_observer->OnEnd(result);
  }

  RelayObserver* m_observer;
  RelayFrameParser m_parser;
  bool m_accepted = false;
  bool m_has_head = false;
  bool m_ended = false;
  std::unique_ptr<HttpExchange> m_exchange;
  // Expires when this object is destroyed.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

std::unique_ptr<EndpointExchange> HttpRelayClient::Start(const std::string& instance, const EndpointCall& call,
                                                         RelayObserver* observer) {
  HttpCall http;
  // An empty address fails as not sent.
  http.address = m_address_of(instance);
  http.method = "POST";
  http.target = kRelayCallPath;
  http.body = EncodeRelayedCall(call);
  http.connect_timeout = kPeerConnectTimeout;
  http.head_timeout = kAcceptTimeout;
  http.idle_timeout = kRelayKeepAliveInterval * 2;
  http.total_timeout = call.time_left > Duration() ? call.time_left + kDeadlineMargin : kMaxCallDuration;
  auto exchange = std::make_unique<Exchange>(observer);
  exchange->Begin(m_client, std::move(http));
  return exchange;
}

void HttpRelayClient::AskReachability(const std::string& instance, const std::string& endpoint, Duration age,
                                      std::function<void(Reachability)> callback) {
  HttpCall call;
  call.address = m_address_of(instance);
  call.target = kReachabilityPath + endpoint + "/" + std::to_string(std::max<int64_t>(age.ms(), 0));
  call.connect_timeout = kPeerConnectTimeout;
  call.head_timeout = kReachabilityTimeout;
  call.total_timeout = kReachabilityTimeout;
  m_client->Fetch(std::move(call), [callback = std::move(callback)](const HttpResponse& response) {
    Reachability reachability = Reachability::kUnknown;
    if (response.result.outcome == CallOutcome::kWhole && response.status == kStatusOk) {
      reachability = response.body == kReachedText      ? Reachability::kReached
                     : response.body == kNotReachedText ? Reachability::kNotReached
                                                        : Reachability::kUnknown;
    }
    callback(reachability);
  });
}

}  // namespace quetzalridge
