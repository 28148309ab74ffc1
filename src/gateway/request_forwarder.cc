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
#include "coordination/avoid_endpoint.h"
#include "protocol/error_body.h"
#include "state/endpoint_choice.h"
#include "state/request_fingerprint.h"
#include "state/split_choice.h"

namespace quetzalridge {

namespace {

// A response up to this size is buffered before any of it is sent to the caller, so that the request can be retried at
// another endpoint if the response is truncated.
constexpr size_t kMaxBufferedBytes = 256 << 10;
// Limit of the bytes of a response that a slow caller has not yet read. Beyond it, the request is aborted.
constexpr size_t kMaxPendingBytes = 8 << 20;
// Timeout of a request whose caller and route set none.
constexpr Duration kDefaultTimeout = Duration::Seconds(60);
// Longest time between two pieces of a stream.
constexpr Duration kStreamIdleTimeout = Duration::Seconds(10);
// The `retry-after` sent if no endpoint is available. An endpoint that restarts is back after a few seconds.
constexpr Duration kNoEndpointRetryAfter = Duration::Milliseconds(500);
// The `retry-after` sent if only this instance reaches no endpoint: another attempt arrives at another instance.
constexpr Duration kNoPathRetryAfter = Duration::Milliseconds(100);
// Longest time for which a request waits for a permit if all endpoints limit the rate of requests. Callers can return
// later, so the wait covers only gaps between requests, not an overload.
constexpr Duration kMaxPermitWait = Duration::Milliseconds(300);
// A refused request is retried elsewhere at the end of the refusal, which is brief. Afterwards the rest of the refusal
// is not awaited: it may come slowly, or have no end.
constexpr Duration kMaxRefusalTime = Duration::Milliseconds(200);
constexpr size_t kMaxRefusalBytes = 64 << 10;
// No further attempt is made with less time left than this, since no response could arrive in time.
constexpr Duration kMinTimeLeft = Duration::Milliseconds(5);
// The response is sent at least this long before the caller's deadline.
constexpr Duration kResponseMargin = Duration::Milliseconds(5);
// Longest time for which a suspect of the quarantine waits for an endpoint without other requests of this instance.
// After that it runs together with others.
constexpr Duration kMaxSuspectWait = Duration::Milliseconds(200);
constexpr Duration kSuspectPollInterval = Duration::Milliseconds(10);
// The `retry-after` sent for a quarantined request. An operator may clear it earlier.
constexpr Duration kQuarantineRetryAfter = Duration::Seconds(60);
// A request makes no further attempt after this number of endpoints have gone under it.
constexpr int kMaxEndpointsLost = 2;
constexpr int kFirstServerError = 500;
constexpr int kFirstNonSuccess = 300;

}  // namespace

Duration RequestLimit(const ServiceRoute& route, std::optional<Duration> time_left) {
  const Duration limit = route.timeout > Duration() ? route.timeout : kDefaultTimeout;
  return time_left.has_value() ? std::min(limit, *time_left) : limit;
}

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

// One request of a caller, from its arrival to the end of the response. Makes one attempt after another.
class RequestForwarder::Request : public EndpointCallObserver {
 public:
  Request(RequestForwarder* forwarder, uint64_t number, IncomingRequest request, const ServiceRoute& route,
          std::string workspace, std::shared_ptr<HttpResponder> responder)
      : m_forwarder(forwarder),
        m_number(number),
        m_request(std::move(request)),
        m_route(route),
        m_workspace(std::move(workspace)),
        m_responder(std::move(responder)),
        m_started_at(Now()),
        m_memory(forwarder->m_context.response_memory) {}

  ~Request() override {
    EndCall();
    StopWaiting();
  }

  void Start() {
    const Duration limit = RequestLimit(m_route, m_request.time_left);
    m_deadline = m_started_at + limit;
    m_deadline_timer = m_forwarder->m_context.scheduler->After(limit - kResponseMargin, [this] { OnDeadline(); });
    m_responder->SetCloseCallback([this] { OnCallerDisconnected(); });
    if (ContinuesStream()) {
      m_service = OwnService(m_request.stream_id);
      FindOrigin();
      return;
    }
    StartAttempt();
  }

