#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/http_header.h"

namespace quetzalridge {

// A request for one endpoint.
struct EndpointCall {
  // Any other endpoint at the address refuses the call without running it.
  std::string endpoint_id;
  std::string address;
  std::string method = "POST";
  std::string host;
  // Path and query.
  std::string target;
  // Passed on as the caller sent them.
  HttpHeaders headers;
  std::string body;
  std::string request_id;
  // Empty on routes that need no key.
  std::string workspace;
  // The endpoint stops its work after this time; 0 sets no limit.
  Duration time_left;
  // Without the first bytes of an answer, or the next ones, the call is given up after these times.
  Duration head_timeout;
  Duration idle_timeout;
  // Goes on after this event of an earlier run.
  std::optional<int64_t> resume_after;
  // The answer is a series of events, reported by OnEvent instead of OnBody.
  bool reads_events = false;
};

struct EndpointResponseHead {
  int status = 0;
  // Without those that concern one connection only.
  HttpHeaders headers;
  // The endpoint states that the request did not run.
  bool not_run = false;
  // The address belongs to another endpoint; the request did not run.
  bool wrong_endpoint = false;
  // The version of the model that generates the answer.
  std::optional<int64_t> model_version;
};

struct StreamEvent {
  std::optional<int64_t> id;
  std::string data;
  // Set where the version of the model changes.
  std::optional<int64_t> model_version;
};

enum class EndpointCallOutcome {
  kComplete,
  // Nothing was sent.
  kNotSent,
  // The request was sent, and no answer came.
  kNoResponse,
  // The answer was cut, or is malformed.
  kTruncated,
};

struct EndpointCallResult {
  EndpointCallOutcome outcome = EndpointCallOutcome::kNotSent;
  bool timed_out = false;
  std::string detail;
};

class EndpointCallObserver {
 public:
  virtual ~EndpointCallObserver() = default;
  virtual void OnHead(const EndpointResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnEvent(const StreamEvent& event) = 0;
  // Always the last call. The observer may destroy the exchange in any of these.
  virtual void OnEnd(const EndpointCallResult& result) = 0;
};

// A call in flight; destroying it closes its connection, which ends the endpoint's work, and silences the observer.
class EndpointExchange {
 public:
  virtual ~EndpointExchange() = default;
};

// Sends requests to endpoints. Callbacks run on the event loop, later than the call.
class EndpointCaller {
 public:
  virtual ~EndpointCaller() = default;
  virtual std::unique_ptr<EndpointExchange> Start(EndpointCall call, EndpointCallObserver* observer) = 0;
};

}  // namespace quetzalridge
