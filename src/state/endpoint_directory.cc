#include "state/endpoint_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace quetzalridge {

namespace {

// An endpoint that did not respond is avoided for this time, which doubles with each further failure.
constexpr Duration kInitialAvoidance = Duration::Milliseconds(500);
constexpr Duration kMaxAvoidance = Duration::Seconds(4);
constexpr int kMaxDoublings = 3;
// A full endpoint has a free slot again after about the duration of one short request.
constexpr Duration kAvoidanceWhenFull = Duration::Milliseconds(50);
// Weight of one interval in the moving mean. With a single generation, the mean follows a change within about ten
// events.
constexpr double kEventIntervalWeight = 0.1;
// A slow endpoint gets no work and hence no new measurements. Its speed has to be forgotten so that it is tried again.
constexpr Duration kSpeedLifetime = Duration::Seconds(4);
// What a response says about an endpoint, such as its rate limit, may have changed after this time.
constexpr Duration kResponseLifetime = Duration::Seconds(2);
// The registry may lose the entry of an endpoint that runs for as long as the store is away.
constexpr Duration kLeavingRetention = Duration::Seconds(600);
// After the end of an evacuation, the entries of endpoints that have become cold arrive within this time: endpoints
// renew them every 1.2 s.
constexpr Duration kAssumedColdTime = Duration::Seconds(2);
// Longer than the registry keeps the address of an endpoint that has stopped.
constexpr Duration kAvoidanceWhenReassigned = Duration::Seconds(10);

}  // namespace

std::vector<EndpointDirectory::Change> EndpointDirectory::Update(const std::vector<EndpointEntry>& entries,
                                                                 bool in_grace_period) {
  m_known = true;
  m_in_grace_period = in_grace_period;
  std::vector<Change> changes;
  std::set<std::string> listed;
  for (const EndpointEntry& entry : entries) {
    listed.insert(entry.id);
    const auto [found, is_new] = m_endpoints.try_emplace(entry.id);
    DirectoryEndpoint& endpoint = found->second;
    const bool is_restarted =
        endpoint.entry.started_at_ms != entry.started_at_ms || endpoint.entry.address != entry.address;
    if (is_new || is_restarted) {
      // A restarted endpoint has lost its state, but calls of this instance to its previous run may not have ended yet.
      const int in_flight = endpoint.in_flight;
      endpoint = {};
      endpoint.in_flight = in_flight;
      changes.push_back({entry.id, is_new ? "new" : "restarted"});
    } else if (endpoint.entry.phase != entry.phase) {
      changes.push_back({entry.id, entry.phase == EndpointPhase::kReady ? "ready" : "draining"});
    }
    std::map<std::string, int64_t> versions = entry.model_versions;
    // A response may have reported a newer version than the registry.
    for (auto& [model, version] : versions) {
      const auto own = endpoint.entry.model_versions.find(model);
      if (own != endpoint.entry.model_versions.end()) {
        version = std::max(version, own->second);
      }
    }
    if (is_new || is_restarted || entry.read_at != endpoint.entry.read_at) {
      endpoint.cold_period.OnReport(entry.read_at, entry.cold_remaining);
    }
    endpoint.entry = entry;
    endpoint.entry.model_versions = std::move(versions);
    UpdateColdLimit(&endpoint);
    endpoint.evacuated = m_evacuated_zones.count(entry.zone) > 0;
    endpoint.missing = false;
    endpoint.unlisted_since.reset();
    const auto leaving = m_leaving.find(entry.id);
    if (leaving != m_leaving.end() && leaving->second.started_at_ms != entry.started_at_ms) {
      m_leaving.erase(leaving);
    } else if (leaving != m_leaving.end()) {
      leaving->second.listed_at = m_clock->Now();
      endpoint.leaving = true;
    }
  }
  for (auto it = m_leaving.begin(); it != m_leaving.end();) {
    const bool forget = m_clock->Now() - it->second.listed_at >= kLeavingRetention;
    it = forget ? m_leaving.erase(it) : std::next(it);
  }
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    DirectoryEndpoint& endpoint = it->second;
    if (listed.count(it->first) > 0) {
      ++it;
      continue;
    }
    if (!endpoint.unlisted_since.has_value()) {
      endpoint.unlisted_since = m_clock->Now();
      if (in_grace_period) {
        changes.push_back({it->first, "unlisted"});
      }
    }
    if (in_grace_period) {
      ++it;
      continue;
    }
    if (!endpoint.missing) {
      endpoint.missing = true;
      changes.push_back({it->first, "gone", m_clock->Now() - *endpoint.unlisted_since});
    }
    // An endpoint with calls in flight is kept, since these calls still refer to its entry.
    it = endpoint.in_flight == 0 ? m_endpoints.erase(it) : std::next(it);
  }
  return changes;
}

