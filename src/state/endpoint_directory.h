#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "state/cold_endpoint.h"
#include "state/home_regions.h"

namespace quetzalridge {

enum class EndpointPhase {
  kReady,
  // The endpoint will stop and gets no new work.
  kDraining,
};

// The entry of one endpoint in the registry.
struct EndpointEntry {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  // The region of the zone; empty if unknown.
  std::string region;
  EndpointPhase phase = EndpointPhase::kReady;
  // Version of the endpoint's software. Versions have no order.
  std::string software_version;
  // Number of requests that the endpoint can run at the same time.
  int slots = 1;
  // Unix time at which the endpoint was started, used to detect a restart under the same id. 0 if unknown.
  int64_t started_at_ms = 0;
  // The endpoint costs less, and the platform may reclaim it at short notice.
  bool is_cheap = false;
  // Loaded version of each model.
  std::map<std::string, int64_t> model_versions;
  // How long the endpoint stays cold from `read_at`, when this version of the entry arrived.
  Duration cold_remaining;
  TimePoint read_at;
};

// A registry entry together with what this instance has observed in its own calls to the endpoint.
struct DirectoryEndpoint {
  EndpointEntry entry;
  // This instance's requests in flight on the endpoint.
  int in_flight = 0;
  // Moving mean of the time between two events of a streamed response; 0 if unknown.
  double ms_per_event = 0.0;
  TimePoint last_event_at;
  TimePoint responded_at;
  // Consecutive calls that got no response.
  int failures = 0;
  // The endpoint gets no work until this time.
  TimePoint avoid_until;
  // Number of requests per second that the endpoint accepts from all instances together, as in its latest response.
  std::optional<double> rate_limit;
  // When a response last had the limit, or lifted it.
  TimePoint rate_limit_at;
  // The registry no longer has the entry; see EndpointDirectory::Update.
  bool missing = false;
  // Since when the registry has lacked the entry, also while the endpoint is kept in the grace period.
  std::optional<TimePoint> unlisted_since;
  // The endpoint has said in a response that it will stop.
  bool leaving = false;
  ColdPeriod cold_period;
  // Number of requests per second that the endpoint tolerates from all instances together, while it is cold and its
  // service has such a limit.
  std::optional<double> cold_limit;

  // The operator has evacuated the endpoint's zone. Nothing is sent to the endpoint; what runs there finishes.
  bool evacuated = false;

  // The endpoint takes new work: it is ready, listed in the registry, has not said that it will stop, and its zone is
  // not evacuated.
  bool takes_work() const { return entry.phase == EndpointPhase::kReady && !missing && !leaving && !evacuated; }
  // Requests without work, such as probes, may be sent: they cost more than the endpoint tolerates while it is cold,
  // and an evacuated endpoint gets no requests at all.
  bool may_probe() const { return !is_cold() && !evacuated; }
  bool is_cold() const { return cold_limit.has_value(); }
  // Requests to the endpoint need permits.
  bool is_limited() const { return rate_limit.has_value() || is_cold(); }
};

// The endpoints of all services: their registry entries, and what this instance has observed in its own calls.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(const Clock* clock) : m_clock(clock) {}

  struct Change {
    // Id of the endpoint.
    std::string id;
    // A word for the log, such as "new" or "draining".
    std::string what;
    // How long the endpoint had been missing from the registry.
    Duration unlisted;
  };
  // Applies a read of the registry. In the grace period after an outage of the registry, missing entries are kept,
  // since live endpoints register again within this period. Returns the changes for the log.
  std::vector<Change> Update(const std::vector<EndpointEntry>& entries, bool in_grace_period);
  // True after the registry was read for the first time.
  bool known() const { return m_known; }
  // True if the last read of the registry was not in the grace period after an outage, when live endpoints may be
  // missing.
  bool complete() const { return m_known && !m_in_grace_period; }

  const std::map<std::string, DirectoryEndpoint>& endpoints() const { return m_endpoints; }
  // Number of endpoints that are kept although the registry lacks their entries.
  int unlisted_count() const;
  const DirectoryEndpoint* Find(const std::string& id) const;
  // True if the endpoint takes work and may be called now (see DirectoryEndpoint::avoid_until).
  bool IsUsable(const DirectoryEndpoint& endpoint) const;
  // Returns the usable endpoints of one service, in any region or in those that are allowed.
  std::vector<const DirectoryEndpoint*> Usable(const std::string& service, const HomeRegions& regions = {}) const;

  // Whether the service has an endpoint in the regions that takes work and is not avoided for more than a moment. An
  // endpoint that is only full counts.
  bool HasWorking(const std::string& service, const HomeRegions& regions = {}) const;

