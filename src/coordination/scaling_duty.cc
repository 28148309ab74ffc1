#include "coordination/scaling_duty.h"

#include <algorithm>
#include <vector>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

constexpr Duration kPollInterval = Duration::Milliseconds(500);
// Time after which an order that produced no endpoints is repeated. Endpoints take some seconds to start, and the
// platform may have none available.
constexpr Duration kRepeatOrderInterval = Duration::Seconds(8);

std::string_view OutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kStale:
      return "stale";
    case OrderOutcome::kNoneAvailable:
      return "none_available";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

ScalingDuty::ScalingDuty(ScalingContext context, Duration request_timeout)
    : PlatformDuty(context.scheduler, kPollInterval, request_timeout), m_context(std::move(context)) {}

// An order sets the number of endpoints in a zone. An order computed before the registry was read completely would
// therefore remove running endpoints.
void ScalingDuty::BeginStep() {
  if (!m_context.endpoints->complete()) {
    EndStep();
    return;
  }
  for (const BackendService& service : m_context.routes->config().services) {
    if (service.scaling.has_value() && service.engine_slots > 0 && ScaleService(service)) {
      return;
    }
  }
  EndStep();
}

// Returns true if an order was sent.
bool ScalingDuty::ScaleService(const BackendService& service) {
  std::map<std::string, ScalingZone> zones;
  for (const auto& [name, price] : service.scaling->zone_prices) {
    // An order sets the number of endpoints in the zone. None is sent while the zone is evacuated, so that its
    // endpoints are there when it is in use again.
    if (m_context.endpoints->evacuated_zones().count(name) == 0) {
      zones[name] = {name, price, service.scaling->min, service.scaling->max, 0};
    }
  }
  for (const auto& [id, endpoint] : m_context.endpoints->endpoints()) {
    const auto zone = zones.find(endpoint.entry.zone);
    const bool counts = endpoint.entry.service == service.name && endpoint.takes_work();
    if (counts && zone != zones.end()) {
      ++zone->second.endpoint_count;
    }
  }
  std::vector<ScalingZone> zone_list;
  zone_list.reserve(zones.size());
  for (const auto& [name, zone] : zones) {
    zone_list.push_back(zone);
  }
  const int slots_needed = m_context.slots_needed(service.models);
  for (const auto& [zone, target] : PlanScaling(zone_list, slots_needed, service.engine_slots)) {
    if (target > zones[zone].endpoint_count && ScaleZone(service, zone, target)) {
      return true;
    }
  }
  return false;
}

bool ScalingDuty::ScaleZone(const BackendService& service, const std::string& zone, int target) {
  const auto key = std::make_pair(service.name, zone);
  const auto last_order = m_last_orders.find(key);
  if (last_order != m_last_orders.end() && last_order->second.target >= target &&
      Now() - last_order->second.at < kRepeatOrderInterval) {
    return false;
  }
  m_last_orders[key] = {target, Now()};
  EndpointOrder order;
  order.service = service.name;
  order.zone = zone;
  order.target = target;
  order.fencing_token = lease()->epoch();
  order.holder = lease()->holder();
  m_context.orders->OrderEndpoints(
      order, [gate = gate(), epoch = order.fencing_token] { return gate->MayWrite(epoch); },
      m_guard.Wrap([this, order](const OrderResult& result) {
        Log(LogEvent::kEndpointsOrdered, {{"service", order.service},
                                          {"zone", order.zone},
                                          {"target", std::to_string(order.target)},
                                          {"fence", std::to_string(order.fencing_token)},
                                          {"outcome", std::string(OutcomeName(result.outcome))}});
        if (result.outcome != OrderOutcome::kUnknown) {
          gate()->OnAnswered();
        }
        EndStep();
      }));
  return true;
}

}  // namespace quetzalridge
