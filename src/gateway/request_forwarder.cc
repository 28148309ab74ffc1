#include "gateway/request_forwarder.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/hash.h"
#include "base/log_event.h"
#include "protocol/error_body.h"
#include "state/endpoint_choice.h"

namespace quetzalridge {

namespace {

// An answer up to this size is collected, so that another endpoint can be asked when it is cut.
constexpr size_t kCollectedBytes = 256 << 10;
// What a slow caller has not taken; more of an answer is not read from the endpoint's stream before the caller goes.
constexpr size_t kMaxPendingBytes = 8 << 20;
// Limits of a request whose caller and route set none.
constexpr Duration kDefaultTimeout = Duration::Seconds(60);
constexpr Duration kStreamIdleTimeout = Duration::Seconds(10);
// When no endpoint is there, one that restarts is back after a few seconds.
constexpr Duration kRetryAfterNoEndpoint = Duration::Milliseconds(500);
// An attempt that would have less time than this cannot be answered.
constexpr Duration kLeastTimeLeft = Duration::Milliseconds(5);
// The answer must leave before the caller's time ends.
constexpr Duration kAnswerMargin = Duration::Milliseconds(5);
constexpr int kFirstServerError = 500;
constexpr int kFirstFailure = 300;

}  // namespace

void SendError(HttpResponder* responder, ErrorCode code, const std::string& message, RequestRan ran,
               Duration retry_after) {
  HttpHeaders headers = {{"content-type", "application/json"}};
  if (retry_after > Duration()) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(retry_after.ms()) / 1000.0);
    headers.push_back({"retry-after", text});
  }
  responder->Send(ErrorCodeHttpStatus(code), std::move(headers), EncodeErrorBody(code, message, ran, retry_after.ms()));
}

// One request of a caller, from its arrival to its answer.
class RequestForwarder::Request : public EndpointCallObserver {
 public:
  Request(RequestForwarder* owner, uint64_t number, IncomingRequest request, const ServiceRoute& route,
          std::string workspace, std::shared_ptr<HttpResponder> responder)
      : m_owner(owner),
        m_number(number),
        m_request(std::move(request)),
        m_route(route),
        m_workspace(std::move(workspace)),
        m_responder(std::move(responder)),
        m_began_at(Now()) {}

  ~Request() override { EndCall(); }

  void Begin() {
    Duration limit = m_route.timeout > Duration() ? m_route.timeout : kDefaultTimeout;
    if (m_request.time_left.has_value()) {
      limit = std::min(limit, *m_request.time_left);
    }
    m_deadline = m_began_at + limit;
    m_deadline_timer = m_owner->m_context.scheduler->After(limit - kAnswerMargin, [this] { OnDeadline(); });
    m_responder->SetCloseCallback([this] { OnCallerGone(); });
    Attempt();
  }

  void OnHead(const EndpointResponseHead& head) override {
    m_head = head;
    m_owner->m_context.endpoints->OnResponse(m_endpoint);
    if (head.status < kFirstServerError && !head.not_run && !head.wrong_endpoint) {
      CountUsage();
    }
    if (m_route.kind == RouteKind::kStream && head.status < kFirstFailure) {
      StartPassing();
    }
  }

  void OnBody(std::string_view data) override {
    if (!m_first_byte.has_value()) {
      m_first_byte = Now() - m_began_at;
    }
    if (m_passing) {
      m_responder->Write(data);
      if (m_responder->pending_bytes() > kMaxPendingBytes) {
        LogEnd(LogEvent::kRequestAbandoned, "the caller does not read its answer");
        m_responder->Abort();
        Finish(RequestOutcome::kCallerError);
      }
      return;
    }
    m_body.append(data);
    if (m_body.size() > kCollectedBytes && !m_head->not_run && !m_head->wrong_endpoint) {
      StartPassing();
    }
  }

  void OnEvent(const StreamEvent&) override {}

  void OnEnd(const EndpointCallResult& result) override {
    const std::unique_ptr<EndpointExchange> ended = std::move(m_exchange);
    EndCall();
    if (m_passing) {
      EndPassing(result);
      return;
    }
    const bool refused = m_head.has_value() && (m_head->not_run || m_head->wrong_endpoint);
    const bool whole = result.outcome == EndpointCallOutcome::kComplete;
    if (whole && !refused && m_head->status < kFirstServerError) {
      SendAnswer();
      return;
    }
    LogAttempt(result, refused);
    NoteFailure(result, refused);
    const bool ran = !refused && result.outcome != EndpointCallOutcome::kNotSent;
    m_may_have_run = m_may_have_run || ran;
    m_runs += ran ? 1 : 0;
    const bool may_repeat = m_route.kind == RouteKind::kIdempotent || !m_may_have_run;
    if (may_repeat && m_runs < m_route.max_attempts && HasTime()) {
      // An answer that the endpoint did give is better than none, if no other endpoint gives a good one.
      if (whole && !refused) {
        m_failure = std::make_pair(*m_head, m_body);
      }
      Attempt();
      return;
    }
    if (whole && !refused) {
      SendAnswer();
      return;
    }
    SendFailure(result.timed_out);
  }