  // Sends the request to the next endpoint, waits for a permit, or sends a failure if no endpoint can take the request.
  void StartAttempt();

  void OnHead(const EndpointResponseHead& head) override {
    m_head = head;
    m_forwarder->m_context.endpoints->OnResponse(m_endpoint);
    if (IsRefused()) {
      m_refusal_bytes = 0;
      m_refusal_timer =
          m_forwarder->m_context.scheduler->After(kMaxRefusalTime, [this] { EndRefusedAttempt("its end is late"); });
      return;
    }
    if (head.status < kFirstServerError) {
      CountUsage();
    }
    if (m_route.kind == RouteKind::kStream && head.status < kFirstNonSuccess) {
      if (IsResumableStream() && !ContinuesStream()) {
        RecordOrigin();
      } else {
        StartForwarding();
      }
    }
  }

  void OnBody(std::string_view data) override {
    if (IsRefused()) {
      m_refusal_bytes += data.size();
      if (m_refusal_bytes > kMaxRefusalBytes) {
        EndRefusedAttempt("it is too long");
      }
      return;
    }
    if (!m_first_byte.has_value()) {
      m_first_byte = Now() - m_started_at;
    }
    if (m_forwarding) {
      m_responder->Write(data);
    } else {
      m_body.append(data);
      if (m_body.size() > kMaxBufferedBytes && !m_recording) {
        StartForwarding();
      }
    }
    const size_t kept = m_body.size() + m_responder->pending_bytes();
    if (m_memory.Resize(kept) && kept <= kMaxPendingBytes) {
      return;
    }
    if (m_forwarding) {
      LogEnd(LogEvent::kRequestAbandoned, "the caller does not read the response");
      m_responder->Abort();
      Finish(RequestOutcome::kCallerError);
      return;
    }
    // The endpoint may have run the request, and nothing was sent to the caller yet.
    m_recording = false;
    m_exchange.reset();
    EndCall();
    m_may_have_run = true;
    SendFailure(false);
  }

  void OnEvent(const StreamEvent&) override {}

  void OnEnd(const EndpointCallResult& result) override {
    const std::unique_ptr<EndpointExchange> ended = std::move(m_exchange);
    m_refusal_timer.reset();
    EndCall();
    if (m_recording) {
      m_end_while_recording = result;
      return;
    }
    if (m_forwarding) {
      EndForwarding(result);
      return;
    }
    const bool refused = IsRefused();
    const bool complete = result.outcome == EndpointCallOutcome::kComplete;
    if (complete && !refused) {
      RecordSoundRun();
    }
    if (complete && !refused && m_head->status < kFirstServerError) {
      SendResponse();
      return;
    }
    LogFailedAttempt(result, refused);
    RecordFailure(result, refused);
    const bool ran = !refused && result.outcome != EndpointCallOutcome::kNotSent;
    m_may_have_run = m_may_have_run || ran;
    // An endpoint that this instance no longer reaches does not count towards the attempts of the route.
    m_run_count += ran && !result.path_failed ? 1 : 0;
    if (result.path_failed && result.outcome == EndpointCallOutcome::kNotSent) {
      // No other endpoint can be reached either.
      m_no_path = true;
      SendFailure(false);
      return;
    }
    const bool is_lost = ran && !complete && !result.timed_out && result.blames_endpoint();
    m_endpoints_lost += is_lost && IsSuspected() ? 1 : 0;
    const bool may_retry =
        (m_route.kind == RouteKind::kIdempotent || !m_may_have_run) && m_endpoints_lost < kMaxEndpointsLost;
    if (may_retry && m_run_count < m_route.max_attempts && HasTimeLeft()) {
      // If no other endpoint sends a better response, the caller receives this server error.
      if (complete && !refused) {
        m_server_error = std::make_pair(*m_head, m_body);
      }
      StartAttempt();
      return;
    }
    if (complete && !refused) {
      SendResponse();
      return;
    }
    SendFailure(result.timed_out);
  }

