#include "daemon/dispatcher_run.h"

#include <algorithm>

#include "base/hash.h"
#include "protocol/completion_request.h"

namespace quetzalridge {

namespace {

constexpr int kMaxAttempts = 4;
constexpr int kRequestIdBytes = 16;
// How often a run that waits for an idle or a reserved endpoint looks for one.
constexpr Duration kEndpointRetryInterval = Duration::Milliseconds(20);
constexpr Duration kRefusalRetryAfter = Duration::Milliseconds(1000);
constexpr size_t kMaxBufferedBytes = 64 << 20;
constexpr char kQuarantinedMessage[] = "this request crashed endpoints twice; change it or ask an operator to clear it";
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusServiceUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;
constexpr int kStatusServerError = 500;

// Returns whether the status is one for which another endpoint may return a better response.
bool IsRetryableStatus(int status) {
  return status == kStatusTooManyRequests || status == kStatusBadGateway || status == kStatusServiceUnavailable ||
         status == kStatusGatewayTimeout;
}

bool IsEventStream(const HttpHeaders& headers) {
  const std::string* type = FindHeader(headers, "content-type");
  return type != nullptr && type->compare(0, 17, "text/event-stream") == 0;
}

}  // namespace

Dispatcher::Run::Run(Dispatcher* owner, uint64_t id, DispatchRequest request, DispatchObserver* observer)
    : m_owner(owner), m_id(id), m_request(std::move(request)), m_observer(observer), m_started_at(Now()) {}

TimePoint Dispatcher::Run::Now() const {
  return m_owner->m_collaborators.scheduler->clock().Now();
}

void Dispatcher::Run::Begin() {
  m_timer =
      m_owner->m_collaborators.scheduler->After(Duration(), [self = shared_from_this()] { self->RequestAdmission(); });
}

AdmissionRequest Dispatcher::Run::MakeAdmissionRequest() const {
  const ConfigDocument& document = m_owner->m_collaborators.config->document();
  AdmissionRequest request;
  request.id = m_id;
  request.workspace = m_request.workspace;
  request.service = m_request.service;
  request.work_class = m_request.work_class;
  request.capacity = m_owner->m_collaborators.endpoints->Capacity(m_request.service);
  const auto workspace = document.workspaces().find(m_request.workspace);
  if (workspace != document.workspaces().end()) {
    request.workspace_share = workspace->second.share;
    request.max_concurrent = workspace->second.max_concurrent;
  }
  const auto service = document.services().find(m_request.service);
  if (service != document.services().end()) {
    const auto profile = document.profiles().find(service->second.profile);
    request.rollout_share_max =
        profile == document.profiles().end() ? request.rollout_share_max : profile->second.rollout_share_max;
  }
  return request;
}

void Dispatcher::Run::RequestAdmission() {
  const FingerprintVerdict verdict = m_owner->m_collaborators.quarantine->Check(m_request.fingerprint, Now());
  if (verdict == FingerprintVerdict::kQuarantined) {
    Refuse(ErrorCode::kQuarantined, kQuarantinedMessage, Duration());
    return;
  }
  m_admission_request = MakeAdmissionRequest();
  OnAdmissionResult(m_owner->m_collaborators.admission->Decide(m_admission_request, Now()));
}

void Dispatcher::Run::OnAdmissionResult(const AdmissionResult& result) {
  m_timer.reset();
  m_queued = false;
  switch (result.verdict) {
    case AdmissionVerdict::kAdmit:
      m_admitted = true;
      m_engine_priority = result.engine_priority;
      if (m_request.has_priority) {
        SetEnginePriority(&m_request.body, m_engine_priority);
      }
      ChooseEndpoint();
      return;
    case AdmissionVerdict::kShed:
      Refuse(ErrorCode::kOverloaded, "the workspace's share of the service is in use; send the request again later",
             std::max(result.retry_after, kRefusalRetryAfter));
      return;
    case AdmissionVerdict::kQueue:
      m_queued = true;
      m_timer =
          m_owner->m_collaborators.scheduler->After(m_owner->m_options.queue_timeout, [self = shared_from_this()] {
            self->Refuse(ErrorCode::kOverloaded, "no slot became free in time; send the request again later",
                         kRefusalRetryAfter);
          });
      return;
  }
}

void Dispatcher::Run::Preempt() {
  DispatchEnd end;
  end.error = ErrorCode::kOverloaded;
  end.message = "the work was stopped in favour of interactive requests; resume it later";
  end.endpoint_id = m_endpoint_id;
  end.ran = m_written ? RequestRan::kUnknown : RequestRan::kNo;
  CancelAttempt();
  Finish(end);
}

RouteRequest Dispatcher::Run::MakeRouteRequest(FingerprintVerdict verdict) const {
  RouteRequest route;
  route.service = m_request.service;
  route.workspace = m_request.workspace;
  route.work_class = m_request.work_class;
  route.resumable = m_request.idempotent;
  route.zone = m_owner->m_options.zone;
  route.prefix_hashes = m_request.prefix_hashes;
  route.excluded = m_request.excluded;
  route.min_weight_version = m_request.min_weight_version;
  route.needs_idle_endpoint = verdict == FingerprintVerdict::kSuspect;
  // A suspect waits for an endpoint in ChooseForSuspect, not for a free slot.
  route.needs_free_slot = !route.needs_idle_endpoint;
  route.engine_priority = m_engine_priority;
  if (m_waiting_for_slot) {
    route.waited = Now() - m_slot_wait_started_at;
  }
  return route;
}

void Dispatcher::Run::ChooseEndpoint() {
  const FingerprintVerdict verdict = m_owner->m_collaborators.quarantine->Check(m_request.fingerprint, Now());
  if (verdict == FingerprintVerdict::kQuarantined) {
    Refuse(ErrorCode::kQuarantined, kQuarantinedMessage, Duration());
    return;
  }
  const RouteRequest route = MakeRouteRequest(verdict);
  const std::vector<EndpointState> endpoints = m_owner->m_collaborators.endpoints->Available(m_request.service, m_id);
  const int index = route.needs_idle_endpoint ? ChooseForSuspect(route, endpoints)
                                              : m_owner->m_collaborators.router->Choose(route, endpoints, Now());
  if (index < 0 && ShouldWaitForFreeSlot(route, endpoints)) {
    WaitForSlot();
    return;
  }
  m_waiting_for_slot = false;
  m_owner->m_slot_wait_queue.Remove(m_id);
  if (index >= 0) {
    if (route.needs_idle_endpoint) {
      // The reservation lasts until the attempt fails or the run ends, so that the suspect runs alone.
      m_owner->m_collaborators.endpoints->Reserve(endpoints[index].id, m_id);
    }
    StartAttempt(endpoints[index], route);
    return;
  }
  const bool may_become_available = route.needs_idle_endpoint
                                        ? !endpoints.empty()
                                        : m_owner->m_collaborators.endpoints->IsAnyReserved(m_request.service);
  if (may_become_available && Now() < m_started_at + m_owner->m_options.queue_timeout) {
    WaitForEndpoint();
    return;
  }
  Refuse(ErrorCode::kNoEndpoint, "no endpoint of the service can take the request now; send it again later",
         kRefusalRetryAfter);
}

// A run that again finds no free slot keeps its position in the queue and the timeout that started with its first wait.
void Dispatcher::Run::WaitForSlot() {
  if (m_waiting_for_slot) {
    return;
  }
  m_waiting_for_slot = true;
  m_slot_wait_started_at = Now();
  m_owner->m_slot_wait_queue.Add(m_id, m_engine_priority);
  m_timer = m_owner->m_collaborators.scheduler->After(m_owner->m_options.queue_timeout, [self = shared_from_this()] {
    self->Refuse(ErrorCode::kOverloaded, "no slot of an endpoint became free in time; send the request again later",
                 kRefusalRetryAfter);
  });
}

void Dispatcher::Run::RetryForFreeSlot() {
  if (m_waiting_for_slot && !m_ended) {
    ChooseEndpoint();
  }
}

void Dispatcher::Run::WaitForEndpoint() {
  m_timer = m_owner->m_collaborators.scheduler->After(kEndpointRetryInterval,
                                                      [self = shared_from_this()] { self->ChooseEndpoint(); });
}

int Dispatcher::Run::ChooseForSuspect(const RouteRequest& route, const std::vector<EndpointState>& endpoints) {
  if (!m_suspect) {
    m_suspect = true;
    m_suspect_since = Now();
  }
  const int idle = m_owner->m_collaborators.router->Choose(route, endpoints, Now());
  if (idle >= 0) {
    return idle;
  }
  RouteRequest shared_route = route;
  shared_route.needs_idle_endpoint = false;
  // Load reports count the requests of all instances, and on a busy service they may never show an idle endpoint. After
  // a while, only the requests of this instance count.
  const bool ignore_load_reports = Now() >= m_suspect_since + m_owner->m_options.idle_endpoint_wait;
  int best = -1;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    // The suspect would be blamed for the lost connection to an endpoint that was down already, so endpoints whose last
    // poll failed are left out.
    if (!IsEligible(shared_route, endpoints[i]) || endpoints[i].failed_polls > 0) {
      continue;
    }
    if (ignore_load_reports && endpoints[i].own_in_flight == 0) {
      return static_cast<int>(i);
    }
    if (best < 0 || endpoints[i].own_in_flight < endpoints[best].own_in_flight) {
      best = static_cast<int>(i);
    }
  }
  // A reserved endpoint gets no other requests and becomes idle. Only one endpoint is reserved at a time, so that
  // suspects do not block a whole service.
  if (best >= 0 && !m_owner->m_collaborators.endpoints->IsAnyReserved(m_request.service)) {
    m_owner->m_collaborators.endpoints->Reserve(endpoints[best].id, m_id);
  }
  return -1;
}

