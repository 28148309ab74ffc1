#include "daemon/caller_request.h"

#include <utility>

#include "protocol/completion_response.h"
#include "protocol/error_body.h"
#include "protocol/header_allow_list.h"
#include "protocol/sse_writer.h"
#include "state/request_fingerprint.h"

namespace quetzalridge {

namespace {

// Stands for the workspace in the rows of open routes.
constexpr char kOpenWorkspace[] = "-";
constexpr Duration kStoreRetry = Duration::Milliseconds(2000);
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
                            bool keyed, std::string once_id, std::shared_ptr<HttpResponder> responder)
    : m_owner(owner),
      m_id(id),
      m_dispatch(std::move(dispatch)),
      m_identity(std::move(identity)),
      m_keyed(keyed),
      m_responder(std::move(responder)),
      m_once_id(std::move(once_id)),
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
      self->OnCallerGone();
    }
  });
  if (m_once_id.empty()) {
    m_run = m_owner->m_collaborators.dispatcher->Start(std::move(m_dispatch), this);
    return;
  }
  const std::string workspace = m_workspace.empty() ? kOpenWorkspace : m_workspace;
  m_owner->m_collaborators.once->Begin(
      workspace, m_once_id, RequestFingerprint(workspace, m_dispatch.target, m_dispatch.body),
      [self = shared_from_this()](const IdempotencyResult& begin) { self->OnOnceBegin(begin); });
}

void CallerApi::Request::OnOnceBegin(const IdempotencyResult& begin) {
  if (m_closed) {
    if (begin.outcome == IdempotencyOutcome::kRun) {
      m_owner->m_collaborators.once->MarkNotRun(begin.row_key, [] {});
    }
    return;
  }
  switch (begin.outcome) {
    case IdempotencyOutcome::kRun:
      m_once_row = begin.row_key;
      m_run = m_owner->m_collaborators.dispatcher->Start(std::move(m_dispatch), this);
      return;
    case IdempotencyOutcome::kFinished:
      if (begin.response.has_value() && MayForward()) {
        m_responder->Send(begin.response->status, {{"content-type", begin.response->content_type}},
                          begin.response->body);
        Close(OutcomeOfStatus(begin.response->status));
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
                RequestRan::kNo, kStoreRetry);
      return;
  }
}

// A call that runs at most once goes on without its caller, whose repetition then gets the stored answer.
void CallerApi::Request::OnCallerGone() {
  if (m_once_row.empty()) {
    Close(RequestOutcome::kCallerError);
  }
}

// Runs at each piece, by the boot clock: a process that was paused must not forward what it read after the pause
// before it knows that the key is still valid.
bool CallerApi::Request::MayForward() {
  if (!m_keyed) {
    return true;
  }
  if (!m_owner->m_collaborators.config->MayServeKeyedRoutes(Now())) {
    m_lapsed_at = m_lapsed_at.value_or(Now());
    return false;
  }
  return true;
}

void CallerApi::Request::CheckPermission() {
  if (m_closed) {
    return;
  }
  if (!MayForward()) {
    if (Now() >= *m_lapsed_at + m_owner->m_options.stream_hold) {
      EndEarly(ErrorCode::kPermissionLapsed,
               "this instance cannot confirm that the key is current; send the request to another instance");
    }
    return;
  }
  m_lapsed_at.reset();
  if (!m_held.empty()) {
    std::string held;
    held.swap(m_held);
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
    m_answer.append(data);
  }
}

// Only whole events are passed on, so that the error event after a cut stands alone.
void CallerApi::Request::ForwardStream(std::string_view data) {
  std::string whole;
  for (const CompletionEvent& event : m_stream.Feed(data)) {
    // The end mark waits for the transfer's own end.
    if (!event.done) {
      whole += EncodeSseEvent(event.event.data, event.event.type == "message" ? "" : event.event.type);
    }
  }
  // Through the held pieces, so that a piece never overtakes one that came before it.
  m_held += whole;
  if (!m_held.empty() && MayForward()) {
    Send(std::exchange(m_held, std::string()));
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
    FinishOnce();
  }
  if (end.abandoned) {
    const bool valid = m_owner->m_authenticator.IsValid(m_identity);
    SendError(valid ? ErrorCode::kPermissionLapsed : ErrorCode::kKeyWithdrawn,
              valid ? "this instance cannot confirm that the key is current; send the request to another instance"
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
    SendAnswer();
  }
}

// The row is written also when the answer cannot be handed over, so that a repetition finds it.
void CallerApi::Request::FinishOnce() {
  if (m_once_row.empty()) {
    return;
  }
  std::optional<StoredResponse> answer;
  if (!m_streaming) {
    const std::string* type = FindHeader(m_head.headers, "content-type");
    answer = StoredResponse{m_head.status, type == nullptr ? "" : *type, m_answer};
  } else if (!m_stream.done()) {
    return;
  }
  m_owner->m_collaborators.once->Finish(m_once_row, answer);
  m_once_row.clear();
}

void CallerApi::Request::EndStream(const DispatchEnd& end) {
  if (!m_held.empty()) {
    std::string held;
    held.swap(m_held);
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

void CallerApi::Request::SendAnswer() {
  m_responder->Send(m_head.status, m_head.headers, m_answer);
  Close(OutcomeOfStatus(m_head.status));
}

// After the head of a stream, the error is an event, and the end mark that a whole stream has is left out.
void CallerApi::Request::SendError(ErrorCode code, const std::string& message, RequestRan ran, Duration retry_after) {
  if (!m_once_row.empty()) {
    const std::string row_key = std::move(m_once_row);
    m_once_row.clear();
    if (ran == RequestRan::kNo) {
      // Answered when the row is written, so that the caller may use the identity again at once.
      m_owner->m_collaborators.once->MarkNotRun(row_key, [self = shared_from_this(), code, message, ran, retry_after] {
        self->SendError(code, message, ran, retry_after);
      });
      return;
    }
    m_owner->m_collaborators.once->Forget(row_key);
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

void CallerApi::Request::EndEarly(ErrorCode code, const std::string& message) {
  if (m_closed) {
    return;
  }
  const std::shared_ptr<Request> self = shared_from_this();
  const RequestRan ran = m_run != nullptr && !m_run->written() ? RequestRan::kNo : RequestRan::kUnknown;
  m_held.clear();
  m_held_end.reset();
  m_run.reset();
  SendError(code, message, ran, Duration());
}

void CallerApi::Request::Record(RequestOutcome outcome) {
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
  // What an endpoint produced is usage, also when the caller left before the end.
  UsageFigures figures;
  figures.requests = 1;
  figures.prompt_tokens = m_stream.prompt_tokens();
  figures.completion_tokens = m_stream.completion_tokens();
  if (!m_answer.empty()) {
    const std::optional<CompletionResponse> answer = ParseCompletionResponse(m_answer);
    if (answer.has_value() && answer->usage.has_value()) {
      figures.prompt_tokens = answer->usage->prompt_tokens;
      figures.completion_tokens = answer->usage->completion_tokens;
    }
  }
  const bool used = outcome == RequestOutcome::kSucceeded || figures.completion_tokens > 0;
  if (used && !m_workspace.empty() && m_owner->m_collaborators.usage != nullptr) {
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
  if (!m_once_row.empty()) {
    m_owner->m_collaborators.once->Forget(m_once_row);
  }
  Record(outcome);
  m_owner->Remove(m_id);
}

}  // namespace quetzalridge