 private:
  TimePoint Now() const { return m_forwarder->m_context.scheduler->clock().Now(); }
  // The endpoint has not run the present attempt.
  bool IsRefused() const { return m_head.has_value() && (m_head->not_run || m_head->wrong_endpoint); }
  // A caller may continue the stream with another request after it was interrupted.
  bool IsResumableStream() const {
    return m_route.kind == RouteKind::kStream && m_route.resumable && m_forwarder->m_context.stream_origins != nullptr;
  }

  bool ContinuesStream() const { return IsResumableStream() && m_request.continues_stream; }
  // The service that the weights of the route give to a request; that of streams without a row in StreamOrigins.
  const std::string& OwnService(const std::string& id) const { return ChooseService(m_route, Hash64(id)); }
  // The name of a stream in StreamOrigins, from the id of the attempt that began it. Workspaces do not share streams.
  std::string StreamName(const std::string& id) const { return m_workspace + "/" + id; }

  // Only endpoints with the software version that began the stream may continue it.
  void FindOrigin() {
    const std::string name = m_request.stream_id.empty() ? "" : StreamName(m_request.stream_id);
    m_forwarder->m_context.stream_origins->Find(
        name, m_service, m_guard.Wrap([this](const std::optional<StreamOrigin>& origin) {
          if (m_finished) {
            return;
          }
          if (!origin.has_value()) {
            LogEnd(LogEvent::kRequestRefused, "the software version that began the stream is not known");
            SendError(m_responder.get(), ErrorCode::kStoreUnavailable,
                      "the metadata store does not answer; send the request again later", RequestRan::kNo,
                      kNoEndpointRetryAfter);
            Finish(RequestOutcome::kRefused);
            return;
          }
          m_service = origin->service;
          m_software_version = origin->software_version;
          StartAttempt();
        }));
  }

  // Before the caller gets any part of a stream, each instance must be able to find the software version that began it.
  void RecordOrigin() {
    const StreamOrigin origin{m_service, m_attempt_software_version};
    m_recording = true;
    m_forwarder->m_context.stream_origins->Record(StreamName(m_request.id), origin, OwnService(m_request.id),
                                                  m_guard.Wrap([this, origin](StreamRecordOutcome outcome) {
                                                    if (!m_finished) {
                                                      OnOriginRecorded(origin, outcome);
                                                    }
                                                  }));
  }

  void OnOriginRecorded(const StreamOrigin& origin, StreamRecordOutcome outcome) {
    m_recording = false;
    const StreamOrigins* origins = m_forwarder->m_context.stream_origins;
    const std::string common = origins->CommonVersion(origin.service).value_or("");
    // Without a row and a common version, another instance would continue the stream on the version that becomes the
    // common one later. That can only be this version if the service has no other. Without a row, it would also
    // continue the stream on the request's own service.
    const bool is_own_service = origin.service == OwnService(m_request.id);
    const bool other_may_become_common = common.empty() && !m_forwarder->m_context.endpoints->HasOnlySoftwareVersion(
                                                               origin.service, origin.software_version);
    const bool cannot_be_found =
        outcome == StreamRecordOutcome::kNotRecorded && (!is_own_service || other_may_become_common);
    if (outcome == StreamRecordOutcome::kUnknown || cannot_be_found) {
      // A row of this stream may exist or not, so no instance may continue it.
      m_exchange.reset();
      m_end_while_recording.reset();
      EndCall();
      m_may_have_run = true;
      SendFailure(false);
      return;
    }
    const bool common_is_served =
        !common.empty() && m_forwarder->m_context.endpoints->HasSoftwareVersion(origin.service, common);
    if (outcome == StreamRecordOutcome::kNotRecorded && common != origin.software_version && common_is_served) {
      // Without a row, the stream counts as begun by the common version, so it has to be.
      m_exchange.reset();
      m_end_while_recording.reset();
      EndCall();
      m_software_version = common;
      m_may_have_run = true;
      ++m_run_count;
      if (m_run_count < m_route.max_attempts && HasTimeLeft()) {
        StartAttempt();
      } else {
        SendFailure(false);
      }
      return;
    }
    if (common != origin.software_version || !is_own_service) {
      m_software_version = origin.software_version;
    }
    if (!m_end_while_recording.has_value()) {
      StartForwarding();
      return;
    }
    const EndpointCallResult result = *m_end_while_recording;
    m_end_while_recording.reset();
    if (result.outcome == EndpointCallOutcome::kComplete) {
      StartForwarding();
    }
    OnEnd(result);
  }