 private:
  TimePoint Now() const { return m_owner->m_context.scheduler->clock().Now(); }
  bool HasTime() const { return m_deadline - Now() > kLeastTimeLeft + kAnswerMargin; }

  void Attempt() {
    const std::string& service = ChooseService(m_route, Hash64(m_request.id));
    const std::vector<const DirectoryEndpoint*> usable = m_owner->m_context.endpoints->Usable(service);
    const DirectoryEndpoint* endpoint = ChooseForRequest(usable, m_owner->m_context.zone, m_tried, &m_owner->m_random);
    // An endpoint that was just full or gave no answer is asked again only in the place of none.
    const bool hopeless = endpoint != nullptr && m_tried.count(endpoint->entry.id) > 0 && m_refusals >= kMaxRefusals;
    if (endpoint == nullptr || hopeless) {
      SendFailure(false);
      return;
    }
    m_head.reset();
    m_body.clear();
    m_endpoint = endpoint->entry.id;
    m_tried.insert(m_endpoint);
    EndpointCall call;
    call.endpoint_id = m_endpoint;
    call.address = endpoint->entry.address;
    call.method = m_request.method;
    call.host = m_request.host;
    call.target = m_request.target;
    call.headers = m_request.headers;
    call.body = m_request.body;
    call.request_id = m_request.id;
    call.workspace = m_workspace;
    call.time_left = m_deadline - Now() - kAnswerMargin;
    call.head_timeout = call.time_left;
    call.idle_timeout = m_route.kind == RouteKind::kStream ? kStreamIdleTimeout : call.time_left;
    m_owner->m_context.endpoints->OnCallStarted(m_endpoint);
    m_call_counted = true;
    m_exchange = m_owner->m_context.caller->Start(std::move(call), this);
  }

  void EndCall() {
    if (m_call_counted) {
      m_owner->m_context.endpoints->OnCallEnded(m_endpoint);
      m_call_counted = false;
    }
  }

  void NoteFailure(const EndpointCallResult& result, bool refused) {
    EndpointDirectory* endpoints = m_owner->m_context.endpoints;
    if (refused) {
      ++m_refusals;
      if (m_head->wrong_endpoint) {
        endpoints->OnAddressReassigned(m_endpoint);
      } else {
        endpoints->OnFull(m_endpoint);
      }
      return;
    }
    const bool own_deadline = result.timed_out && !HasTime();
    if (!m_head.has_value() && !own_deadline) {
      const Duration avoidance = endpoints->OnNoResponse(m_endpoint);
      Log(LogEvent::kEndpointAvoided,
          {{"endpoint", m_endpoint}, {"for_ms", std::to_string(avoidance.ms())}, {"reason", result.detail}});
    }
  }

  void StartPassing() {
    m_passing = true;
    m_responder->Start(m_head->status, m_head->headers);
    m_responder->Write(m_body);
    m_body.clear();
  }

  void EndPassing(const EndpointCallResult& result) {
    if (result.outcome == EndpointCallOutcome::kComplete) {
      LogEnd(LogEvent::kRequestAnswered, "passed on");
      m_responder->End();
      Finish(RequestOutcome::kSucceeded);
      return;
    }
    LogEnd(LogEvent::kRequestAttemptFailed, "the answer was cut: " + result.detail);
    m_responder->Abort();
    Finish(RequestOutcome::kFailed);
  }

  void SendAnswer() {
    const bool good = m_head->status < kFirstFailure;
    LogEnd(LogEvent::kRequestAnswered, "");
    m_responder->Send(m_head->status, m_head->headers, std::move(m_body));
    Finish(good ? RequestOutcome::kSucceeded : RequestOutcome::kFailed);
  }

  // What the caller is told depends on whether an endpoint may have run the request.
  void SendFailure(bool timed_out) {
    if (m_failure.has_value()) {
      m_head = m_failure->first;
      m_body = m_failure->second;
      SendAnswer();
      return;
    }
    if (!m_may_have_run && !timed_out) {
      LogEnd(LogEvent::kRequestRefused, m_refusals > 0 ? "all endpoints are full" : "no endpoint is reachable");
      SendError(m_responder.get(), ErrorCode::kNoEndpoint, "no endpoint can take the request now; send it again later",
                RequestRan::kNo, kRetryAfterNoEndpoint);
      Finish(RequestOutcome::kRefused);
      return;
    }
    LogEnd(LogEvent::kRequestRefused, timed_out ? "no answer in time" : "the endpoint failed");
    SendError(m_responder.get(), timed_out ? ErrorCode::kEndpointTimeout : ErrorCode::kEndpointFailed,
              "the request may have run, and no whole answer came; repeat it only if that does no harm",
              RequestRan::kUnknown);
    Finish(RequestOutcome::kFailed);
  }