int EndpointDirectory::unlisted_count() const {
  return static_cast<int>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [](const auto& entry) {
    return entry.second.unlisted_since.has_value() && !entry.second.missing;
  }));
}

const DirectoryEndpoint* EndpointDirectory::Find(const std::string& id) const {
  const auto found = m_endpoints.find(id);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

DirectoryEndpoint* EndpointDirectory::FindMutable(const std::string& id) {
  const auto found = m_endpoints.find(id);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

bool EndpointDirectory::IsUsable(const DirectoryEndpoint& endpoint) const {
  return endpoint.takes_work() && m_clock->Now() >= endpoint.avoid_until;
}

std::vector<const DirectoryEndpoint*> EndpointDirectory::Usable(const std::string& service,
                                                                const HomeRegions& regions) const {
  std::vector<const DirectoryEndpoint*> usable;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint.entry.service == service && IsUsable(endpoint) && regions.Allows(endpoint.entry.region)) {
      usable.push_back(&endpoint);
    }
  }
  return usable;
}

bool EndpointDirectory::HasWorking(const std::string& service, const HomeRegions& regions) const {
  const TimePoint soon = m_clock->Now() + kAvoidanceWhenFull;
  return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& entry) {
    const DirectoryEndpoint& endpoint = entry.second;
    return endpoint.entry.service == service && endpoint.takes_work() && endpoint.avoid_until <= soon &&
           regions.Allows(endpoint.entry.region);
  });
}

bool EndpointDirectory::HasSoftwareVersion(const std::string& service, const std::string& version) const {
  return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& entry) {
    const DirectoryEndpoint& endpoint = entry.second;
    return endpoint.entry.service == service && endpoint.entry.software_version == version && endpoint.takes_work();
  });
}

bool EndpointDirectory::HasOnlySoftwareVersion(const std::string& service, const std::string& version) const {
  return std::none_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& entry) {
    return entry.second.entry.service == service && entry.second.entry.software_version != version;
  });
}

std::optional<Duration> EndpointDirectory::SilenceOfAll() const {
  return m_last_response_at.has_value() ? std::optional<Duration>(m_clock->Now() - *m_last_response_at) : std::nullopt;
}

void EndpointDirectory::OnEventInterval(const std::string& id, Duration interval) {
  m_last_response_at = m_clock->Now();
  DirectoryEndpoint* endpoint = FindMutable(id);
  if (endpoint == nullptr) {
    return;
  }
  const double known = MsPerEvent(*endpoint);
  const auto measured = static_cast<double>(interval.ms());
  endpoint->ms_per_event = known > 0.0 ? known + kEventIntervalWeight * (measured - known) : measured;
  endpoint->last_event_at = m_clock->Now();
}

double EndpointDirectory::MsPerEvent(const DirectoryEndpoint& endpoint) const {
  return m_clock->Now() - endpoint.last_event_at <= kSpeedLifetime ? endpoint.ms_per_event : 0.0;
}

bool EndpointDirectory::RespondedLately(const DirectoryEndpoint& endpoint) const {
  return m_clock->Now() - std::max(endpoint.responded_at, endpoint.last_event_at) <= kResponseLifetime;
}

void EndpointDirectory::OnCallStarted(const std::string& id) {
  if (DirectoryEndpoint* endpoint = FindMutable(id)) {
    ++endpoint->in_flight;
  }
}

void EndpointDirectory::OnCallEnded(const std::string& id) {
  if (DirectoryEndpoint* endpoint = FindMutable(id)) {
    endpoint->in_flight = std::max(endpoint->in_flight - 1, 0);
  }
}

void EndpointDirectory::OnResponse(const std::string& id) {
  m_last_response_at = m_clock->Now();
  if (DirectoryEndpoint* endpoint = FindMutable(id)) {
    endpoint->failures = 0;
    endpoint->responded_at = m_clock->Now();
  }
}

Duration EndpointDirectory::OnNoResponse(const std::string& id) {
  DirectoryEndpoint* endpoint = FindMutable(id);
  if (endpoint == nullptr) {
    return Duration();
  }
  const int doublings = std::min(endpoint->failures++, kMaxDoublings);
  const Duration avoidance = std::min(kInitialAvoidance * (int64_t{1} << doublings), kMaxAvoidance);
  endpoint->avoid_until = std::max(endpoint->avoid_until, m_clock->Now() + avoidance);
  return avoidance;
}

