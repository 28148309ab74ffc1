#include "daemon/dispatcher_run.h"

#include <algorithm>

#include "base/hash.h"
#include "protocol/completion_request.h"

namespace quetzalridge {

namespace {

constexpr int kMaxAttempts = 4;
constexpr int kRequestIdBytes = 16;
// A suspect looks for an idle endpoint this often.
constexpr Duration kEndpointRetry = Duration::Milliseconds(20);
constexpr Duration kRefusalRetry = Duration::Milliseconds(1000);
constexpr size_t kMaxCollectedBytes = 64 << 20;
constexpr char kQuarantinedMessage[] = "this request crashed endpoints twice; change it or ask an operator to clear it";
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusServiceUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;
constexpr int kStatusServerError = 500;

// Answers of an endpoint that another endpoint may do better.
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
      m_owner->m_collaborators.scheduler->After(Duration(), [self = shared_from_this()] { self->AskAdmission(); });
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

void Dispatcher::Run::AskAdmission() {
  const FingerprintVerdict verdict = m_owner->m_collaborators.quarantine->Check(m_request.fingerprint, Now());
  if (verdict == FingerprintVerdict::kQuarantined) {
    Refuse(ErrorCode::kQuarantined, kQuarantinedMessage, Duration());
    return;
  }
  m_admission = MakeAdmissionRequest();
  OnAdmissionResult(m_owner->m_collaborators.admission->Decide(m_admission, Now()));
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
             std::max(result.retry_after, kRefusalRetry));
      return;
    case AdmissionVerdict::kQueue:
      m_queued = true;
      m_timer =
          m_owner->m_collaborators.scheduler->After(m_owner->m_options.queue_timeout, [self = shared_from_this()] {
            self->Refuse(ErrorCode::kOverloaded, "no slot became free in time; send the request again later",
                         kRefusalRetry);
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
  // A suspect has its own way to wait for an endpoint.
  route.needs_free_slot = !route.needs_idle_endpoint;
  route.engine_priority = m_engine_priority;
  if (m_held) {
    route.waited = Now() - m_held_since;
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
  m_held = false;
  m_owner->m_held.Remove(m_id);
  if (index >= 0) {
    if (route.needs_idle_endpoint) {
      // Held until the end of the run, so that nothing joins the suspect.
      m_owner->m_collaborators.endpoints->Reserve(endpoints[index].id, m_id);
    }
    StartAttempt(endpoints[index], route);
    return;
  }
  const bool worth_waiting = route.needs_idle_endpoint
                                 ? !endpoints.empty()
                                 : m_owner->m_collaborators.endpoints->IsAnyReserved(m_request.service);
  if (worth_waiting && Now() < m_started_at + m_owner->m_options.queue_timeout) {
    WaitForEndpoint();
    return;
  }
  Refuse(ErrorCode::kNoEndpoint, "no endpoint of the service can take the request now; send it again later",
         kRefusalRetry);
}

// The queue keeps the place of a run that finds no slot again, and its timer runs from the first time.
void Dispatcher::Run::WaitForSlot() {
  if (m_held) {
    return;
  }
  m_held = true;
  m_held_since = Now();
  m_owner->m_held.Add(m_id, m_engine_priority);
  m_timer = m_owner->m_collaborators.scheduler->After(m_owner->m_options.queue_timeout, [self = shared_from_this()] {
    self->Refuse(ErrorCode::kOverloaded, "no slot of an endpoint became free in time; send the request again later",
                 kRefusalRetry);
  });
}

void Dispatcher::Run::TryHeld() {
  if (m_held && !m_ended) {
    ChooseEndpoint();
  }
}

void Dispatcher::Run::WaitForEndpoint() {
  m_timer = m_owner->m_collaborators.scheduler->After(kEndpointRetry,
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
  RouteRequest shared = route;
  shared.needs_idle_endpoint = false;
  // Load reports count the work of all instances. On a busy service they never show an idle endpoint.
  const bool own_work_decides = Now() >= m_suspect_since + m_owner->m_options.idle_endpoint_wait;
  int best = -1;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    // A connection that an endpoint lost because it was down before would be blamed on the suspect.
    if (!IsEligible(shared, endpoints[i]) || endpoints[i].failed_polls > 0) {
      continue;
    }
    if (own_work_decides && endpoints[i].own_in_flight == 0) {
      return static_cast<int>(i);
    }
    if (best < 0 || endpoints[i].own_in_flight < endpoints[best].own_in_flight) {
      best = static_cast<int>(i);
    }
  }
  // One endpoint at a time is emptied, so that suspects do not take a whole service out of use.
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
  // An idle connection can close at the moment of the write, which leaves the outcome open.
  call.fresh_connection = !m_request.idempotent;
  call.connect_timeout = options.connect_timeout;
  call.head_timeout = options.first_token_timeout + m_request.answer_time;
  call.idle_timeout = options.first_token_timeout;
  call.total_timeout = std::max(options.total_timeout - (Now() - m_started_at), Duration::Milliseconds(1));
  m_endpoint_left = false;
  call.before_write = [this] {
    const EndpointState* chosen = m_owner->m_collaborators.endpoints->Find(m_endpoint_id);
    if (chosen == nullptr || chosen->leaving || chosen->set_aside) {
      m_endpoint_left = true;
      return false;
    }
    if (m_request.before_write && !m_request.before_write()) {
      m_abandoned = true;
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
  m_address = endpoint.address;
  m_request_id = RandomHex(kRequestIdBytes);
  m_mode = AnswerMode::kNone;
  m_attempt_written = false;
  m_collected.clear();
  m_in_flight = true;
  m_owner->m_in_flight[m_id] = {
      endpoint.id, {m_request.fingerprint, route.needs_idle_endpoint}, m_owner->m_crashes[endpoint.id]};
  m_trial = m_owner->m_collaborators.endpoints->OnCallStarted(endpoint.id);
  if (m_request.stream) {
    m_prompt_open = true;
    m_owner->m_collaborators.endpoints->OnPromptStarted(endpoint.id);
  }
  m_owner->m_collaborators.router->OnDispatched(endpoint.id, route.prefix_hashes);
  m_observer->OnAttempt(endpoint.id);
  if (m_ended) {
    return;
  }
  m_starting = true;
  std::unique_ptr<HttpExchange> exchange = m_owner->m_collaborators.engines->Start(MakeCall(endpoint), this);
  m_starting = false;
  if (m_in_flight) {
    m_exchange = std::move(exchange);
  }
}

void Dispatcher::Run::OnHead(int status, const HttpHeaders& headers) {
  const std::shared_ptr<Run> self = shared_from_this();
  const std::string* echoed = FindHeader(headers, "x-request-id");
  const bool is_own_answer = echoed != nullptr && *echoed == m_request_id;
  if (!is_own_answer && m_owner->m_options.mechanisms.request_id_check) {
    Failure failure;
    failure.message = "the endpoint answered with another request's id";
    FailAttempt(failure);
    return;
  }
  m_head = {status, headers, m_endpoint_id};
  m_mode = m_request.stream && status < 300 && IsEventStream(headers) ? AnswerMode::kStreamed : AnswerMode::kCollected;
}

// The head of a stream is passed on with its first piece. Until then another endpoint can still be tried.
void Dispatcher::Run::OnBody(std::string_view data) {
  const std::shared_ptr<Run> self = shared_from_this();
  OnPromptDone();
  ArmGapTimer();
  if (m_mode == AnswerMode::kStreamed) {
    PassHead();
    if (!m_ended) {
      m_observer->OnBody(data);
    }
    return;
  }
  if (m_collected.size() + data.size() > kMaxCollectedBytes) {
    Failure failure;
    failure.code = ErrorCode::kAnswerIncomplete;
    failure.message = "the answer is larger than " + std::to_string(kMaxCollectedBytes >> 20) + " MB";
    FailAttempt(failure);
    return;
  }
  m_collected.append(data);
}

void Dispatcher::Run::OnPromptDone() {
  if (m_prompt_open) {
    m_prompt_open = false;
    m_owner->m_collaborators.endpoints->OnPromptDone(m_endpoint_id);
  }
}

void Dispatcher::Run::PassHead() {
  if (!m_head_passed) {
    m_head_passed = true;
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

Dispatcher::Run::Failure Dispatcher::Run::FailureOf(const CallResult& result) const {
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
  if (m_starting) {
    // The connection failed before Start returned; the loop's next turn handles it as any other end.
    m_timer = m_owner->m_collaborators.scheduler->After(Duration(), [self, result] { self->OnEnd(result); });
    return;
  }
  m_gap_timer.reset();
  if (result.outcome != CallOutcome::kWhole) {
    FailAttempt(FailureOf(result));
    return;
  }
  if (IsRetryableStatus(m_head.status) && m_request.idempotent && m_attempts < kMaxAttempts &&
      m_owner->m_retries.TakeRetry(Now())) {
    EndAttempt(CallEffect::kFailure);
    m_maybe_ran = true;
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
  PassHead();
  if (!m_ended && !m_collected.empty()) {
    m_observer->OnBody(m_collected);
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
  OnPromptDone();
  m_owner->m_in_flight.erase(m_id);
  m_owner->m_collaborators.endpoints->OnCallEnded(m_endpoint_id, effect, m_trial);
}

// Decides between another attempt and the end. "Not run" is said only when no attempt wrote a byte.
void Dispatcher::Run::FailAttempt(const Failure& failure) {
  if (failure.connection_lost) {
    m_owner->OnConnectionLost(m_id);
  }
  const bool suspect_alone =
      m_owner->m_collaborators.quarantine->Check(m_request.fingerprint, Now()) == FingerprintVerdict::kQuarantined;
  EndAttempt(m_abandoned || m_endpoint_left || suspect_alone ? CallEffect::kNone : CallEffect::kFailure);
  m_owner->m_collaborators.endpoints->Release(m_id);
  m_maybe_ran = m_maybe_ran || !failure.not_run;
  DispatchEnd end;
  end.error = failure.code;
  end.message = failure.message;
  end.endpoint_id = m_endpoint_id;
  end.ran = m_maybe_ran ? RequestRan::kUnknown : RequestRan::kNo;
  end.abandoned = m_abandoned;
  // An attempt without a written byte made no work, so its repetition does not count against the budget.
  const bool is_last = m_abandoned || m_head_passed || m_attempts >= kMaxAttempts;
  if (is_last || !(failure.not_run || (m_request.idempotent && m_owner->m_retries.TakeRetry(Now())))) {
    if (m_maybe_ran && !m_request.idempotent) {
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
  end.ran = m_maybe_ran ? RequestRan::kUnknown : RequestRan::kNo;
  Finish(end);
}

void Dispatcher::Run::Finish(DispatchEnd end) {
  if (m_ended) {
    return;
  }
  const std::shared_ptr<Run> self = shared_from_this();
  end.attempts = m_attempts;
  DispatchObserver* observer = m_observer;
  Leave();
  observer->OnEnd(end);
}

void Dispatcher::Run::Cancel() {
  if (m_ended) {
    return;
  }
  const std::shared_ptr<Run> self = shared_from_this();
  CancelAttempt();
  Leave();
}

// Closing the connection already cancels the work; the order reaches engines that notice a closed connection late.
void Dispatcher::Run::CancelAttempt() {
  if (m_in_flight && m_attempt_written && m_request.stream) {
    m_owner->m_collaborators.engines->Cancel(m_address, m_request_id);
  }
  EndAttempt(CallEffect::kNone);
}

void Dispatcher::Run::Leave() {
  m_ended = true;
  m_observer = nullptr;
  m_timer.reset();
  m_gap_timer.reset();
  if (m_queued) {
    m_owner->m_collaborators.admission->CancelQueued(m_id);
  }
  m_owner->m_held.Remove(m_id);
  m_owner->m_collaborators.endpoints->Release(m_id);
  if (m_admitted) {
    m_admitted = false;
    m_owner->m_collaborators.admission->OnFinished(m_admission, Now());
  }
  m_owner->AskAdmissionSoon(Duration());
  m_owner->m_runs.erase(m_id);
}

}  // namespace quetzalridge
