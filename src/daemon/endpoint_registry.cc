#include "daemon/endpoint_registry.h"

#include <algorithm>

#include "coordination/peer_message.h"

namespace quetzalridge {

namespace {

// Start times of calls are dropped after this time, since no load report describes the state of an engine that long
// ago.
constexpr Duration kMaxReportAge = Duration::Seconds(60);
constexpr int kMaxPendingListRequests = 6;
// A single failed poll can be caused by a lost packet or by an engine that is busy for a moment.
constexpr int kFailedPollsToUnreachable = 2;

bool IsUnreachable(const EndpointState& endpoint) {
  return endpoint.failed_polls >= kFailedPollsToUnreachable;
}

EndpointState FromConfig(const std::string& id, const EndpointConfig& config) {
  EndpointState state;
  state.id = id;
  state.service = config.service;
  state.address = config.address;
  state.zone = config.zone;
  state.cheap = config.cheap;
  state.checks_fencing = config.checks_fencing;
  return state;
}

EndpointState FromPlatform(const PlatformInstance& instance, const ConfigDocument& document) {
  EndpointState state;
  state.id = instance.id;
  state.service = instance.service;
  state.address = instance.address;
  state.zone = instance.zone;
  state.cheap = instance.kind == EndpointKind::kCheap;
  const auto zone = document.zones().find(instance.zone);
  state.checks_fencing = zone == document.zones().end() || zone->second.checks_fencing;
  return state;
}

}  // namespace

EndpointRegistry::EndpointRegistry(Scheduler* scheduler, ConfigView* config, Platform* platform, EngineClient* engines,
                                   Router* router, EndpointRegistryOptions options)
    : m_scheduler(scheduler),
      m_config(config),
      m_platform(platform),
      m_engines(engines),
      m_router(router),
      m_options(options) {
  m_config->AddListener([this, alive = m_alive](const ConfigChange&) {
    if (*alive) {
      Refresh();
    }
  });
  Refresh();
}

EndpointRegistry::~EndpointRegistry() {
  *m_alive = false;
}

void EndpointRegistry::Start() {
  PollList();
  PollEndpoints();
}

void EndpointRegistry::SetAside(const std::string& endpoint_id, bool set_aside) {
  EndpointState* endpoint = FindMutable(endpoint_id);
  if (endpoint != nullptr) {
    endpoint->set_aside = set_aside;
  }
}

std::vector<EndpointState> EndpointRegistry::Available(const std::string& service, uint64_t owner) const {
  std::vector<EndpointState> available;
  const bool any_reachable = IsAnyReachable(service);
  for (const EndpointState& endpoint : m_endpoints) {
    if (endpoint.service == service && !(any_reachable && IsUnreachable(endpoint)) && IsUsable(endpoint, owner)) {
      available.push_back(endpoint);
    }
  }
  return available;
}

// If no endpoint of a service responds to polls, the polls themselves may be the fault. Then their failures are
// ignored.
bool EndpointRegistry::IsAnyReachable(const std::string& service) const {
  return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const EndpointState& endpoint) {
    return endpoint.service == service && !endpoint.leaving && !IsUnreachable(endpoint);
  });
}

bool EndpointRegistry::IsUsable(const EndpointState& endpoint, uint64_t owner) const {
  const Record& record = m_records.at(endpoint.id);
  return !endpoint.leaving && !endpoint.set_aside && (record.reserved_by == 0 || record.reserved_by == owner) &&
         record.breaker.Allows(m_scheduler->clock().Now());
}

int EndpointRegistry::Capacity(const std::string& service) const {
  int capacity = 0;
  const bool any_reachable = IsAnyReachable(service);
  for (const EndpointState& endpoint : m_endpoints) {
    if (endpoint.service == service && !endpoint.leaving && !endpoint.set_aside &&
        !(any_reachable && IsUnreachable(endpoint)) && !m_records.at(endpoint.id).breaker.open()) {
      capacity += endpoint.slots;
    }
  }
  return capacity;
}

