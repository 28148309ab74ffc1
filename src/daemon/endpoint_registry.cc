#include "daemon/endpoint_registry.h"

#include <algorithm>

#include "coordination/peer_message.h"

namespace quetzalridge {

namespace {

// A report describes the engine at most this long ago; older starts need not be kept.
constexpr Duration kLongestReportAge = Duration::Seconds(60);
constexpr int kMaxListsPending = 6;
// One failed poll may be a lost packet or a busy moment of the engine.
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

// When no endpoint answers polls, the fault may lie with the polls, so they are not believed then.
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
  while (record.recent_starts.front() + kLongestReportAge < now) {
    record.recent_starts.pop_front();
  }
  OnCountsChanged();
  return record.breaker.OnStart(now);
}

void EndpointRegistry::OnCallEnded(const std::string& endpoint_id, CallEffect effect, bool trial) {
  EndpointState* endpoint = FindMutable(endpoint_id);
  if (endpoint == nullptr) {
    return;
  }
  endpoint->own_in_flight = std::max(endpoint->own_in_flight - 1, 0);
  endpoint->own_since_report = std::min(endpoint->own_since_report, endpoint->own_in_flight);
  OnCountsChanged();
  CircuitBreaker& breaker = m_records.at(endpoint_id).breaker;
  switch (effect) {
    case CallEffect::kSuccess:
      breaker.OnSuccess(trial);
      break;
    case CallEffect::kFailure:
      breaker.OnFailure(trial, m_scheduler->clock().Now());
      break;
    case CallEffect::kNone:
      breaker.OnInconclusive(trial);
      break;
  }
}

void EndpointRegistry::ChangeStarting(const std::string& endpoint_id, int change) {
  EndpointState* endpoint = FindMutable(endpoint_id);
  if (endpoint == nullptr) {
    return;
  }
  Record& record = m_records.at(endpoint_id);
  record.own_starting = std::max(record.own_starting + change, 0);
  endpoint->awaiting_first_token = record.own_starting + record.peer_starting;
  OnCountsChanged();
}

void EndpointRegistry::OnCountsChanged() {
  if (m_counts_changed) {
    m_counts_changed();
  }
}

// A datagram may not have room for all; what is known of full endpoints matters most.
std::vector<EndpointCount> EndpointRegistry::OwnCounts() const {
  std::vector<EndpointCount> counts;
  for (const EndpointState& endpoint : m_endpoints) {
    if (endpoint.own_in_flight > 0) {
      const int starting = std::min(m_records.at(endpoint.id).own_starting, endpoint.own_in_flight);
      counts.push_back({PeerNameHash(endpoint.id), endpoint.own_in_flight, starting});
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
    record.peer_starting = peers.awaiting_first_token;
    endpoint.peer_in_flight = peers.in_flight;
    endpoint.all_peers_counted = all_counted;
    endpoint.awaiting_first_token = record.own_starting + peers.awaiting_first_token;
  }
}

// An endpoint that both sources name by one address is listed once, under the name of the configuration. It is leaving
// as soon as the platform says so.
std::map<std::string, EndpointState> EndpointRegistry::Wanted() const {
  const ConfigDocument& document = m_config->document();
  std::map<std::string, EndpointState> wanted;
  std::map<std::string, std::string> id_by_address;
  for (const auto& [id, config] : document.endpoints()) {
    wanted[id] = FromConfig(id, config);
    id_by_address[config.address] = id;
  }
  for (const PlatformInstance& instance : m_list) {
    if (instance.role != PlatformRole::kEndpoint || document.services().count(instance.service) == 0) {
      continue;
    }
    const auto [it, inserted] = id_by_address.emplace(instance.address, instance.id);
    if (inserted) {
      wanted[it->second] = FromPlatform(instance, document);
    }
    wanted[it->second].leaving |= m_options.mechanisms.leaving_mark && instance.state == LifecycleState::kLeaving;
  }
  for (auto& [id, state] : wanted) {
    const auto service = document.services().find(state.service);
    state.slots = service == document.services().end() ? state.slots : service->second.slots_per_replica;
  }
  return wanted;
}

void EndpointRegistry::Refresh() {
  std::map<std::string, EndpointState> wanted = Wanted();
  std::vector<EndpointState> endpoints;
  for (auto& [id, state] : wanted) {
    const EndpointState* present = Find(id);
    if (present != nullptr && present->address == state.address && present->service == state.service) {
      EndpointState kept = *present;
      kept.zone = state.zone;
      kept.cheap = state.cheap;
      kept.checks_fencing = state.checks_fencing;
      kept.leaving = state.leaving;
      kept.slots = state.slots;
      endpoints.push_back(kept);
      continue;
    }
    m_records.erase(id);
    const auto service = m_config->document().services().find(state.service);
    m_records[id].polls =
        service == m_config->document().services().end() || service->second.kind == ServiceKind::kInference;
    state.first_seen = m_scheduler->clock().Now();
    endpoints.push_back(state);
  }
  for (auto it = m_records.begin(); it != m_records.end();) {
    if (wanted.count(it->first) == 0) {
      m_router->OnCacheEventsLost(it->first);
      it = m_records.erase(it);
    } else {
      ++it;
    }
  }
  m_endpoints = std::move(endpoints);
}

// The next poll does not wait for a slow answer: an endpoint that is leaving may get new work for 3 s only, and an
// answer may take up to the platform's request timeout of 5 s.
void EndpointRegistry::PollList() {
  m_list_timer = m_scheduler->After(m_options.list_poll, [this] { PollList(); });
  if (m_lists_pending >= kMaxListsPending) {
    return;
  }
  ++m_lists_pending;
  m_platform->ListInstances([this, alive = m_alive](const InstanceListResult& result) {
    if (*alive) {
      --m_lists_pending;
      OnList(result);
    }
  });
}

// Answers of the list service can come from replicas of different age; an older one would bring back endpoints that
// are leaving.
void EndpointRegistry::OnList(const InstanceListResult& result) {
  if (!result.ok || result.revision < m_list_revision) {
    return;
  }
  // The time of a refresh grows with the endpoints, and most polls bring the list that is known.
  if (result.revision > m_list_revision) {
    m_list_revision = result.revision;
    m_list = result.instances;
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
  m_load_timer = m_scheduler->After(m_options.load_poll, [this] { PollEndpoints(); });
}

void EndpointRegistry::PollEndpoint(const std::string& endpoint_id) {
  const EndpointState* endpoint = Find(endpoint_id);
  const auto record = m_records.find(endpoint_id);
  if (endpoint == nullptr || record == m_records.end() || !record->second.polls) {
    return;
  }
  const std::string address = endpoint->address;
  if (!record->second.load_pending) {
    record->second.load_pending = true;
    m_engines->PollLoad(address, [this, endpoint_id, alive = m_alive](const std::optional<EngineLoad>& load) {
      if (*alive) {
        OnLoad(endpoint_id, load);
      }
    });
  }
  if (!record->second.cache_pending) {
    record->second.cache_pending = true;
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
  record.load_pending = false;
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
  record.cache_pending = false;
  if (!batch.has_value()) {
    return;
  }
  // A restarted engine counts from the beginning again, and one that dropped old events starts after ours.
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