  // Closes the connection of an attempt whose refusal does not end, and continues as after its end.
  void EndRefusedAttempt(const std::string& reason) {
    EndpointCallResult result;
    result.outcome = EndpointCallOutcome::kTruncated;
    result.detail = "the refusal was cut off: " + reason;
    OnEnd(result);
  }
  // Selects the service of the next attempt. Returns false if no service of the route is left that may run it. The
  // request would be refused if it did not leave its own service, so it does not wait there for long. A stream that may
  // be continued leaves only a service without working endpoints: each one needs a row in the table, whose rate of
  // writes is too low for all streams under overload.
  bool SelectService() {
    const bool has_begun = m_software_version.has_value();
    const bool leaves_full_service = !m_exhausted_services.empty() && !IsResumableStream();
    const std::vector<std::string> services =
        has_begun ? std::vector<std::string>{m_service}
                  : ChooseServices(m_route, Hash64(m_request.id), *m_forwarder->m_context.endpoints, Regions(),
                                   leaves_full_service ? kMaxServiceWait : Duration());
    const auto next = std::find_if(services.begin(), services.end(), [this](const std::string& service) {
      return m_exhausted_services.count(service) == 0;
    });
    if (next == services.end()) {
      return false;
    }
    m_service = *next;
    return true;
  }

  // A change of the configuration applies to the next attempt.
  HomeRegions Regions() const { return m_forwarder->m_context.routes->HomeRegionsOf(m_route, m_workspace); }
  bool HasTimeLeft() const { return m_deadline - Now() > kMinTimeLeft + kResponseMargin; }

  // Waits for a permit for one of the endpoints, unless none can be had in time. Returns whether the request waits.
  bool WaitForPermit(const std::vector<const DirectoryEndpoint*>& usable) {
    const Duration time_left = m_deadline - Now() - kMinTimeLeft - kResponseMargin;
    if (!m_permit_deadline.has_value()) {
      m_permit_deadline = Now() + std::min(kMaxPermitWait, time_left);
    }
    Duration shortest = kDefaultTimeout;
    for (const DirectoryEndpoint* endpoint : usable) {
      shortest = std::min(shortest, m_forwarder->m_context.permits->WaitFor(endpoint->entry.id));
    }
    m_permit_wait = shortest;
    const Duration remaining = *m_permit_deadline - Now();
    if (remaining <= Duration() || shortest > remaining) {
      return false;
    }
    m_waiting = true;
    m_forwarder->m_waiting.insert({m_route.priority, m_number});
    m_permit_timer = m_forwarder->m_context.scheduler->After(remaining, [this] { StartAttempt(); });
    return true;
  }

  void StopWaiting() {
    if (m_waiting) {
      m_forwarder->m_waiting.erase({m_route.priority, m_number});
      m_permit_timer.reset();
      m_waiting = false;
    }
  }

  void EndCall() {
    m_call_count.reset();
    if (m_runs_as_suspect) {
      m_forwarder->m_suspect_endpoints.erase(m_endpoint);
      m_runs_as_suspect = false;
    }
  }