const EndpointState* EndpointRegistry::Find(const std::string& endpoint_id) const {
  for (const EndpointState& endpoint : m_endpoints) {
    if (endpoint.id == endpoint_id) {
      return &endpoint;
    }
  }
  return nullptr;
}

EndpointState* EndpointRegistry::FindMutable(const std::string& endpoint_id) {
  for (EndpointState& endpoint : m_endpoints) {
    if (endpoint.id == endpoint_id) {
      return &endpoint;
    }
  }
  return nullptr;
}

bool EndpointRegistry::IsAnyReserved(const std::string& service) const {
  return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const EndpointState& endpoint) {
    const uint64_t owner = m_records.at(endpoint.id).reserved_by;
    return endpoint.service == service && owner != 0 && IsUsable(endpoint, owner);
  });
}

void EndpointRegistry::Reserve(const std::string& endpoint_id, uint64_t owner) {
  const auto it = m_records.find(endpoint_id);
  if (it != m_records.end()) {
    it->second.reserved_by = owner;
  }
}

void EndpointRegistry::Release(uint64_t owner) {
  for (auto& [id, record] : m_records) {
    if (record.reserved_by == owner) {
      record.reserved_by = 0;
    }
  }
}

bool EndpointRegistry::OnCallStarted(const std::string& endpoint_id) {
  EndpointState* endpoint = FindMutable(endpoint_id);
  if (endpoint == nullptr) {
    return false;
  }
  const TimePoint now = m_scheduler->clock().Now();
  ++endpoint->own_in_flight;
  ++endpoint->own_since_report;
  Record& record = m_records.at(endpoint_id);
  record.recent_starts.push_back(now);
  while (record.recent_starts.front() + kMaxReportAge < now) {
    record.recent_starts.pop_front();
  }
  NotifyCountsChanged();
  return record.breaker.OnStart(now);
}

void EndpointRegistry::OnCallEnded(const std::string& endpoint_id, CallEffect effect, bool is_breaker_trial) {
  EndpointState* endpoint = FindMutable(endpoint_id);
  if (endpoint == nullptr) {
    return;
  }
  endpoint->own_in_flight = std::max(endpoint->own_in_flight - 1, 0);
  endpoint->own_since_report = std::min(endpoint->own_since_report, endpoint->own_in_flight);
  NotifyCountsChanged();
  CircuitBreaker& breaker = m_records.at(endpoint_id).breaker;
  switch (effect) {
    case CallEffect::kSuccess:
      breaker.OnSuccess(is_breaker_trial);
      break;
    case CallEffect::kFailure:
      breaker.OnFailure(is_breaker_trial, m_scheduler->clock().Now());
      break;
    case CallEffect::kNone:
      breaker.OnInconclusive(is_breaker_trial);
      break;
  }
}

void EndpointRegistry::ChangeAwaitingFirstToken(const std::string& endpoint_id, int change) {
  EndpointState* endpoint = FindMutable(endpoint_id);
  if (endpoint == nullptr) {
    return;
  }
  Record& record = m_records.at(endpoint_id);
  record.own_awaiting_first_token = std::max(record.own_awaiting_first_token + change, 0);
  endpoint->awaiting_first_token = record.own_awaiting_first_token + record.peer_awaiting_first_token;
  NotifyCountsChanged();
}

void EndpointRegistry::NotifyCountsChanged() {
  if (m_counts_changed_callback) {
    m_counts_changed_callback();
  }
}

// Sorted because a datagram may be too small for all counts, and the counts of the most loaded endpoints matter most.
std::vector<EndpointCount> EndpointRegistry::OwnCounts() const {
  std::vector<EndpointCount> counts;
  for (const EndpointState& endpoint : m_endpoints) {
    if (endpoint.own_in_flight > 0) {
      const int awaiting_first_token =
          std::min(m_records.at(endpoint.id).own_awaiting_first_token, endpoint.own_in_flight);
      counts.push_back({PeerNameHash(endpoint.id), endpoint.own_in_flight, awaiting_first_token});
    }
  }
  std::stable_sort(counts.begin(), counts.end(),
                   [](const EndpointCount& a, const EndpointCount& b) { return a.in_flight > b.in_flight; });
  return counts;
}