  // Whether a ready endpoint of the service has the software version, also one that is avoided now.
  bool HasSoftwareVersion(const std::string& service, const std::string& version) const;
  // Whether all endpoints of the service have the software version, also those that are draining or missing.
  bool HasOnlySoftwareVersion(const std::string& service, const std::string& version) const;

  // Records the time between two events of a streamed response of the endpoint.
  void OnEventInterval(const std::string& id, Duration interval);
  // Returns the mean time between two events; 0 if no event was recorded in the last few seconds.
  double MsPerEvent(const DirectoryEndpoint& endpoint) const;
  // Time since any endpoint last responded or sent an event to this instance; nothing if none has.
  std::optional<Duration> SilenceOfAll() const;
  // Whether the endpoint has responded, or sent an event, within the last few seconds.
  bool RespondedLately(const DirectoryEndpoint& endpoint) const;
  void OnCallStarted(const std::string& id);
  void OnCallEnded(const std::string& id);
  // Records that the endpoint has responded, which resets its failure count.
  void OnResponse(const std::string& id);
  // Records that a call got no response. Returns how long the endpoint is avoided.
  Duration OnNoResponse(const std::string& id);
  // Records that the endpoint rejected a call because all its slots are in use; the endpoint is avoided briefly.
  void OnFull(const std::string& id);
  // Records that a different endpoint has responded at the endpoint's address.
  void OnAddressReassigned(const std::string& id);
  // Records that a response of the endpoint says that it will stop. This holds until the endpoint has started anew,
  // whatever the registry says; `started_at_ms` is the start to which the response belongs. Returns true if it was not
  // known.
  bool OnLeaving(const std::string& id, int64_t started_at_ms);
  // Records the rate limit in a response of the endpoint; nothing if the response has none.
  void OnRateLimit(const std::string& id, std::optional<double> limit);
  // Sets the requests per second that cold endpoints tolerate, by service. Endpoints of other services have no such
  // limit.
  void SetColdLimits(std::map<std::string, double> limits);
  // Records that a response of the endpoint says how long it stays cold.
  void OnColdReport(const std::string& id, Duration remaining);
  // Begins and ends cold periods, also those that have passed since. Returns the endpoints whose limit has changed
  // since the last call. Until this function is called, an endpoint whose period has ended keeps its limit.
  std::vector<std::string> RefreshCold();
  // When the next cold period ends; nothing if no endpoint is cold.
  std::optional<TimePoint> NextColdEnd() const;
  int cold_count() const;
  // Sets the zones whose endpoints get no requests. Endpoints of a zone that is in use again may have become cold
  // meanwhile, so they count as cold until their next entries have arrived.
  void SetEvacuatedZones(std::set<std::string> zones);
  const std::set<std::string>& evacuated_zones() const { return m_evacuated_zones; }
  // Number of endpoints in the zone, and of this instance's requests in flight on them.
  struct ZoneLoad {
    int endpoints = 0;
    int in_flight = 0;
  };
  ZoneLoad LoadOfZone(const std::string& zone) const;
  // Whether the service has ready endpoints, and all of them are in evacuated zones.
  bool IsEvacuated(const std::string& service) const;
  // Records the loaded version of a model, as reported in a response.
  void OnModelVersion(const std::string& id, const std::string& model, int64_t version);

 private:
  DirectoryEndpoint* FindMutable(const std::string& id);
  void UpdateColdLimit(DirectoryEndpoint* endpoint);

  const Clock* m_clock;
  bool m_known = false;
  bool m_in_grace_period = false;
  std::optional<TimePoint> m_last_response_at;
  std::map<std::string, DirectoryEndpoint> m_endpoints;
  std::set<std::string> m_evacuated_zones;
  std::map<std::string, double> m_cold_limits;
  // Endpoints whose cold limit has changed since the last call of RefreshCold.
  std::set<std::string> m_cold_changes;
  // The start of each endpoint that has said that it will stop, and when it was last listed. Its entry may disappear
  // from the registry and come back.
  struct LeavingStart {
    int64_t started_at_ms = 0;
    TimePoint listed_at;
  };
  std::map<std::string, LeavingStart> m_leaving;
};

// Counts a call of this instance as in flight on an endpoint, as long as this object exists.
class EndpointCallCount {
 public:
  EndpointCallCount(EndpointDirectory* endpoints, std::string endpoint)
      : m_endpoints(endpoints), m_endpoint(std::move(endpoint)) {
    m_endpoints->OnCallStarted(m_endpoint);
  }
  ~EndpointCallCount() { m_endpoints->OnCallEnded(m_endpoint); }
  EndpointCallCount(const EndpointCallCount&) = delete;
  EndpointCallCount& operator=(const EndpointCallCount&) = delete;

 private:
  EndpointDirectory* m_endpoints;
  std::string m_endpoint;
};

}  // namespace quetzalridge
