#include "daemon/caller_request.h"

#include <utility>

#include "protocol/completion_response.h"
#include "protocol/error_body.h"
#include "protocol/header_allow_list.h"
#include "protocol/sse_writer.h"
#include "state/request_fingerprint.h"

namespace quetzalridge {

namespace {

// Takes the place of the workspace in the row keys of calls without a key, which are allowed on open routes.
constexpr char kOpenWorkspace[] = "-";
constexpr Duration kStoreRetryAfter = Duration::Milliseconds(2000);
constexpr int kStatusServerError = 500;
constexpr int kStatusBadRequest = 400;

HttpHeaders AllowedResponseHeaders(const HttpHeaders& headers) {
  HttpHeaders allowed;
  for (const HttpHeader& header : headers) {
    if (IsResponseHeaderAllowed(header.name)) {
      allowed.push_back(header);
    }
  }
  return allowed;
}

RequestOutcome OutcomeOfStatus(int status) {
  if (status >= kStatusServerError) {
    return RequestOutcome::kFailed;
  }
  return status >= kStatusBadRequest ? RequestOutcome::kCallerError : RequestOutcome::kSucceeded;
}

}  // namespace

CallerApi::Request::Request(CallerApi* owner, uint64_t id, DispatchRequest dispatch, CallerIdentity identity,
                            bool is_keyed_route, std::string idempotency_key, std::shared_ptr<HttpResponder> responder)
    : m_owner(owner),
      m_id(id),
      m_dispatch(std::move(dispatch)),
      m_identity(std::move(identity)),
      m_is_keyed_route(is_keyed_route),
      m_responder(std::move(responder)),
      m_idempotency_key(std::move(idempotency_key)),
      m_wants_stream(m_dispatch.stream),
      m_started_at(Now()),
      m_service(m_dispatch.service),
      m_workspace(m_dispatch.workspace) {}

TimePoint CallerApi::Request::Now() const {
  return m_owner->m_collaborators.scheduler->clock().Now();
}

void CallerApi::Request::Begin() {
  m_responder->SetCloseCallback([weak = weak_from_this()] {
    if (const std::shared_ptr<Request> self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  if (m_idempotency_key.empty()) {
    m_run = m_owner->m_collaborators.dispatcher->Start(std::move(m_dispatch), this);
    return;
  }
  const std::string workspace = m_workspace.empty() ? kOpenWorkspace : m_workspace;
  m_owner->m_collaborators.idempotency_store->Begin(
      workspace, m_idempotency_key, RequestFingerprint(workspace, m_dispatch.target, m_dispatch.body),
      [self = shared_from_this()](const IdempotencyResult& result) { self->OnIdempotencyResult(result); });
}

void CallerApi::Request::OnIdempotencyResult(const IdempotencyResult& result) {
  if (m_closed) {
    if (result.outcome == IdempotencyOutcome::kRun) {
      m_owner->m_collaborators.idempotency_store->MarkNotRun(result.row_key, [] {});
    }
    return;
  }
  switch (result.outcome) {
    case IdempotencyOutcome::kRun:
      m_idempotency_row_key = result.row_key;
      m_run = m_owner->m_collaborators.dispatcher->Start(std::move(m_dispatch), this);
      return;
    case IdempotencyOutcome::kFinished:
      if (result.response.has_value() && MayForward()) {
        m_responder->Send(result.response->status, {{"content-type", result.response->content_type}},
                          result.response->body);
        Close(OutcomeOfStatus(result.response->status));
        return;
      }
      SendError(ErrorCode::kDuplicateRequest, "the call with this idempotency key has run; its answer is not stored",
                RequestRan::kYes, Duration());
      return;
    case IdempotencyOutcome::kUnknown:
      SendError(ErrorCode::kDuplicateRequest,
                "a call with this idempotency key was started and its end is not known; look before sending it again",
                RequestRan::kUnknown, Duration());
      return;
    case IdempotencyOutcome::kKeyReused:
      SendError(ErrorCode::kConflict, "the idempotency key was used for another request; draw a new one",
                RequestRan::kNo, Duration());
      return;
    case IdempotencyOutcome::kStoreUnavailable:
      SendError(ErrorCode::kStoreUnavailable,
                "the platform's table cannot be reached, so a single run cannot be ensured; send the request again "
                "later",
                RequestRan::kNo, kStoreRetryAfter);
      return;
  }
}

// A call with an idempotency key continues after its caller has disconnected. If the caller repeats the call, it gets
// the stored response.
void CallerApi::Request::OnCallerDisconnected() {
  if (m_idempotency_row_key.empty()) {
    Close(RequestOutcome::kCallerError);
  }
}

// Checked for each piece of data, by the boot clock, which also runs while the machine is suspended: a process that was
// paused must not forward data that it reads after the pause before it knows that the key is still valid.
bool CallerApi::Request::MayForward() {
  if (!m_is_keyed_route) {
    return true;
  }
  if (!m_owner->m_collaborators.config->MayServeKeyedRoutes(Now())) {
    m_permission_lapsed_at = m_permission_lapsed_at.value_or(Now());
    return false;
  }
  return true;
}

void CallerApi::Request::CheckPermission() {
  if (m_closed) {
    return;
  }
  if (!MayForward()) {
    if (Now() >= *m_permission_lapsed_at + m_owner->m_options.lapsed_permission_timeout) {
      EndWithError(ErrorCode::kPermissionLapsed,
                   "this instance cannot confirm that the key is current; send the request to another instance");
    }
    return;
  }
  m_permission_lapsed_at.reset();
  if (!m_held_data.empty()) {
    std::string held;
    held.swap(m_held_data);
    Send(held);
  }
  if (m_held_end.has_value() && !m_closed) {
    const DispatchEnd end = *m_held_end;
    m_held_end.reset();
    OnEnd(end);
  }
}

void CallerApi::Request::OnHead(const DispatchHead& head) {
  m_head = head;
  m_head.headers = AllowedResponseHeaders(head.headers);
  const std::string* type = FindHeader(m_head.headers, "content-type");
  m_streaming = m_wants_stream && type != nullptr && type->compare(0, 17, "text/event-stream") == 0;
}

void CallerApi::Request::OnBody(std::string_view data) {
  const std::shared_ptr<Request> self = shared_from_this();
  m_first_byte_at = m_first_byte_at.value_or(Now());
  if (m_streaming) {
    ForwardStream(data);
  } else {
    m_response_body.append(data);
  }
}

// Sends only complete events, so that an error event after a lost connection does not follow half an event.
void CallerApi::Request::ForwardStream(std::string_view data) {
  std::string complete_events;
  for (const CompletionEvent& event : m_stream.Feed(data)) {
    // The [DONE] event is sent only after the response of the endpoint has ended without an error.
    if (!event.done) {
      complete_events += EncodeSseEvent(event.event.data, event.event.type == "message" ? "" : event.event.type);
    }
  }
  // New events are appended to the events that are held back, which keeps their order.
  m_held_data += complete_events;
  if (!m_held_data.empty() && MayForward()) {
    Send(std::exchange(m_held_data, std::string()));
  }
  if (m_stream.invalid() && !m_closed) {
    DispatchEnd end;
    end.error = ErrorCode::kAnswerIncomplete;
    end.message = "the endpoint sent a malformed stream";
    m_run.reset();
    OnEnd(end);
  }
}

void CallerApi::Request::Send(std::string_view data) {
  if (!m_responder->started()) {
    m_responder->Start(m_head.status, m_head.headers);
  }
  m_responder->Write(data);
  if (m_responder->pending_bytes() > m_owner->m_options.max_pending_bytes) {
    m_responder->Abort();
    Close(RequestOutcome::kCallerError);
  }
}

void CallerApi::Request::OnEnd(const DispatchEnd& end) {
  const std::shared_ptr<Request> self = shared_from_this();
  m_run.reset();
  if (m_closed) {
    return;
  }
  if (!end.error.has_value()) {
    RecordFinishedCall();
  }
  if (end.rejected_before_write) {
    const bool is_key_valid = m_owner->m_authenticator.IsValid(m_identity);
    SendError(is_key_valid ? ErrorCode::kPermissionLapsed : ErrorCode::kKeyWithdrawn,
              is_key_valid
                  ? "this instance cannot confirm that the key is current; send the request to another instance"
                  : "the key was withdrawn; ask an operator for a new one",
              end.ran, Duration());
    return;
  }
  if (!MayForward()) {
    m_held_end = end;
    return;
  }
  if (m_streaming) {
    EndStream(end);
  } else if (end.error.has_value()) {
    SendError(*end.error, end.message, end.ran, end.retry_after);
  } else {
    SendResponse();
  }
}

// The row is written even if the response cannot be sent to the caller, so that a repeated call finds the response.
void CallerApi::Request::RecordFinishedCall() {
  if (m_idempotency_row_key.empty()) {
    return;
  }
  std::optional<StoredResponse> response;
  if (!m_streaming) {
    const std::string* type = FindHeader(m_head.headers, "content-type");
    response = StoredResponse{m_head.status, type == nullptr ? "" : *type, m_response_body};
  } else if (!m_stream.done()) {
    return;
  }
  m_owner->m_collaborators.idempotency_store->Finish(m_idempotency_row_key, response);
  m_idempotency_row_key.clear();
}

void CallerApi::Request::EndStream(const DispatchEnd& end) {
  if (!m_held_data.empty()) {
    std::string held;
    held.swap(m_held_data);
    Send(held);
  }
  if (end.error.has_value() || !m_stream.done()) {
    SendError(end.error.value_or(ErrorCode::kAnswerIncomplete),
              end.error.has_value() ? end.message : "the endpoint ended the stream before its end mark",
              RequestRan::kUnknown, Duration());
    return;
  }
  Send(EncodeSseEvent(kSseDone));
  if (!m_closed) {
    m_responder->End();
    Close(RequestOutcome::kSucceeded);
  }
}

void CallerApi::Request::SendResponse() {
  m_responder->Send(m_head.status, m_head.headers, m_response_body);
  Close(OutcomeOfStatus(m_head.status));
}

// If the response has started, it is a stream: the error is then sent as an event, and no [DONE] event follows it.
void CallerApi::Request::SendError(ErrorCode code, const std::string& message, RequestRan ran, Duration retry_after) {
  if (!m_idempotency_row_key.empty()) {
    const std::string row_key = std::move(m_idempotency_row_key);
    m_idempotency_row_key.clear();
    if (ran == RequestRan::kNo) {
      // The error is sent after the row has been written, so that the caller may use the idempotency key again at once.
      m_owner->m_collaborators.idempotency_store->MarkNotRun(
          row_key, [self = shared_from_this(), code, message, ran, retry_after] {
            self->SendError(code, message, ran, retry_after);
          });
      return;
    }
    m_owner->m_collaborators.idempotency_store->Forget(row_key);
  }
  if (m_closed) {
    return;
  }
  const std::string body = EncodeErrorBody(code, message, ran, retry_after.ms());
  if (m_responder->started()) {
    m_responder->Write(EncodeSseEvent(body.substr(0, body.size() - 1), "error"));
    m_responder->End();
  } else {
    m_responder->Send(ErrorCodeHttpStatus(code), {{"content-type", "application/json"}}, body);
  }
  Close(ran == RequestRan::kNo ? RequestOutcome::kRefused : RequestOutcome::kFailed);
}

void CallerApi::Request::EndWithError(ErrorCode code, const std::string& message) {
  if (m_closed) {
    return;
  }
  const std::shared_ptr<Request> self = shared_from_this();
  const RequestRan ran = m_run != nullptr && !m_run->written() ? RequestRan::kNo : RequestRan::kUnknown;
  m_held_data.clear();
  m_held_end.reset();
  m_run.reset();
  SendError(code, message, ran, Duration());
}

void CallerApi::Request::RecordMetricsAndUsage(RequestOutcome outcome) {
  RequestRecord record;
  record.service = m_service;
  record.workspace = m_workspace;
  record.outcome = outcome;
  record.streamed = m_streaming;
  record.latency = Now() - m_started_at;
  if (m_first_byte_at.has_value()) {
    record.first_byte = *m_first_byte_at - m_started_at;
  }
  if (m_owner->m_collaborators.metrics != nullptr) {
    m_owner->m_collaborators.metrics->OnRequestEnd(record);
  }
  // Tokens that an endpoint produced count as usage even if the caller disconnected before the end.
  UsageCounters figures;
  figures.requests = 1;
  figures.prompt_tokens = m_stream.prompt_tokens();
  figures.completion_tokens = m_stream.completion_tokens();
  if (!m_response_body.empty()) {
    const std::optional<CompletionResponse> answer = ParseCompletionResponse(m_response_body);
    if (answer.has_value() && answer->usage.has_value()) {
      figures.prompt_tokens = answer->usage->prompt_tokens;
      figures.completion_tokens = answer->usage->completion_tokens;
    }
  }
  const bool has_usage = outcome == RequestOutcome::kSucceeded || figures.completion_tokens > 0;
  if (has_usage && !m_workspace.empty() && m_owner->m_collaborators.usage != nullptr) {
    m_owner->m_collaborators.usage->Add(m_workspace, figures);
  }
}

void CallerApi::Request::Close(RequestOutcome outcome) {
  if (m_closed) {
    return;
  }
  const std::shared_ptr<Request> self = shared_from_this();
  m_closed = true;
  m_run.reset();
  if (!m_idempotency_row_key.empty()) {
    m_owner->m_collaborators.idempotency_store->Forget(m_idempotency_row_key);
  }
  RecordMetricsAndUsage(outcome);
  m_owner->Remove(m_id);
}

}  // namespace quetzalridge