  // Mostly no request is suspected, and then no body has to be hashed.
  bool HasSuspects() const {
    return m_forwarder->m_context.quarantine != nullptr && m_forwarder->m_context.quarantine->size() > 0;
  }
  uint64_t Fingerprint() {
    if (!m_fingerprint.has_value()) {
      m_fingerprint = RequestFingerprint(m_workspace, m_request.host + m_request.target, m_request.body.str());
    }
    return *m_fingerprint;
  }
  FingerprintVerdict Verdict() {
    return HasSuspects() ? m_forwarder->m_context.quarantine->Check(Fingerprint(), Now()) : FingerprintVerdict::kClear;
  }
  bool IsSuspected() { return Verdict() != FingerprintVerdict::kClear; }

  void RecordSoundRun() {
    if (HasSuspects()) {
      m_forwarder->m_context.quarantine->OnFinished(Fingerprint(), Now());
    }
  }

  // Refuses a request that crashes endpoints, also in the middle of its attempts.
  void RefuseQuarantined() {
    if (m_may_have_run) {
      SendFailure(false);
      return;
    }
    LogEnd(LogEvent::kRequestRefused, "the request is quarantined: " + FingerprintText(Fingerprint()));
    SendError(m_responder.get(), ErrorCode::kCrashedEndpoints,
              "this request has crashed the endpoints that ran it; change it, or ask an operator to clear " +
                  FingerprintText(Fingerprint()),
              RequestRan::kNo, kQuarantineRetryAfter);
    Finish(RequestOutcome::kRefused);
  }

  // Leaves the endpoints without other requests of this instance. Returns false if there are none and the request waits
  // for one.
  bool KeepIdleEndpoints(std::vector<const DirectoryEndpoint*>* usable) {
    std::vector<const DirectoryEndpoint*> idle;
    for (const DirectoryEndpoint* endpoint : *usable) {
      if (endpoint->in_flight == 0) {
        idle.push_back(endpoint);
      }
    }
    if (!idle.empty() || usable->empty()) {
      *usable = std::move(idle);
      return true;
    }
    if (!m_suspect_deadline.has_value()) {
      m_suspect_deadline = Now() + kMaxSuspectWait;
    }
    if (Now() >= *m_suspect_deadline || m_deadline - Now() < kMaxSuspectWait) {
      return true;
    }
    m_suspect_timer = m_forwarder->m_context.scheduler->After(kSuspectPollInterval, [this] { StartAttempt(); });
    return false;
  }

  // Leaves the endpoints on which no suspect runs, if there are any.
  void AvoidSuspects(std::vector<const DirectoryEndpoint*>* usable) const {
    std::vector<const DirectoryEndpoint*> others;
    for (const DirectoryEndpoint* endpoint : *usable) {
      if (m_forwarder->m_suspect_endpoints.count(endpoint->entry.id) == 0) {
        others.push_back(endpoint);
      }
    }
    if (!others.empty()) {
      *usable = std::move(others);
    }
  }

  void RecordFailure(const EndpointCallResult& result, bool refused) {
    EndpointDirectory* endpoints = m_forwarder->m_context.endpoints;
    if (refused) {
      ++m_refusals;
      if (m_head->wrong_endpoint) {
        endpoints->OnAddressReassigned(m_endpoint);
      } else {
        endpoints->OnFull(m_endpoint);
      }
      return;
    }
    const bool deadline_reached = result.timed_out && !HasTimeLeft();
    if (!m_head.has_value() && !deadline_reached && result.blames_endpoint()) {
      AvoidEndpoint(endpoints, m_endpoint, result.detail);
    }
  }

  // Sends the head of the response and the buffered part of the body. From then on, the request cannot be retried.
  void StartForwarding() {
    m_forwarding = true;
    m_responder->Start(m_head->status, m_head->headers);
    m_responder->Write(m_body);
    m_body.clear();
  }

