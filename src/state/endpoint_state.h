#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace quetzalridge {

// What an instance knows of one endpoint. Reports lag; `own_in_flight` is exact, and the counts of peers are about
// 100 ms old.
struct EndpointState {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  bool cheap = false;
  bool checks_fencing = true;
  // Leaving endpoints get no new work.
  bool leaving = false;
  // A failed weight swap or another lasting fault took it out of use.
  bool set_aside = false;
  // Load polls that failed since the last one that succeeded.
  int failed_polls = 0;
  int slots = 16;

  int reported_running = 0;
  int reported_queued = 0;
  TimePoint reported_at;
  int64_t weight_version = 0;

  int own_in_flight = 0;
  // Of own_in_flight, those sent after the load that the last report describes.
  int own_since_report = 0;
  // Requests of peers in flight, by the counts of those that were heard lately.
  int peer_in_flight = 0;
  // No peer is silent, so the counts cover all instances and are newer than the report.
  bool all_peers_counted = false;
  // Of the requests of all instances in flight, those without a first token, whose prompts the engine processes.
  int awaiting_first_token = 0;
  TimePoint first_seen;
};

}  // namespace quetzalridge
