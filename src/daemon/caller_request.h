#pragma once

#include <memory>
#include <optional>
#include <string>

#include "daemon/caller_api.h"
#include "protocol/completion_stream.h"

namespace quetzalridge {

// One caller's request from admission to its answer.
class CallerApi::Request : public DispatchObserver, public std::enable_shared_from_this<CallerApi::Request> {
 public:
  Request(CallerApi* owner, uint64_t id, DispatchRequest dispatch, CallerIdentity identity, bool keyed,
          std::string once_id, std::shared_ptr<HttpResponder> responder);

  void Begin();
  const CallerIdentity& identity() const { return m_identity; }
  // Ends the request with a reason, for example because its key was withdrawn.
  void EndEarly(ErrorCode code, const std::string& message);
  // Looks at the serving permission: holds, goes on, or ends.
  void CheckPermission();

  void OnHead(const DispatchHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd(const DispatchEnd& end) override;

 private:
  void OnOnceBegin(const IdempotencyResult& begin);
  void OnCallerGone();
  bool MayForward();
  void ForwardStream(std::string_view data);
  void Send(std::string_view data);
  void EndStream(const DispatchEnd& end);
  void FinishOnce();
  void SendAnswer();
  void SendError(ErrorCode code, const std::string& message, RequestRan ran, Duration retry_after);
  void Record(RequestOutcome outcome);
  void Close(RequestOutcome outcome);
  TimePoint Now() const;

  CallerApi* m_owner;
  uint64_t m_id;
  DispatchRequest m_dispatch;
  CallerIdentity m_identity;
  bool m_keyed;
  std::shared_ptr<HttpResponder> m_responder;
  // Identity of a non-idempotent call; empty without one.
  std::string m_once_id;
  bool m_wants_stream;
  // The call's row while this request owns it.
  std::string m_once_row;
  std::unique_ptr<DispatchRun> m_run;
  TimePoint m_started_at;
  std::optional<TimePoint> m_first_byte_at;
  // Since when serving permission is gone.
  std::optional<TimePoint> m_lapsed_at;
  DispatchHead m_head;
  bool m_streaming = false;
  bool m_closed = false;
  // Whole events or answer that wait for the permission, and the end that came meanwhile.
  std::string m_held;
  std::optional<DispatchEnd> m_held_end;
  std::string m_answer;
  CompletionStream m_stream;
  std::string m_service;
  std::string m_workspace;
};

}  // namespace quetzalridge