  void EndForwarding(const EndpointCallResult& result) {
    if (result.outcome == EndpointCallOutcome::kComplete) {
      RecordSoundRun();
      LogEnd(LogEvent::kRequestAnswered, "passed on");
      m_responder->End();
      Finish(RequestOutcome::kSucceeded);
      return;
    }
    LogEnd(LogEvent::kRequestAttemptFailed, "the response was truncated: " + result.detail);
    m_responder->Abort();
    Finish(RequestOutcome::kFailed);
  }

  void SendResponse() {
    const bool succeeded = m_head->status < kFirstNonSuccess;
    LogEnd(LogEvent::kRequestAnswered, "");
    m_responder->Send(m_head->status, m_head->headers, std::move(m_body));
    Finish(succeeded ? RequestOutcome::kSucceeded : RequestOutcome::kFailed);
  }

  std::string RefusalReason() const {
    if (m_software_version.has_value() &&
        !m_forwarder->m_context.endpoints->HasSoftwareVersion(m_service, *m_software_version)) {
      return "no endpoint has the software version that began the stream";
    }
    if (m_forwarder->m_context.endpoints->IsEvacuated(m_service)) {
      return "all endpoints of the service are in evacuated zones";
    }
    if (Regions().restricts() && m_forwarder->m_context.endpoints->Usable(m_service, Regions()).empty()) {
      return "no endpoint in the home regions is usable";
    }
    if (m_permit_deadline.has_value()) {
      return "the rate limits of all endpoints are reached";
    }
    if (m_no_path) {
      return "this instance reaches no endpoint, and no other instance can pass the request on";
    }
    return m_refusals > 0 ? "all endpoints are full" : "no endpoint is reachable";
  }