HttpCall Dispatcher::Run::MakeCall(const EndpointState& endpoint) {
  const DispatcherOptions& options = m_owner->m_options;
  HttpCall call;
  call.address = endpoint.address;
  call.method = m_request.method;
  call.target = m_request.target;
  call.headers = m_request.headers;
  call.headers.push_back({"x-request-id", m_request_id});
  call.body = m_request.body;
  // The endpoint can close an idle connection at the moment of the write. It is then unknown whether the request ran,
  // so a non-idempotent request gets a new connection.
  call.fresh_connection = !m_request.idempotent;
  call.connect_timeout = options.connect_timeout;
  call.head_timeout = options.first_token_timeout + m_request.response_time_allowance;
  call.idle_timeout = options.first_token_timeout;
  call.total_timeout = std::max(options.total_timeout - (Now() - m_started_at), Duration::Milliseconds(1));
  m_endpoint_unavailable = false;
  call.before_write = [this] {
    const EndpointState* chosen = m_owner->m_collaborators.endpoints->Find(m_endpoint_id);
    if (chosen == nullptr || chosen->leaving || chosen->set_aside) {
      m_endpoint_unavailable = true;
      return false;
    }
    if (m_request.before_write && !m_request.before_write()) {
      m_rejected_before_write = true;
      return false;
    }
    m_written = true;
    m_attempt_written = true;
    return true;
  };
  return call;
}

