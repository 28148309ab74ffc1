#include "coordination/scaling_duty.h"

#include <algorithm>
#include <vector>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

constexpr Duration kPoll = Duration::Milliseconds(500);
// Until an order that brought no endpoints is repeated: they take some seconds to start, and none may be had.
constexpr Duration kRepeat = Duration::Seconds(8);

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
    : PlatformDuty(context.scheduler, kPoll, request_timeout), m_context(std::move(context)) {}

// An order replaces the number of endpoints in a zone, so one that is worked out without the registry would give
// running endpoints up.
void ScalingDuty::BeginStep() {
  if (!m_context.endpoints->complete()) {
    EndStep();
    return;
  }
  for (const BackendService& service : m_context.routes->config().services) {
    if (service.scaling.has_value() && service.engine_slots > 0 && OrderService(service)) {
      return;
    }
  }
  EndStep();
}

// True when an order is under way.
bool ScalingDuty::OrderService(const BackendService& service) {
  std::map<std::string, ScalingZone> zones;
  for (const auto& [name, price] : service.scaling->zone_prices) {
    zones[name] = {name, price, service.scaling->min, service.scaling->max, 0};
  }
  for (const auto& [id, endpoint] : m_context.endpoints->endpoints()) {
    const auto zone = zones.find(endpoint.entry.zone);
    const bool counts =
        endpoint.entry.service == service.name && !endpoint.missing && endpoint.entry.phase == EndpointPhase::kReady;
    if (counts && zone != zones.end()) {
      ++zone->second.present;
    }
  }
  std::vector<ScalingZone> present;
  present.reserve(zones.size());
  for (const auto& [name, zone] : zones) {
    present.push_back(zone);
  }
  const int places = m_context.places_needed(service.models);
  for (const auto& [zone, target] : PlanScaling(present, places, service.engine_slots)) {
    if (target > zones[zone].present && OrderZone(service, zone, target)) {
      return true;
    }
  }
  return false;
}

bool ScalingDuty::OrderZone(const BackendService& service, const std::string& zone, int target) {
  const auto key = std::make_pair(service.name, zone);
  const auto ordered = m_ordered.find(key);
  if (ordered != m_ordered.end() && ordered->second.target >= target && Now() - ordered->second.at < kRepeat) {
    return false;
  }
  m_ordered[key] = {target, Now()};
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