  // Sends an error, which depends on whether an endpoint may have run the request; or the last server error of an
  // endpoint, if there is one.
  void SendFailure(bool timed_out) {
    if (m_server_error.has_value()) {
      m_head = m_server_error->first;
      m_body = m_server_error->second;
      SendResponse();
      return;
    }
    if (!m_may_have_run && !timed_out) {
      LogEnd(LogEvent::kRequestRefused, RefusalReason());
      SendError(m_responder.get(), ErrorCode::kNoEndpoint, "no endpoint can take the request now; send it again later",
                RequestRan::kNo, m_no_path ? kNoPathRetryAfter : std::max(m_permit_wait, kNoEndpointRetryAfter));
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
    StopWaiting();
    m_recording = false;
    m_exchange.reset();
    m_refusal_timer.reset();
    EndCall();
    if (m_forwarding) {
      LogEnd(LogEvent::kRequestAttemptFailed, "the response was not complete before the deadline");
      m_responder->Abort();
      Finish(RequestOutcome::kFailed);
      return;
    }
    m_may_have_run = true;
    SendFailure(true);
  }

  void OnCallerDisconnected() {
    m_exchange.reset();
    m_refusal_timer.reset();
    LogEnd(LogEvent::kRequestAbandoned, "the caller has closed its connection");
    Finish(RequestOutcome::kCallerError);
  }

  // Counts the request for its workspace once, when the first endpoint has begun to run it.
  void CountUsage() {
    if (m_usage_counted || m_workspace.empty()) {
      return;
    }
    m_usage_counted = true;
    UsageCounters figures;
    figures.requests = 1;
    m_forwarder->m_context.usage->Add(m_workspace, figures);
  }

  void LogFailedAttempt(const EndpointCallResult& result, bool refused) {
    Log(LogEvent::kRequestAttemptFailed, {{"request", m_request.id},
                                          {"route", m_route.name},
                                          {"endpoint", m_endpoint},
                                          {"status", m_head.has_value() ? std::to_string(m_head->status) : "-"},
                                          {"not_run", refused ? "yes" : "no"},
                                          {"detail", result.detail},
                                          {"after_ms", std::to_string((Now() - m_started_at).ms())}});
  }

  void LogEnd(LogEvent event, const std::string& reason) {
    Log(event, {{"request", m_request.id},
                {"route", m_route.name},
                {"workspace", m_workspace},
                {"endpoint", m_endpoint},
                {"status", m_head.has_value() ? std::to_string(m_head->status) : "-"},
                {"endpoints_tried", std::to_string(m_tried.size())},
                {"ms", std::to_string((Now() - m_started_at).ms())},
                {"config_version", std::to_string(m_forwarder->m_context.routes->version())},
                {"reason", reason.empty() ? "-" : reason}});
  }

  // Ends the request. The object is destroyed in a later turn of the event loop, since this function may be called
  // within one of the object's own callbacks.
  void Finish(RequestOutcome outcome) {
    RequestRecord record;
    record.service = m_route.name;
    record.workspace = m_workspace;
    record.outcome = outcome;
    record.latency = Now() - m_started_at;
    record.streamed = m_route.kind == RouteKind::kStream;
    record.first_byte = m_first_byte;
    m_forwarder->m_context.metrics->OnRequestEnd(record);
    m_finished = true;
    m_exchange.reset();
    m_body.clear();
    m_memory.Release();
    m_suspect_timer.reset();
    EndCall();
    StopWaiting();
    m_responder->SetCloseCallback(nullptr);
    m_deadline_timer = m_forwarder->m_context.scheduler->After(
        Duration(), [forwarder = m_forwarder, number = m_number] { forwarder->m_active.erase(number); });
  }

  // Number of refusals by endpoints after which no endpoint is tried a second time.
  static constexpr int kMaxRefusals = 4;

  RequestForwarder* m_forwarder;
  uint64_t m_number;
  IncomingRequest m_request;
  // A copy, since the configuration may change during the request.
  ServiceRoute m_route;
  std::string m_workspace;
  std::shared_ptr<HttpResponder> m_responder;
  TimePoint m_started_at;
  TimePoint m_deadline;
  std::unique_ptr<Timer> m_deadline_timer;
  std::unique_ptr<EndpointExchange> m_exchange;
  std::unique_ptr<Timer> m_refusal_timer;
  size_t m_refusal_bytes = 0;
  // The service of the latest attempt.
  std::string m_service;
  // Services that have no endpoint for the request.
  std::set<std::string> m_exhausted_services;
  // Only endpoints with this software version may run the request; any if absent.
  std::optional<std::string> m_software_version;
  // The origin of the stream is being recorded; arriving parts of the response are buffered.
  bool m_recording = false;
  // The attempt has ended in the meantime.
  std::optional<EndpointCallResult> m_end_while_recording;
  bool m_finished = false;
  CallbackGuard m_guard;
  std::string m_endpoint;
  // The software version of that endpoint when the attempt began.
  std::string m_attempt_software_version;
  std::set<std::string> m_tried;
  std::optional<EndpointResponseHead> m_head;
  std::string m_body;
  // The last complete response with a server error (status 500 or above).
  std::optional<std::pair<EndpointResponseHead, std::string>> m_server_error;
  std::optional<Duration> m_first_byte;
  // Number of attempts that an endpoint may have run.
  int m_run_count = 0;
  int m_refusals = 0;
  // No path to an endpoint was left, neither an own one nor through another instance.
  bool m_no_path = false;
  // Until when the request may wait for a permit; set when it begins to wait.
  std::optional<TimePoint> m_permit_deadline;
  // The shortest time until a permit may be had, when the request last had none.
  Duration m_permit_wait;
  std::unique_ptr<Timer> m_permit_timer;
  // Identifies the content of the request for the quarantine; computed when it is first needed.
  std::optional<uint64_t> m_fingerprint;
  // Until when a suspect waits for an endpoint without other requests; set when it begins to wait.
  std::optional<TimePoint> m_suspect_deadline;
  std::unique_ptr<Timer> m_suspect_timer;
  // The present attempt is in RequestForwarder::m_suspect_endpoints.
  bool m_runs_as_suspect = false;
  // Number of attempts that ended with the connection, after which the request was suspected.
  int m_endpoints_lost = 0;
  // The request is in RequestForwarder::m_waiting.
  bool m_waiting = false;
  bool m_may_have_run = false;
  std::optional<EndpointCallCount> m_call_count;
  // Parts of the response are sent to the caller as they arrive.
  bool m_forwarding = false;
  // The buffered part of the response, and what the caller has not read yet.
  MemoryBudget::Share m_memory;
  bool m_usage_counted = false;
};

void RequestForwarder::Request::StartAttempt() {
  StopWaiting();
  if (!SelectService()) {
    SendFailure(false);
    return;
  }
  std::vector<const DirectoryEndpoint*> usable = m_forwarder->m_context.endpoints->Usable(m_service, Regions());
  if (m_software_version.has_value()) {
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [this](const DirectoryEndpoint* endpoint) {
                                  return endpoint->entry.software_version != *m_software_version;
                                }),
                 usable.end());
  }
  const FingerprintVerdict verdict = Verdict();
  if (verdict == FingerprintVerdict::kQuarantined) {
    RefuseQuarantined();
    return;
  }
  const bool is_suspect = verdict == FingerprintVerdict::kSuspect;
  AvoidSuspects(&usable);
  if (is_suspect && !KeepIdleEndpoints(&usable)) {
    return;
  }
  const DirectoryEndpoint* endpoint = ChooseWithPermit(
      m_forwarder->m_context.permits, usable, [this](const std::vector<const DirectoryEndpoint*>& candidates) {
        return ChooseForRequest(candidates, m_forwarder->m_context.zone, m_tried, &m_forwarder->m_random);
      });
  if (endpoint == nullptr && !usable.empty() && WaitForPermit(usable)) {
    return;
  }
  // ChooseForRequest returns an endpoint that was already tried only if there is no other. Such an endpoint is tried
  // again until the limit of refusals is reached.
  const bool refusals_exhausted =
      endpoint != nullptr && m_tried.count(endpoint->entry.id) > 0 && m_refusals >= kMaxRefusals;
  if (endpoint == nullptr || refusals_exhausted) {
    m_exhausted_services.insert(m_service);
    StartAttempt();
    return;
  }
  m_head.reset();
  m_body.clear();
  m_endpoint = endpoint->entry.id;
  m_attempt_software_version = endpoint->entry.software_version;
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
  call.time_left = m_deadline - Now() - kResponseMargin;
  call.head_timeout = call.time_left;
  call.idle_timeout = m_route.kind == RouteKind::kStream ? kStreamIdleTimeout : call.time_left;
  call.is_repeatable = m_route.kind == RouteKind::kIdempotent;
  call.is_suspect = is_suspect;
  call.home_regions = Regions();
  call.runs_alone = is_suspect && endpoint->in_flight == 0;
  if (is_suspect) {
    m_runs_as_suspect = m_forwarder->m_suspect_endpoints.insert(m_endpoint).second;
  }
  m_call_count.emplace(m_forwarder->m_context.endpoints, m_endpoint);
  m_exchange = m_forwarder->m_context.endpoint_caller->Start(std::move(call), this);
}

RequestForwarder::RequestForwarder(ForwarderContext context, uint64_t seed)
    : m_context(std::move(context)), m_random(seed) {}

RequestForwarder::~RequestForwarder() {
  // The requests refer to the other members.
  m_active.clear();
}

void RequestForwarder::OnPermits() {
  // A request that finds no permit waits again.
  const std::set<std::pair<int, uint64_t>> waiting = m_waiting;
  for (const auto& entry : waiting) {
    if (m_waiting.count(entry) > 0) {
      m_active.at(entry.second)->StartAttempt();
    }
  }
}

void RequestForwarder::Forward(IncomingRequest request, const ServiceRoute& route, const std::string& workspace,
                               std::shared_ptr<HttpResponder> responder) {
  const uint64_t number = m_next_request++;
  auto entry = std::make_unique<Request>(this, number, std::move(request), route, workspace, std::move(responder));
  Request* created = entry.get();
  m_active[number] = std::move(entry);
  created->Start();
}

}  // namespace quetzalridge
