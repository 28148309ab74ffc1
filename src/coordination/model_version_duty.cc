#include "coordination/model_version_duty.h"

#include <utility>
#include <vector>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

constexpr Duration kPollInterval = Duration::Milliseconds(60);
// A load takes about a second, and longer when many endpoints load at once. After this time the order counts as lost.
constexpr Duration kLoadTimeout = Duration::Seconds(6);
// A load takes 0.9 s in the users' deployments. The registry shows it up to 1.6 s later, and training steps wait for
// it, so the engine is queried directly from this time on.
constexpr Duration kMinLoadTime = Duration::Milliseconds(880);
constexpr Duration kEngineQueryInterval = Duration::Milliseconds(60);
// An order takes two requests, which the pace of cold endpoints leaves room for once a second.
constexpr Duration kMinColdOrderInterval = Duration::Seconds(3);
// Time after which a failed order is sent again.
constexpr Duration kFailedLoadRetryDelay = Duration::Milliseconds(500);

std::string_view OutcomeName(ModelOrderOutcome outcome) {
  switch (outcome) {
    case ModelOrderOutcome::kAccepted:
      return "accepted";
    case ModelOrderOutcome::kConflict:
      return "conflict";
    case ModelOrderOutcome::kStale:
      return "stale";
    case ModelOrderOutcome::kRefused:
      return "refused";
    case ModelOrderOutcome::kNotSent:
      return "not_sent";
    case ModelOrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

ModelVersionDuty::ModelVersionDuty(ModelVersionContext context, Duration request_timeout)
    : m_context(std::move(context)),
      m_gate(std::make_shared<RequestGate>(&m_context.scheduler->clock(), request_timeout)) {}

void ModelVersionDuty::OnAcquired(const Lease* lease) {
  m_lease = lease;
  m_pending_loads.clear();
  m_gate->Open(lease);
  Poll();
}

void ModelVersionDuty::OnLost() {
  m_lease = nullptr;
  m_gate->Close();
  m_timer.reset();
}

void ModelVersionDuty::Stop() {
  OnLost();
}

void ModelVersionDuty::Poll() {
  m_timer = m_context.scheduler->After(kPollInterval, [this] { Poll(); });
  RemoveFinishedLoads();
  QueryLoadingEngines();
  for (const BackendService& service : m_context.routes->config().services) {
    if (!service.models.empty()) {
      PlanService(service);
    }
  }
}

void ModelVersionDuty::RemoveFinishedLoads() {
  for (auto it = m_pending_loads.begin(); it != m_pending_loads.end();) {
    const DirectoryEndpoint* endpoint = m_context.endpoints->Find(it->first);
    bool is_loaded = endpoint == nullptr;
    if (endpoint != nullptr) {
      const auto version = endpoint->entry.model_versions.find(it->second.model);
      is_loaded = version != endpoint->entry.model_versions.end() && version->second >= it->second.version;
    }
    it = is_loaded || Now() - it->second.started_at >= kLoadTimeout ? m_pending_loads.erase(it) : std::next(it);
  }
}

void ModelVersionDuty::QueryLoadingEngines() {
  for (auto& [id, pending_load] : m_pending_loads) {
    const DirectoryEndpoint* endpoint = m_context.endpoints->Find(id);
    const bool due =
        Now() - pending_load.started_at >= kMinLoadTime && Now() - pending_load.queried_at >= kEngineQueryInterval;
    // The registry entry shows the end of the load, too, and costs the endpoint no request.
    if (endpoint == nullptr || !endpoint->may_probe() || !pending_load.accepted || pending_load.query_in_flight ||
        !due) {
      continue;
    }
    pending_load.query_in_flight = true;
    pending_load.queried_at = Now();
    m_context.orders->ReadState(id, endpoint->entry.address, m_guard.Wrap([this, id = id](const EngineState& state) {
      const auto pending = m_pending_loads.find(id);
      if (pending == m_pending_loads.end()) {
        return;
      }
      pending->second.query_in_flight = false;
      const std::string model = pending->second.model;
      const auto version = state.versions.find(model);
      if (!state.ok || version == state.versions.end() || version->second < pending->second.version) {
        return;
      }
      Log(LogEvent::kModelOrderAnswered, {{"endpoint", id},
                                          {"model", model},
                                          {"version", std::to_string(version->second)},
                                          {"outcome", "loaded"},
                                          {"after_ms", std::to_string((Now() - pending->second.started_at).ms())},
                                          {"loading", std::to_string(m_pending_loads.size())}});
      m_context.endpoints->OnModelVersion(id, model, version->second);
      m_context.notify_loaded(id, model, version->second);
      // A finished load lets the next one start. The lease may have expired while the query was in flight.
      if (m_lease != nullptr) {
        m_timer = m_context.scheduler->After(Duration(), [this] { Poll(); });
      }
    }));
  }
}

void ModelVersionDuty::PlanService(const BackendService& service) {
  std::vector<ModelTarget> targets;
  bool has_named_version = false;
  for (const std::string& model : service.models) {
    ModelTarget target;
    target.model = model;
    target.newest_version = m_context.newest_version(model);
    target.version_lag = m_context.version_lag(model);
    has_named_version = has_named_version || target.newest_version > 0;
    targets.push_back(target);
  }
  if (!has_named_version) {
    return;
  }
  std::vector<PlacementEndpoint> endpoints;
  for (const auto& [id, endpoint] : m_context.endpoints->endpoints()) {
    if (endpoint.entry.service != service.name || !endpoint.takes_work()) {
      continue;
    }
    const auto pending_load = m_pending_loads.find(id);
    endpoints.push_back({id, endpoint.entry.zone, endpoint.entry.model_versions,
                         pending_load == m_pending_loads.end() ? "" : pending_load->second.model});
  }
  const std::map<std::string, std::string> assignment = AssignModels(endpoints, targets);
  const int max_endpoints =
      service.scaling.has_value() ? service.scaling->max * static_cast<int>(service.scaling->zone_prices.size()) : 0;
  const int max_concurrent_loads = MaxConcurrentLoads(static_cast<int>(endpoints.size()), max_endpoints);
  for (const ModelLoad& load : PlanLoads(endpoints, assignment, targets, max_concurrent_loads)) {
    StartLoad(load);
  }
}

// Reads the engine's state first to get the number of orders that it has accepted. With that number in the order, the
// engine refuses an order that arrives late.
void ModelVersionDuty::StartLoad(const ModelLoad& load) {
  const DirectoryEndpoint* endpoint = m_context.endpoints->Find(load.endpoint);
  if (endpoint->is_cold()) {
    const auto [ordered_at, is_first] = m_cold_ordered_at.try_emplace(load.endpoint, Now());
    if (!is_first && Now() - ordered_at->second < kMinColdOrderInterval) {
      return;
    }
    ordered_at->second = Now();
  } else {
    m_cold_ordered_at.erase(load.endpoint);
  }
  m_pending_loads[load.endpoint] = {load.model, load.version, Now()};
  ++m_orders_in_flight;
  m_context.orders->ReadState(load.endpoint, endpoint->entry.address,
                              m_guard.Wrap([this, load, fence = m_lease->epoch()](const EngineState& state) {
                                OnEngineState(load, fence, state);
                              }));
}

void ModelVersionDuty::OnEngineState(const ModelLoad& load, int64_t fence, const EngineState& state) {
  const DirectoryEndpoint* endpoint = m_context.endpoints->Find(load.endpoint);
  for (const auto& [model, version] : state.versions) {
    m_context.endpoints->OnModelVersion(load.endpoint, model, version);
  }
  const auto version = state.versions.find(load.model);
  const bool is_loaded = version != state.versions.end() && version->second >= load.version;
  if (endpoint == nullptr || endpoint->evacuated || m_lease == nullptr || !state.ok || state.is_busy || is_loaded) {
    OnLoadOutcome(load, is_loaded ? ModelOrderOutcome::kAccepted : ModelOrderOutcome::kNotSent);
    return;
  }
  ModelOrder order;
  order.endpoint_id = load.endpoint;
  order.address = endpoint->entry.address;
  order.model = load.model;
  order.version = load.version;
  order.holder = m_lease->holder();
  order.fence = fence;
  order.expected_order_count = state.order_count;
  Log(LogEvent::kModelOrderSent,
      {{"endpoint", load.endpoint},
       {"model", load.model},
       {"version", std::to_string(load.version)},
       {"held_version", std::to_string(version == state.versions.end() ? 0 : version->second)},
       {"fence", std::to_string(fence)},
       {"order_count", std::to_string(state.order_count)}});
  m_context.orders->Load(
      order, [gate = m_gate, fence] { return gate->MayWrite(fence); },
      m_guard.Wrap([this, load](ModelOrderOutcome outcome) {
        if (outcome != ModelOrderOutcome::kUnknown && outcome != ModelOrderOutcome::kNotSent) {
          m_gate->OnAnswered();
        }
        OnLoadOutcome(load, outcome);
      }));
}

void ModelVersionDuty::OnLoadOutcome(const ModelLoad& load, ModelOrderOutcome outcome) {
  --m_orders_in_flight;
  Log(LogEvent::kModelOrderAnswered, {{"endpoint", load.endpoint},
                                      {"model", load.model},
                                      {"version", std::to_string(load.version)},
                                      {"outcome", std::string(OutcomeName(outcome))}});
  const auto pending_load = m_pending_loads.find(load.endpoint);
  if (pending_load == m_pending_loads.end()) {
    return;
  }
  if (outcome == ModelOrderOutcome::kAccepted || outcome == ModelOrderOutcome::kUnknown) {
    pending_load->second.accepted = true;
    return;
  }
  // The order counts as pending until it is due to be sent again.
  pending_load->second.started_at = Now() - kLoadTimeout + kFailedLoadRetryDelay;
}

}  // namespace quetzalridge
