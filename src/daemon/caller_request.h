#pragma once

#include <memory>
#include <optional>
#include <string>

#include "daemon/caller_api.h"
#include "protocol/completion_stream.h"

namespace quetzalridge {

// One request of a caller, from its authorization until its response has been sent. Records non-idempotent calls in the
// idempotency store and holds back the response while the instance may not serve keyed routes.
class CallerApi::Request : public DispatchObserver, public std::enable_shared_from_this<CallerApi::Request> {
 public:
  Request(CallerApi* owner, uint64_t id, DispatchRequest dispatch, CallerIdentity identity, bool is_keyed_route,
          std::string idempotency_key, std::shared_ptr<HttpResponder> responder);

  void Begin();
  const CallerIdentity& identity() const { return m_identity; }
  // Cancels the request and sends an error, for example because the key was withdrawn.
  void EndWithError(ErrorCode code, const std::string& message);
  // Checks whether this instance may still serve keyed routes. Sends the data that was held back if it may again, and
  // ends the request if it has not been allowed to for longer than the timeout.
  void CheckPermission();

  void OnHead(const DispatchHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd(const DispatchEnd& end) override;

 private:
  void OnIdempotencyResult(const IdempotencyResult& result);
  void OnCallerDisconnected();
  // Returns whether response data may be sent to the caller now. Notes when the permission to serve keyed routes was
  // found to be lost.
  bool MayForward();
  void ForwardStream(std::string_view data);
  // Sends data of a stream. Disconnects a caller that receives too slowly.
  void Send(std::string_view data);
  void EndStream(const DispatchEnd& end);
  // Writes the final row of a call with an idempotency key.
  void RecordFinishedCall();
  void SendResponse();
  void SendError(ErrorCode code, const std::string& message, RequestRan ran, Duration retry_after);
  void RecordMetricsAndUsage(RequestOutcome outcome);
  void Close(RequestOutcome outcome);
  TimePoint Now() const;

  CallerApi* m_owner;
  uint64_t m_id;
  DispatchRequest m_dispatch;
  CallerIdentity m_identity;
  bool m_is_keyed_route;
  std::shared_ptr<HttpResponder> m_responder;
  // Empty if the route is idempotent or the caller sent no idempotency key.
  std::string m_idempotency_key;
  // True if the caller asked for a stream.
  bool m_wants_stream;
  // The row of the call in the idempotency store. Empty while this request does not own a row.
  std::string m_idempotency_row_key;
  std::unique_ptr<DispatchRun> m_run;
  TimePoint m_started_at;
  std::optional<TimePoint> m_first_byte_at;
  // When the lost permission to serve keyed routes was noticed. Empty while this instance has the permission.
  std::optional<TimePoint> m_permission_lapsed_at;
  DispatchHead m_head;
  // True if the caller asked for a stream and the endpoint responds with one.
  bool m_streaming = false;
  bool m_closed = false;
  // Complete events of a stream, and the end of the run, that are held back until this instance may serve keyed routes
  // again.
  std::string m_held_data;
  std::optional<DispatchEnd> m_held_end;
  std::string m_response_body;
  CompletionStream m_stream;
  std::string m_service;
  std::string m_workspace;
};

}  // namespace quetzalridge
