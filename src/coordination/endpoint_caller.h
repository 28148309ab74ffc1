#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/http_header.h"
#include "base/shared_text.h"
#include "state/home_regions.h"

namespace quetzalridge {

// A request for one endpoint.
struct EndpointCall {
  // If another endpoint now has the address, it refuses the call without running it.
  std::string endpoint_id;
  std::string address;
  std::string method = "POST";
  std::string host;
  // Path and query.
  std::string target;
  // Forwarded unchanged from the caller.
  HttpHeaders headers;
  SharedText body;
  std::string request_id;
  // Empty on routes that need no key.
  std::string workspace;
  // The endpoint cancels the request after this time; 0 sets no limit.
  Duration time_left;
  // The call fails as not sent if no connection is made within this time; 0 leaves it to the implementation.
  Duration connect_timeout;
  // The call fails if the head of the response, or then the next bytes, do not arrive within these times.
  Duration head_timeout;
  Duration idle_timeout;
  // Id of the last event received in an earlier run; the endpoint continues after it.
  std::optional<int64_t> resume_after;
  // The response is a stream of events, reported by OnEvent instead of OnBody.
  bool reads_events = false;
  // The caller may send the request again although it may have run.
  bool is_repeatable = false;
  // The request was in flight on an endpoint that has crashed. It uses a connection of its own, and is sent only if the
  // endpoint responds to a probe, so that a lost connection is a sign of a further crash.
  bool is_suspect = false;
  // A suspect, and this instance has no other call in flight on the endpoint.
  bool runs_alone = false;
  // The call is passed on only to instances in these regions.
  HomeRegions home_regions;
};

struct EndpointResponseHead {
  int status = 0;
  // Without the headers that apply to one connection only.
  HttpHeaders headers;
  // The endpoint reports that it did not run the request.
  bool not_run = false;
  // Another endpoint has the address; it did not run the request.
  bool wrong_endpoint = false;
  // The version of the model that generates the response.
  std::optional<int64_t> model_version;
  // Number of requests per second that the endpoint accepts from all instances together; absent while it sets no limit.
  std::optional<double> rate_limit;
  // The endpoint will stop, and takes no new work.
  bool leaving = false;
  // How long the endpoint stays cold, if the response says so.
  std::optional<Duration> cold_remaining;
  // Another instance passes the response on, so the times at which its parts arrive do not show the endpoint's speed.
  bool relayed = false;
  // Identifies the endpoint and the run; empty if the response carries none.
  std::string signature;
};

struct StreamEvent {
  std::optional<int64_t> id;
  std::string data;
  // Set if the version of the model changes with this event.
  std::optional<int64_t> model_version;
};

enum class EndpointCallOutcome {
  // The whole response was received, whatever its status.
  kComplete,
  // Nothing was sent.
  kNotSent,
  // The request was sent, and no response was received.
  kNoResponse,
  // The response was truncated, or is malformed.
  kTruncated,
};

struct EndpointCallResult {
  EndpointCallOutcome outcome = EndpointCallOutcome::kNotSent;
  bool timed_out = false;
  // Nothing was sent, because no connection could be made.
  bool connection_failed = false;
  // This instance has lost its path to the endpoint, which says nothing about the endpoint. If nothing was sent, no
  // other instance can pass the call on either.
  bool path_failed = false;
  // Another instance passed the call on and did not report its end, so the endpoint may have run it.
  bool peer_failed = false;
  std::string detail;

  // A failure is a sign that the endpoint has failed.
  bool blames_endpoint() const { return !path_failed && !peer_failed; }
};

// Receives the parts of a response as they arrive.
class EndpointCallObserver {
 public:
  virtual ~EndpointCallObserver() = default;
  virtual void OnHead(const EndpointResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnEvent(const StreamEvent& event) = 0;
  // Always the last of these calls. The observer may destroy the exchange within any of them.
  virtual void OnEnd(const EndpointCallResult& result) = 0;
};

// A call in flight. Destroying it closes its connection, which cancels the request at the endpoint; the observer
// receives no further calls.
class EndpointExchange {
 public:
  virtual ~EndpointExchange() = default;
};

// Sends requests to endpoints. Observers are called from the event loop, after Start has returned.
class EndpointCaller {
 public:
  virtual ~EndpointCaller() = default;
  virtual std::unique_ptr<EndpointExchange> Start(EndpointCall call, EndpointCallObserver* observer) = 0;
};

}  // namespace quetzalridge
