#pragma once

#include <optional>
#include <string>

#include "base/clock.h"

namespace quetzalridge {

enum class RequestOutcome {
  kSucceeded,
  // Refused by this service, certainly not run.
  kRefused,
  // An endpoint failed, or the outcome is unknown.
  kFailed,
  // The caller left, or its request was faulty.
  kCallerError,
};

struct RequestRecord {
  std::string service;
  std::string workspace;
  RequestOutcome outcome = RequestOutcome::kSucceeded;
  Duration latency;
  bool streamed = false;
  // Absent when nothing was passed on.
  std::optional<Duration> first_byte;
};

// Takes the outcome of each request.
class RequestMetrics {
 public:
  virtual ~RequestMetrics() = default;
  virtual void OnRequestEnd(const RequestRecord& record) = 0;
};

}  // namespace quetzalridge