void Dispatcher::Run::StartAttempt(const EndpointState& endpoint, const RouteRequest& route) {
  const std::shared_ptr<Run> self = shared_from_this();
  m_timer.reset();
  ++m_attempts;
  m_endpoint_id = endpoint.id;
  m_endpoint_address = endpoint.address;
  m_request_id = RandomHex(kRequestIdBytes);
  m_response_mode = ResponseMode::kNone;
  m_attempt_written = false;
  m_buffered_body.clear();
  m_in_flight = true;
  m_owner->m_in_flight[m_id] = {
      endpoint.id, {m_request.fingerprint, route.needs_idle_endpoint}, m_owner->m_crash_counts[endpoint.id]};
  m_is_breaker_trial = m_owner->m_collaborators.endpoints->OnCallStarted(endpoint.id);
  if (m_request.stream) {
    m_awaiting_first_token = true;
    m_owner->m_collaborators.endpoints->StartAwaitingFirstToken(endpoint.id);
  }
  m_owner->m_collaborators.router->OnDispatched(endpoint.id, route.prefix_hashes);
  m_observer->OnAttempt(endpoint.id);
  if (m_ended) {
    return;
  }
  m_start_in_progress = true;
  std::unique_ptr<HttpExchange> exchange = m_owner->m_collaborators.engines->Start(MakeCall(endpoint), this);
  m_start_in_progress = false;
  if (m_in_flight) {
    m_exchange = std::move(exchange);
  }
}

