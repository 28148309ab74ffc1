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

// A request to be run on one endpoint of a service.
struct DispatchRequest {
  std::string service;
  std::string workspace;
  WorkClass work_class = WorkClass::kInteractive;
  std::string method = "POST";
  std::string target;
  // Already reduced to the allow list; the request id is added for each attempt.
  HttpHeaders headers;
  std::string body;
  // The body came from ParseCompletionRequest or EncodeSampleRequest, and gets the priority that admission gives.
  bool has_priority = false;
  // May be sent again after an attempt with an unknown outcome.
  bool idempotent = true;
  // An event-stream answer is passed on piece by piece; every other answer is passed on when it is whole.
  bool stream = false;
  uint64_t fingerprint = 0;
  std::vector<uint64_t> prefix_hashes;
  std::vector<std::string> excluded;
  int64_t min_weight_version = 0;
  // What the answer as a whole may take, added to the deadline of the first byte.
  Duration answer_time;
  // Runs as the last step before the first byte is written; false ends the run as not run.
  std::function<bool()> before_write;
};

struct DispatchHead {
  int status = 0;
  HttpHeaders headers;
  std::string endpoint_id;
};

struct DispatchEnd {
  // Absent when the whole answer arrived.
  std::optional<ErrorCode> error;
  RequestRan ran = RequestRan::kYes;
  std::string message;
  Duration retry_after;
  std::string endpoint_id;
  int attempts = 0;
  // The run's `before_write` returned false.
  bool abandoned = false;
};

class DispatchObserver {
 public:
  virtual ~DispatchObserver() = default;
  // An attempt is about to be written to this endpoint.
  virtual void OnAttempt(const std::string& endpoint_id) {}
  virtual void OnHead(const DispatchHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  // Always the last call. The observer may destroy the run in any of these.
  virtual void OnEnd(const DispatchEnd& end) = 0;
};

// A run in progress; destroying it cancels the work at the endpoint and silences the observer.
class DispatchRun {
 public:
  virtual ~DispatchRun() = default;
  // True once a byte of the request may have reached an endpoint.
  virtual bool written() const = 0;
};

}  // namespace quetzalridge
