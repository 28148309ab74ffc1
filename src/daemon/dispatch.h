#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "state/router.h"
#include "transport/http_message.h"

namespace quetzalridge {

// A request that the dispatcher runs on one endpoint of a service.
struct DispatchRequest {
  std::string service;
  std::string workspace;
  WorkClass work_class = WorkClass::kInteractive;
  std::string method = "POST";
  std::string target;
  // Must contain only allowed headers. The dispatcher adds a request id for each attempt.
  HttpHeaders headers;
  std::string body;
  // True if the body came from ParseCompletionRequest or EncodeSampleRequest. The dispatcher then sets the `priority`
  // field of the body to the engine priority that admission returned. Engines run smaller numbers first.
  bool has_priority = false;
  // True if the request may be sent again after an attempt whose outcome is unknown.
  bool idempotent = true;
  // If true, an event-stream response is passed on piece by piece. All other responses are passed on when complete.
  bool stream = false;
  // Identifies the content of the request for the quarantine of requests that crash endpoints.
  uint64_t fingerprint = 0;
  std::vector<uint64_t> prefix_hashes;
  // Ids of endpoints on which the request must not run.
  std::vector<std::string> excluded;
  int64_t min_weight_version = 0;
  // Added to the timeout for the first byte, for a response that arrives only when all its tokens are produced.
  Duration response_time_allowance;
  // Called as the last step before the first byte of an attempt is written. If it returns false, nothing is written and
  // the run ends.
  std::function<bool()> before_write;
};

// The status and the headers of an endpoint's response.
struct DispatchHead {
  int status = 0;
  HttpHeaders headers;
  std::string endpoint_id;
};

// How a run ended.
struct DispatchEnd {
  // Empty if the complete response arrived.
  std::optional<ErrorCode> error;
  RequestRan ran = RequestRan::kYes;
  std::string message;
  Duration retry_after;
  std::string endpoint_id;
  int attempts = 0;
  // True if `before_write` of the request returned false.
  bool rejected_before_write = false;
};

// Receives the progress and the result of one run. The observer may destroy the run in any of these calls.
class DispatchObserver {
 public:
  virtual ~DispatchObserver() = default;
  // Called before an attempt is sent to this endpoint.
  virtual void OnAttempt(const std::string& endpoint_id) {}
  virtual void OnHead(const DispatchHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  // Always the last call.
  virtual void OnEnd(const DispatchEnd& end) = 0;
};

// A run in progress. Destroying it cancels the work at the endpoint, and the observer is not called any more.
class DispatchRun {
 public:
  virtual ~DispatchRun() = default;
  // Returns whether a byte of the request may have reached an endpoint.
  virtual bool written() const = 0;
};

}  // namespace quetzalridge
