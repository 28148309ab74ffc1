#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace quetzalridge {

// One endpoint as the routers see it: its configuration, its last load report, and the requests in flight on it. Load
// reports lag behind. `own_in_flight` is exact, and the counts of peers are about 100 ms old.
struct EndpointState {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  // The endpoint costs less, and the platform may reclaim it at short notice.
  bool cheap = false;
  // The endpoint rejects calls with an outdated fencing token.
  bool checks_fencing = true;
  // The endpoint is draining: it finishes its requests and gets no new ones.
  bool leaving = false;
  // The endpoint is out of use after a lasting fault, such as a failed update of its model weights.
  bool set_aside = false;
  // Polls of the endpoint's load that failed since the last successful one.
  int failed_polls = 0;
  // Number of requests that the endpoint can run at the same time.
  int slots = 16;

  // The last load report.
  int reported_running = 0;
  int reported_queued = 0;
  TimePoint reported_at;
  // Version of the model weights that the endpoint has loaded.
  int64_t weight_version = 0;

  // This instance's requests in flight.
  int own_in_flight = 0;
  // Those of own_in_flight that were sent after the time that the last load report describes.
  int own_since_report = 0;
  // Requests of the peers in flight, as far as peers have reported them recently.
  int peer_in_flight = 0;
  // All peers have reported recently, so the counts cover all instances and are newer than the load report.
  bool all_peers_counted = false;
  // Requests in flight, of all instances, that have not returned their first token: the engine is processing the
  // prompt.
  int awaiting_first_token = 0;
  TimePoint first_seen;
};

}  // namespace quetzalridge