void EndpointRegistry::ApplyPeerCounts(const std::function<EndpointCount(uint32_t endpoint_hash)>& sum,
                                       bool all_counted) {
  for (EndpointState& endpoint : m_endpoints) {
    const EndpointCount peers = sum(PeerNameHash(endpoint.id));
    Record& record = m_records.at(endpoint.id);
    record.peer_awaiting_first_token = peers.awaiting_first_token;
    endpoint.peer_in_flight = peers.in_flight;
    endpoint.all_peers_counted = all_counted;
    endpoint.awaiting_first_token = record.own_awaiting_first_token + peers.awaiting_first_token;
  }
}

// An endpoint whose address is in both sources is returned once, under its id from the configuration. It is marked as
// leaving if the platform's list says so.
std::map<std::string, EndpointState> EndpointRegistry::MergeSources() const {
  const ConfigDocument& document = m_config->document();
  std::map<std::string, EndpointState> merged;
  std::map<std::string, std::string> id_by_address;
  for (const auto& [id, config] : document.endpoints()) {
    merged[id] = FromConfig(id, config);
    id_by_address[config.address] = id;
  }
  for (const PlatformInstance& instance : m_platform_instances) {
    if (instance.role != PlatformRole::kEndpoint || document.services().count(instance.service) == 0) {
      continue;
    }
    const auto [it, inserted] = id_by_address.emplace(instance.address, instance.id);
    if (inserted) {
      merged[it->second] = FromPlatform(instance, document);
    }
    merged[it->second].leaving |=
        m_options.mechanisms.leaving_endpoint_exclusion && instance.state == LifecycleState::kLeaving;
  }
  for (auto& [id, state] : merged) {
    const auto service = document.services().find(state.service);
    state.slots = service == document.services().end() ? state.slots : service->second.slots_per_replica;
  }
  return merged;
}

void EndpointRegistry::Refresh() {
  std::map<std::string, EndpointState> merged = MergeSources();
  std::vector<EndpointState> endpoints;
  for (auto& [id, state] : merged) {
    const EndpointState* existing = Find(id);
    if (existing != nullptr && existing->address == state.address && existing->service == state.service) {
      EndpointState updated = *existing;
      updated.zone = state.zone;
      updated.cheap = state.cheap;
      updated.checks_fencing = state.checks_fencing;
      updated.leaving = state.leaving;
      updated.slots = state.slots;
      endpoints.push_back(updated);
      continue;
    }
    m_records.erase(id);
    const auto service = m_config->document().services().find(state.service);
    m_records[id].is_polled =
        service == m_config->document().services().end() || service->second.kind == ServiceKind::kInference;
    state.first_seen = m_scheduler->clock().Now();
    endpoints.push_back(state);
  }
  for (auto it = m_records.begin(); it != m_records.end();) {
    if (merged.count(it->first) == 0) {
      m_router->OnCacheEventsLost(it->first);
      it = m_records.erase(it);
    } else {
      ++it;
    }
  }
  m_endpoints = std::move(endpoints);
}

// The next poll does not wait for the response to this one. New work must stop within 3 s after an endpoint starts to
// leave, but a response can take up to the platform's request timeout of 5 s.
void EndpointRegistry::PollList() {
  m_list_timer = m_scheduler->After(m_options.list_poll_interval, [this] { PollList(); });
  if (m_pending_list_requests >= kMaxPendingListRequests) {
    return;
  }
  ++m_pending_list_requests;
  m_platform->ListInstances([this, alive = m_alive](const InstanceListResult& result) {
    if (*alive) {
      --m_pending_list_requests;
      OnList(result);
    }
  });
}