void Dispatcher::Run::OnHead(int status, const HttpHeaders& headers) {
  const std::shared_ptr<Run> self = shared_from_this();
  const std::string* echoed_id = FindHeader(headers, "x-request-id");
  const bool id_matches = echoed_id != nullptr && *echoed_id == m_request_id;
  if (!id_matches && m_owner->m_options.mechanisms.request_id_check) {
    Failure failure;
    failure.message = "the endpoint answered with another request's id";
    FailAttempt(failure);
    return;
  }
  m_head = {status, headers, m_endpoint_id};
  m_response_mode =
      m_request.stream && status < 300 && IsEventStream(headers) ? ResponseMode::kStreamed : ResponseMode::kBuffered;
}

// The head of a stream is passed on with the first piece of the body. Until then, the request can still be retried on
// another endpoint.
void Dispatcher::Run::OnBody(std::string_view data) {
  const std::shared_ptr<Run> self = shared_from_this();
  StopAwaitingFirstToken();
  ArmGapTimer();
  if (m_response_mode == ResponseMode::kStreamed) {
    ReportHead();
    if (!m_ended) {
      m_observer->OnBody(data);
    }
    return;
  }
  if (m_buffered_body.size() + data.size() > kMaxBufferedBytes) {
    Failure failure;
    failure.code = ErrorCode::kAnswerIncomplete;
    failure.message = "the answer is larger than " + std::to_string(kMaxBufferedBytes >> 20) + " MB";
    FailAttempt(failure);
    return;
  }
  m_buffered_body.append(data);
}

void Dispatcher::Run::StopAwaitingFirstToken() {
  if (m_awaiting_first_token) {
    m_awaiting_first_token = false;
    m_owner->m_collaborators.endpoints->StopAwaitingFirstToken(m_endpoint_id);
  }
}

void Dispatcher::Run::ReportHead() {
  if (!m_head_reported) {
    m_head_reported = true;
    m_observer->OnHead(m_head);
  }
}

void Dispatcher::Run::ArmGapTimer() {
  m_gap_timer = m_owner->m_collaborators.scheduler->After(m_owner->m_options.token_gap_timeout, [this] {
    const std::shared_ptr<Run> self = shared_from_this();
    Failure failure;
    failure.code = ErrorCode::kEndpointTimeout;
    failure.message = "the endpoint stopped in the middle of its answer";
    FailAttempt(failure);
  });
}

Dispatcher::Run::Failure Dispatcher::Run::MakeFailure(const CallResult& result) const {
  Failure failure;
  failure.message = "the endpoint did not answer: " + result.detail;
  failure.code = result.timed_out ? ErrorCode::kEndpointTimeout : ErrorCode::kEndpointFailed;
  failure.not_run = result.outcome == CallOutcome::kNotSent || !m_owner->m_options.mechanisms.not_run_rule;
  failure.connection_lost = !failure.not_run && !result.timed_out;
  if (result.outcome == CallOutcome::kCut) {
    failure.message = "the answer was cut: " + result.detail;
    failure.code = ErrorCode::kAnswerIncomplete;
  }
  return failure;
}

void Dispatcher::Run::OnEnd(const CallResult& result) {
  const std::shared_ptr<Run> self = shared_from_this();
  if (m_start_in_progress) {
    // The connection failed before Start returned. The failure is handled in the next iteration of the event loop.
    m_timer = m_owner->m_collaborators.scheduler->After(Duration(), [self, result] { self->OnEnd(result); });
    return;
  }
  m_gap_timer.reset();
  if (result.outcome != CallOutcome::kWhole) {
    FailAttempt(MakeFailure(result));
    return;
  }
  if (IsRetryableStatus(m_head.status) && m_request.idempotent && m_attempts < kMaxAttempts &&
      m_owner->m_retry_budget.TakeRetry(Now())) {
    EndAttempt(CallEffect::kFailure);
    m_may_have_run = true;
    m_request.excluded.push_back(m_endpoint_id);
    const RouteRequest route = MakeRouteRequest(FingerprintVerdict::kClear);
    const std::vector<EndpointState> others = m_owner->m_collaborators.endpoints->Available(m_request.service, m_id);
    if (std::any_of(others.begin(), others.end(), [&](const auto& other) { return IsEligible(route, other); })) {
      m_head = {};
      ChooseEndpoint();
      return;
    }
  } else {
    EndAttempt(m_head.status >= kStatusServerError ? CallEffect::kFailure : CallEffect::kSuccess);
  }
  m_owner->m_collaborators.quarantine->OnFinished(m_request.fingerprint, Now());
  ReportHead();
  if (!m_ended && !m_buffered_body.empty()) {
    m_observer->OnBody(m_buffered_body);
  }
  DispatchEnd end;
  end.endpoint_id = m_endpoint_id;
  Finish(end);
}

