#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

enum class EndpointPhase {
  kReady,
  // Planned to leave; gets no new work.
  kDraining,
};

// What the registry says of one endpoint.
struct EndpointEntry {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  EndpointPhase phase = EndpointPhase::kReady;
  // Requests that it runs at once.
  int slots = 1;
  // Unix time of its start; tells a restart under the same id. 0 when unknown.
  int64_t started_at_ms = 0;
  // Cheaper, and reclaimed at short notice.
  bool is_cheap = false;
  // Loaded version of each model.
  std::map<std::string, int64_t> model_versions;
};

// An endpoint with what this instance knows of it besides.
struct DirectoryEndpoint {
  EndpointEntry entry;
  // Requests of this instance that it holds now.
  int in_flight = 0;
  // Mean time between two events of one generation, as seen lately; 0 when unknown.
  double ms_per_event = 0.0;
  TimePoint last_event_at;
  // Calls in a row that failed without an answer.
  int failures = 0;
  // Gets no work before.
  TimePoint avoid_until;
  // The registry no longer holds it; see EndpointDirectory::Update.
  bool missing = false;
  TimePoint missing_since;
};

// The endpoints of all services, from the registry and from this instance's own calls.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(const Clock* clock) : m_clock(clock) {}

  struct Change {
    std::string id;
    std::string what;
  };
  // Takes the registry as read. While `in_grace_period`, just after an outage of the registry, entries that are missing
  // are kept, since live endpoints register again within that time. Returns what changed, for the log.
  std::vector<Change> Update(const std::vector<EndpointEntry>& entries, bool in_grace_period);
  bool known() const { return m_known; }
  // The registry was read, and not just after an outage, when it lacks live endpoints.
  bool complete() const { return m_known && !m_in_grace_period; }

  const std::map<std::string, DirectoryEndpoint>& endpoints() const { return m_endpoints; }
  const DirectoryEndpoint* Find(const std::string& id) const;
  // Ready, not missing, and not avoided.
  bool IsUsable(const DirectoryEndpoint& endpoint) const;
  // Usable endpoints of one service.
  std::vector<const DirectoryEndpoint*> Usable(const std::string& service) const;

  // The time between two events of a generation at the endpoint.
  void OnEventInterval(const std::string& id, Duration interval);
  // As measured lately; 0 when unknown.
  double MsPerEvent(const DirectoryEndpoint& endpoint) const;
  void OnCallStarted(const std::string& id);
  void OnCallEnded(const std::string& id);
  // The endpoint answered something.
  void OnResponse(const std::string& id);
  // A call got no answer at all. Returns how long the endpoint is avoided.
  Duration OnNoResponse(const std::string& id);
  // The endpoint refused as full; it is avoided briefly.
  void OnFull(const std::string& id);
  // The address now belongs to another endpoint.
  void OnAddressReassigned(const std::string& id);
  // An answer told the loaded version of a model.
  void OnModelVersion(const std::string& id, const std::string& model, int64_t version);

 private:
  DirectoryEndpoint* FindMutable(const std::string& id);

  const Clock* m_clock;
  bool m_known = false;
  bool m_in_grace_period = false;
  std::map<std::string, DirectoryEndpoint> m_endpoints;
};

}  // namespace quetzalridge
