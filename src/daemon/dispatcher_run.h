#pragma once

#include <memory>
#include <string>

#include "daemon/dispatcher.h"

namespace quetzalridge {

// One request from admission to its end, including all of its attempts on endpoints.
class Dispatcher::Run : public HttpCallObserver, public std::enable_shared_from_this<Dispatcher::Run> {
 public:
  Run(Dispatcher* owner, uint64_t id, DispatchRequest request, DispatchObserver* observer);

  void Begin();
  // Handles the decision of the admission policy, which is made at once or after a wait in the policy's queue.
  void OnAdmissionResult(const AdmissionResult& result);
  // Stops the run in favour of interactive requests. The work can be resumed by a new run.
  void Preempt();
  // Ends the run without a call of the observer.
  void Cancel();
  // Chooses an endpoint again if the run waits for a free slot.
  void RetryForFreeSlot();
  bool written() const { return m_written; }

  void OnHead(int status, const HttpHeaders& headers) override;
  void OnBody(std::string_view data) override;
  void OnEnd(const CallResult& result) override;

 private:
  // How the response of the current attempt is passed to the observer.
  enum class ResponseMode {
    // No response head has arrived.
    kNone,
    // Piece by piece.
    kStreamed,
    // When it is complete.
    kBuffered,
  };

  // Why an attempt did not return a complete response.
  struct Failure {
    ErrorCode code = ErrorCode::kEndpointFailed;
    // No byte was written, or the endpoint rejected the request without running it.
    bool not_run = false;
    bool connection_lost = false;
    std::string message;
  };

  void RequestAdmission();
  AdmissionRequest MakeAdmissionRequest() const;
  // Starts an attempt on an endpoint, waits for an endpoint, or refuses the request.
  void ChooseEndpoint();
  // Chooses an endpoint again after a short time.
  void WaitForEndpoint();
  // Puts the run into the queue for free slots.
  void WaitForSlot();
  void StopAwaitingFirstToken();
  // Returns an index into `endpoints`, or -1 if the suspect must wait. Reserves an endpoint for the suspect if none is
  // idle.
  int ChooseForSuspect(const RouteRequest& route, const std::vector<EndpointState>& endpoints);
  RouteRequest MakeRouteRequest(FingerprintVerdict verdict) const;
  void StartAttempt(const EndpointState& endpoint, const RouteRequest& route);
  HttpCall MakeCall(const EndpointState& endpoint);
  void ReportHead();
  // Restarts the timeout for the next piece of the response.
  void ArmGapTimer();
  // Closes the connection of the current attempt and reports its effect to the endpoint registry.
  void EndAttempt(CallEffect effect);
  void CancelAttempt();
  void FailAttempt(const Failure& failure);
  Failure MakeFailure(const CallResult& result) const;
  // Ends the run with an error of this service, not of an endpoint.
  void Refuse(ErrorCode code, const std::string& message, Duration retry_after);
  void Finish(DispatchEnd end);
  // Gives up the slot of the admission policy, the position in queues and the reservation, and removes the run from the
  // dispatcher.
  void ReleaseResources();
  TimePoint Now() const;

  Dispatcher* m_owner;
  uint64_t m_id;
  DispatchRequest m_request;
  DispatchObserver* m_observer;
  AdmissionRequest m_admission_request;
  TimePoint m_started_at;
  TimePoint m_suspect_since;
  // True if the request was a suspect when an endpoint was chosen, first at m_suspect_since.
  bool m_suspect = false;
  bool m_admitted = false;
  bool m_queued = false;
  // True while the run waits for a free slot of an endpoint, since m_slot_wait_started_at.
  bool m_waiting_for_slot = false;
  TimePoint m_slot_wait_started_at;
  int m_engine_priority = kEnginePriorityWithinShare;
  // A byte of the request may have reached an endpoint, in any attempt and in the current one.
  bool m_written = false;
  bool m_attempt_written = false;
  // True if an attempt that failed may have run the request.
  bool m_may_have_run = false;
  bool m_rejected_before_write = false;
  bool m_ended = false;
  // True during the call of EngineClient::Start.
  bool m_start_in_progress = false;
  bool m_head_reported = false;
  bool m_in_flight = false;
  // True if the registry counts this attempt as one that awaits its first token.
  bool m_awaiting_first_token = false;
  // True if the attempt is the trial call of an open circuit breaker.
  bool m_is_breaker_trial = false;
  // True if the chosen endpoint was taken out of use before the request was written.
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