void Dispatcher::Run::EndAttempt(CallEffect effect) {
  m_gap_timer.reset();
  m_exchange.reset();
  if (!m_in_flight) {
    return;
  }
  m_in_flight = false;
  StopAwaitingFirstToken();
  m_owner->m_in_flight.erase(m_id);
  m_owner->m_collaborators.endpoints->OnCallEnded(m_endpoint_id, effect, m_is_breaker_trial);
}

// Starts another attempt or ends the run. The run is reported as not run only if no attempt wrote a byte of the
// request.
void Dispatcher::Run::FailAttempt(const Failure& failure) {
  if (failure.connection_lost) {
    m_owner->OnConnectionLost(m_id);
  }
  const bool is_quarantined =
      m_owner->m_collaborators.quarantine->Check(m_request.fingerprint, Now()) == FingerprintVerdict::kQuarantined;
  EndAttempt(m_rejected_before_write || m_endpoint_unavailable || is_quarantined ? CallEffect::kNone
                                                                                 : CallEffect::kFailure);
  m_owner->m_collaborators.endpoints->Release(m_id);
  m_may_have_run = m_may_have_run || !failure.not_run;
  DispatchEnd end;
  end.error = failure.code;
  end.message = failure.message;
  end.endpoint_id = m_endpoint_id;
  end.ran = m_may_have_run ? RequestRan::kUnknown : RequestRan::kNo;
  end.rejected_before_write = m_rejected_before_write;
  // An attempt that wrote no byte caused no work at the endpoint, so its retry is not counted against the retry budget.
  const bool is_last = m_rejected_before_write || m_head_reported || m_attempts >= kMaxAttempts;
  if (is_last || !(failure.not_run || (m_request.idempotent && m_owner->m_retry_budget.TakeRetry(Now())))) {
    if (m_may_have_run && !m_request.idempotent) {
      end.error = ErrorCode::kOutcomeUnknown;
      end.message += "; whether the request ran is not known, so look before sending it again";
    }
    Finish(end);
    return;
  }
  m_request.excluded.push_back(m_endpoint_id);
  m_timer =
      m_owner->m_collaborators.scheduler->After(Duration(), [self = shared_from_this()] { self->ChooseEndpoint(); });
}

void Dispatcher::Run::Refuse(ErrorCode code, const std::string& message, Duration retry_after) {
  DispatchEnd end;
  end.error = code;
  end.message = message;
  end.retry_after = retry_after;
  end.endpoint_id = m_endpoint_id;
  end.ran = m_may_have_run ? RequestRan::kUnknown : RequestRan::kNo;
  Finish(end);
}

void Dispatcher::Run::Finish(DispatchEnd end) {
  if (m_ended) {
    return;
  }
  const std::shared_ptr<Run> self = shared_from_this();
  end.attempts = m_attempts;
  DispatchObserver* observer = m_observer;
  ReleaseResources();
  observer->OnEnd(end);
}

void Dispatcher::Run::Cancel() {
  if (m_ended) {
    return;
  }
  const std::shared_ptr<Run> self = shared_from_this();
  CancelAttempt();
  ReleaseResources();
}

// Closing the connection cancels the work. The additional cancel request is for engines that detect a closed connection
// late.
void Dispatcher::Run::CancelAttempt() {
  if (m_in_flight && m_attempt_written && m_request.stream) {
    m_owner->m_collaborators.engines->Cancel(m_endpoint_address, m_request_id);
  }
  EndAttempt(CallEffect::kNone);
}

void Dispatcher::Run::ReleaseResources() {
  m_ended = true;
  m_observer = nullptr;
  m_timer.reset();
  m_gap_timer.reset();
  if (m_queued) {
    m_owner->m_collaborators.admission->CancelQueued(m_id);
  }
  m_owner->m_slot_wait_queue.Remove(m_id);
  m_owner->m_collaborators.endpoints->Release(m_id);
  if (m_admitted) {
    m_admitted = false;
    m_owner->m_collaborators.admission->OnFinished(m_admission_request, Now());
  }
  m_owner->ScheduleAdmissionPoll(Duration());
  m_owner->m_runs.erase(m_id);
}

}  // namespace quetzalridge
