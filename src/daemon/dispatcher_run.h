#pragma once

#include <memory>
#include <string>

#include "daemon/dispatcher.h"

namespace quetzalridge {

// One request from admission to its end, over all of its attempts.
class Dispatcher::Run : public HttpCallObserver, public std::enable_shared_from_this<Dispatcher::Run> {
 public:
  Run(Dispatcher* owner, uint64_t id, DispatchRequest request, DispatchObserver* observer);

  void Begin();
  // The policy's answer, at once or from its queue.
  void OnAdmissionResult(const AdmissionResult& result);
  // Stops work that yields to interactive requests; it can be resumed.
  void Preempt();
  void Cancel();
  // Looks again for a free slot.
  void RetryForFreeSlot();
  bool written() const { return m_written; }

  void OnHead(int status, const HttpHeaders& headers) override;
  void OnBody(std::string_view data) override;
  void OnEnd(const CallResult& result) override;

 private:
  enum class ResponseMode {
    kNone,
    kStreamed,
    kBuffered,
  };

  // What is to be done about an attempt that did not bring a whole answer.
  struct Failure {
    ErrorCode code = ErrorCode::kEndpointFailed;
    // No byte was written, or the endpoint refused the request without running it.
    bool not_run = false;
    bool connection_lost = false;
    std::string message;
  };

  void RequestAdmission();
  AdmissionRequest MakeAdmissionRequest() const;
  void ChooseEndpoint();
  void WaitForEndpoint();
  void WaitForSlot();
  void StopAwaitingFirstToken();
  // Index into `endpoints` or -1; reserves an endpoint for a suspect when none is idle.
  int ChooseForSuspect(const RouteRequest& route, const std::vector<EndpointState>& endpoints);
  RouteRequest MakeRouteRequest(FingerprintVerdict verdict) const;
  void StartAttempt(const EndpointState& endpoint, const RouteRequest& route);
  HttpCall MakeCall(const EndpointState& endpoint);
  void ReportHead();
  void ArmGapTimer();
  void EndAttempt(CallEffect effect);
  void CancelAttempt();
  void FailAttempt(const Failure& failure);
  Failure MakeFailure(const CallResult& result) const;
  void Refuse(ErrorCode code, const std::string& message, Duration retry_after);
  void Finish(DispatchEnd end);
  void ReleaseResources();
  TimePoint Now() const;

  Dispatcher* m_owner;
  uint64_t m_id;
  DispatchRequest m_request;
  DispatchObserver* m_observer;
  AdmissionRequest m_admission_request;
  TimePoint m_started_at;
  TimePoint m_suspect_since;
  bool m_suspect = false;
  bool m_admitted = false;
  bool m_queued = false;
  // Waits for a free slot since `m_slot_wait_started_at`.
  bool m_waiting_for_slot = false;
  TimePoint m_slot_wait_started_at;
  int m_engine_priority = kEnginePriorityWithinShare;
  bool m_written = false;
  bool m_attempt_written = false;
  // An earlier attempt may have run.
  bool m_may_have_run = false;
  bool m_rejected_before_write = false;
  bool m_ended = false;
  bool m_start_in_progress = false;
  bool m_head_reported = false;
  bool m_in_flight = false;
  bool m_awaiting_first_token = false;
  bool m_is_breaker_trial = false;
  // The chosen endpoint was taken out of use before the write.
  bool m_endpoint_unavailable = false;
  int m_attempts = 0;
  std::string m_endpoint_id;
  std::string m_endpoint_address;
  std::string m_request_id;
  ResponseMode m_response_mode = ResponseMode::kNone;
  DispatchHead m_head;
  std::string m_buffered_body;
  std::unique_ptr<HttpExchange> m_exchange;
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_gap_timer;
};

}  // namespace quetzalridge