  void OnDeadline() {
    m_exchange.reset();
    EndCall();
    if (m_passing) {
      LogEnd(LogEvent::kRequestAttemptFailed, "the answer is not complete in time");
      m_responder->Abort();
      Finish(RequestOutcome::kFailed);
      return;
    }
    m_may_have_run = true;
    SendFailure(true);
  }

  void OnCallerGone() {
    m_exchange.reset();
    LogEnd(LogEvent::kRequestAbandoned, "the caller has closed its connection");
    Finish(RequestOutcome::kCallerError);
  }

  // A request counts where and when it began to run, once.
  void CountUsage() {
    if (m_counted || m_workspace.empty()) {
      return;
    }
    m_counted = true;
    UsageFigures figures;
    figures.requests = 1;
    m_owner->m_context.usage->Add(m_workspace, figures);
  }

  void LogAttempt(const EndpointCallResult& result, bool refused) {
    Log(LogEvent::kRequestAttemptFailed, {{"request", m_request.id},
                                          {"route", m_route.name},
                                          {"endpoint", m_endpoint},
                                          {"status", m_head.has_value() ? std::to_string(m_head->status) : "-"},
                                          {"not_run", refused ? "yes" : "no"},
                                          {"detail", result.detail},
                                          {"after_ms", std::to_string((Now() - m_began_at).ms())}});
  }

  void LogEnd(LogEvent event, const std::string& reason) {
    Log(event, {{"request", m_request.id},
                {"route", m_route.name},
                {"workspace", m_workspace},
                {"endpoint", m_endpoint},
                {"status", m_head.has_value() ? std::to_string(m_head->status) : "-"},
                {"endpoints_tried", std::to_string(m_tried.size())},
                {"ms", std::to_string((Now() - m_began_at).ms())},
                {"config_version", std::to_string(m_owner->m_context.routes->version())},
                {"reason", reason.empty() ? "-" : reason}});
  }

  // Destroys the request at the end of the turn, since its own callbacks may still run.
  void Finish(RequestOutcome outcome) {
    RequestRecord record;
    record.service = m_route.name;
    record.workspace = m_workspace;
    record.outcome = outcome;
    record.latency = Now() - m_began_at;
    record.streamed = m_route.kind == RouteKind::kStream;
    record.first_byte = m_first_byte;
    m_owner->m_context.metrics->OnRequestEnd(record);
    m_exchange.reset();
    EndCall();
    m_responder->SetCloseCallback(nullptr);
    m_deadline_timer = m_owner->m_context.scheduler->After(
        Duration(), [owner = m_owner, number = m_number] { owner->m_active.erase(number); });
  }

  // Endpoints that may refuse one request as full before the caller is told so.
  static constexpr int kMaxRefusals = 4;

  RequestForwarder* m_owner;
  uint64_t m_number;
  IncomingRequest m_request;
  // A copy: the configuration may change meanwhile.
  ServiceRoute m_route;
  std::string m_workspace;
  std::shared_ptr<HttpResponder> m_responder;
  TimePoint m_began_at;
  TimePoint m_deadline;
  std::unique_ptr<Timer> m_deadline_timer;
  std::unique_ptr<EndpointExchange> m_exchange;
  std::string m_endpoint;
  std::set<std::string> m_tried;
  std::optional<EndpointResponseHead> m_head;
  std::string m_body;
  // The last answer with a server error.
  std::optional<std::pair<EndpointResponseHead, std::string>> m_failure;
  std::optional<Duration> m_first_byte;
  int m_runs = 0;
  int m_refusals = 0;
  bool m_may_have_run = false;
  bool m_call_counted = false;
  bool m_passing = false;
  bool m_counted = false;
};

RequestForwarder::RequestForwarder(ForwarderContext context, uint64_t seed)
    : m_context(std::move(context)), m_random(seed) {}

RequestForwarder::~RequestForwarder() = default;

void RequestForwarder::Forward(IncomingRequest request, const ServiceRoute& route, const std::string& workspace,
                               std::shared_ptr<HttpResponder> responder) {
  const uint64_t number = m_next_request++;
  auto entry = std::make_unique<Request>(this, number, std::move(request), route, workspace, std::move(responder));
  Request* started = entry.get();
  m_active[number] = std::move(entry);
  started->Begin();
}

}  // namespace quetzalridge