void EndpointDirectory::OnFull(const std::string& id) {
  if (DirectoryEndpoint* endpoint = FindMutable(id)) {
    endpoint->avoid_until = std::max(endpoint->avoid_until, m_clock->Now() + kAvoidanceWhenFull);
  }
}

void EndpointDirectory::OnAddressReassigned(const std::string& id) {
  if (DirectoryEndpoint* endpoint = FindMutable(id)) {
    endpoint->avoid_until = std::max(endpoint->avoid_until, m_clock->Now() + kAvoidanceWhenReassigned);
  }
}

bool EndpointDirectory::OnLeaving(const std::string& id, int64_t started_at_ms) {
  DirectoryEndpoint* endpoint = FindMutable(id);
  if (endpoint == nullptr || endpoint->leaving || endpoint->entry.started_at_ms != started_at_ms) {
    return false;
  }
  endpoint->leaving = true;
  m_leaving[id] = {started_at_ms, m_clock->Now()};
  return true;
}

void EndpointDirectory::OnRateLimit(const std::string& id, std::optional<double> limit) {
  if (DirectoryEndpoint* endpoint = FindMutable(id)) {
    endpoint->rate_limit = limit;
    endpoint->rate_limit_at = m_clock->Now();
  }
}

void EndpointDirectory::SetColdLimits(std::map<std::string, double> limits) {
  m_cold_limits = std::move(limits);
  for (auto& [id, endpoint] : m_endpoints) {
    UpdateColdLimit(&endpoint);
  }
}

void EndpointDirectory::OnColdReport(const std::string& id, Duration remaining) {
  if (DirectoryEndpoint* endpoint = FindMutable(id)) {
    endpoint->cold_period.OnReport(m_clock->Now(), remaining);
    UpdateColdLimit(endpoint);
  }
}

void EndpointDirectory::UpdateColdLimit(DirectoryEndpoint* endpoint) {
  const auto limit = m_cold_limits.find(endpoint->entry.service);
  const bool is_cold = limit != m_cold_limits.end() && endpoint->cold_period.IsCold(m_clock->Now());
  const std::optional<double> cold_limit = is_cold ? std::optional<double>(limit->second) : std::nullopt;
  if (cold_limit != endpoint->cold_limit) {
    endpoint->cold_limit = cold_limit;
    m_cold_changes.insert(endpoint->entry.id);
  }
}

std::vector<std::string> EndpointDirectory::RefreshCold() {
  for (auto& [id, endpoint] : m_endpoints) {
    UpdateColdLimit(&endpoint);
  }
  std::vector<std::string> changes(m_cold_changes.begin(), m_cold_changes.end());
  m_cold_changes.clear();
  return changes;
}

std::optional<TimePoint> EndpointDirectory::NextColdEnd() const {
  std::optional<TimePoint> next;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint.is_cold() && (!next.has_value() || *endpoint.cold_period.until() < *next)) {
      next = endpoint.cold_period.until();
    }
  }
  return next;
}

void EndpointDirectory::SetEvacuatedZones(std::set<std::string> zones) {
  m_evacuated_zones = std::move(zones);
  for (auto& [id, endpoint] : m_endpoints) {
    const bool was_evacuated = endpoint.evacuated;
    endpoint.evacuated = m_evacuated_zones.count(endpoint.entry.zone) > 0;
    if (was_evacuated && !endpoint.evacuated) {
      endpoint.cold_period.OnReport(m_clock->Now(), kAssumedColdTime);
      UpdateColdLimit(&endpoint);
    }
  }
}

EndpointDirectory::ZoneLoad EndpointDirectory::LoadOfZone(const std::string& zone) const {
  ZoneLoad load;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint.entry.zone == zone) {
      ++load.endpoints;
      load.in_flight += endpoint.in_flight;
    }
  }
  return load;
}

bool EndpointDirectory::IsEvacuated(const std::string& service) const {
  bool has_evacuated = false;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint.entry.service == service && endpoint.takes_work()) {
      return false;
    }
    has_evacuated = has_evacuated || (endpoint.entry.service == service && endpoint.evacuated);
  }
  return has_evacuated;
}

int EndpointDirectory::cold_count() const {
  return static_cast<int>(
      std::count_if(m_endpoints.begin(), m_endpoints.end(), [](const auto& entry) { return entry.second.is_cold(); }));
}

void EndpointDirectory::OnModelVersion(const std::string& id, const std::string& model, int64_t version) {
  if (DirectoryEndpoint* endpoint = FindMutable(id)) {
    int64_t& known = endpoint->entry.model_versions[model];
    known = std::max(known, version);
  }
}

}  // namespace quetzalridge
