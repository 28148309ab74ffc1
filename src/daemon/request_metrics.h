#pragma once

#include <optional>
#include <string>

#include "base/clock.h"

namespace quetzalridge {

// How a request ended, for the metrics.
enum class RequestOutcome {
  kSucceeded,
  // Rejected by this service and certainly not run.
  kRefused,
  // An endpoint failed, or the outcome is unknown.
  kFailed,
  // The caller disconnected, or its request was invalid.
  kCallerError,
};

// What is recorded about one request.
struct RequestRecord {
  std::string service;
  std::string workspace;
  RequestOutcome outcome = RequestOutcome::kSucceeded;
  Duration latency;
  bool streamed = false;
  // Time until the first byte of the response. Empty if the endpoint sent none.
  std::optional<Duration> first_byte;
};

// Receives the record of each request when it ends.
class RequestMetrics {
 public:
  virtual ~RequestMetrics() = default;
  virtual void OnRequestEnd(const RequestRecord& record) = 0;
};

}  // namespace quetzalridge