// The responses can come from replicas of the list service that are not equally up to date. A list that is older than
// the last one is ignored, because it could show leaving endpoints as live again.
void EndpointRegistry::OnList(const InstanceListResult& result) {
  if (!result.ok || result.revision < m_list_revision) {
    return;
  }
  // Most polls return the list that is already known. It is skipped, because the time of a refresh grows with the
  // number of endpoints.
  if (result.revision > m_list_revision) {
    m_list_revision = result.revision;
    m_platform_instances = result.instances;
    Refresh();
  }
  if (m_list_receiver) {
    m_list_receiver(result);
  }
}

void EndpointRegistry::PollEndpoints() {
  std::vector<std::string> ids;
  for (const EndpointState& endpoint : m_endpoints) {
    ids.push_back(endpoint.id);
  }
  for (const std::string& id : ids) {
    PollEndpoint(id);
  }
  m_load_timer = m_scheduler->After(m_options.load_poll_interval, [this] { PollEndpoints(); });
}

void EndpointRegistry::PollEndpoint(const std::string& endpoint_id) {
  const EndpointState* endpoint = Find(endpoint_id);
  const auto record = m_records.find(endpoint_id);
  if (endpoint == nullptr || record == m_records.end() || !record->second.is_polled) {
    return;
  }
  const std::string address = endpoint->address;
  if (!record->second.load_poll_pending) {
    record->second.load_poll_pending = true;
    m_engines->PollLoad(address, [this, endpoint_id, alive = m_alive](const std::optional<EngineLoad>& load) {
      if (*alive) {
        OnLoad(endpoint_id, load);
      }
    });
  }
  if (!record->second.cache_poll_pending) {
    record->second.cache_poll_pending = true;
    m_engines->PollCacheEvents(address, record->second.next_cache_event,
                               [this, endpoint_id, alive = m_alive](const std::optional<CacheEventBatch>& batch) {
                                 if (*alive) {
                                   OnCacheEvents(endpoint_id, batch);
                                 }
                               });
  }
}

void EndpointRegistry::OnLoad(const std::string& endpoint_id, const std::optional<EngineLoad>& load) {
  EndpointState* endpoint = FindMutable(endpoint_id);
  if (endpoint == nullptr) {
    return;
  }
  Record& record = m_records.at(endpoint_id);
  record.load_poll_pending = false;
  if (!load.has_value()) {
    ++endpoint->failed_polls;
    return;
  }
  endpoint->failed_polls = 0;
  const TimePoint described_at = m_scheduler->clock().Now() - Duration::Milliseconds(load->age_ms);
  endpoint->reported_running = load->running;
  endpoint->reported_queued = load->queued;
  endpoint->reported_at = described_at;
  endpoint->weight_version = load->weight_version;
  while (!record.recent_starts.empty() && record.recent_starts.front() <= described_at) {
    record.recent_starts.pop_front();
  }
  endpoint->own_since_report = std::min(static_cast<int>(record.recent_starts.size()), endpoint->own_in_flight);
}

void EndpointRegistry::OnCacheEvents(const std::string& endpoint_id, const std::optional<CacheEventBatch>& batch) {
  const auto it = m_records.find(endpoint_id);
  if (it == m_records.end()) {
    return;
  }
  Record& record = it->second;
  record.cache_poll_pending = false;
  if (!batch.has_value()) {
    return;
  }
  // A restarted engine counts its events from the beginning, so its next event is before the expected one. An engine
  // that has dropped old events starts after the expected event.
  if (batch->oldest_sequence > record.next_cache_event || batch->next_sequence < record.next_cache_event) {
    m_router->OnCacheEventsLost(endpoint_id);
  }
  int64_t expected = std::max(batch->oldest_sequence, record.next_cache_event);
  for (const CacheEvent& event : batch->events) {
    if (event.sequence > expected) {
      m_router->OnCacheEventsLost(endpoint_id);
    }
    expected = event.sequence + 1;
    if (event.stored) {
      m_router->OnCacheStored(endpoint_id, event.prefix_hash);
    } else {
      m_router->OnCacheEvicted(endpoint_id, event.prefix_hash);
    }
  }
  record.next_cache_event = batch->next_sequence;
}

}  // namespace quetzalridge
