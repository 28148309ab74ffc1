#include "coordination/order_duty.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

constexpr int kRowsPerScan = 128;
constexpr int kTransactionIdBytes = 8;
// Each intent has one order for each kind of endpoint.
constexpr int64_t kOrdersPerIntent = 2;

}  // namespace

OrderDuty::OrderDuty(TableStore* store, Scheduler* scheduler, Platform* platform, OrderTargetSource* target_source,
                     std::string zone, OrderDutyOptions options)
    : PlatformDuty(scheduler, options.poll_interval, options.request_timeout),
      m_store(store),
      m_platform(platform),
      m_target_source(target_source),
      m_zone(std::move(zone)),
      m_retrier(store, scheduler) {}

void OrderDuty::ResetState() {
  m_intents_known = false;
}

void OrderDuty::BeginStep() {
  if (m_intents_known) {
    ReadInstances();
    return;
  }
  m_services.clear();
  m_sequence = 0;
  ReadIntents("");
}

void OrderDuty::ReadIntents(const std::string& after) {
  m_store->Scan(OrderPrefix(m_zone), after, kRowsPerScan,
                m_guard.Wrap([this](const ReadResult& read) { OnIntents(read); }));
}

// Sequence numbers continue after those of earlier holders. What an earlier holder ordered last is ordered again or
// replaced, since it is not known whether its last orders arrived.
void OrderDuty::OnIntents(const ReadResult& read) {
  if (!read.ok || !IsActive()) {
    EndStep();
    return;
  }
  for (const TableRow& row : read.rows) {
    ServiceState service;
    service.intent = DecodeOrderIntent(row.value).value_or(OrderIntent{});
    service.row_version = row.version;
    m_sequence = std::max(m_sequence, service.intent.sequence + kOrdersPerIntent - 1);
    m_services[row.key.substr(OrderPrefix(m_zone).size())] = service;
  }
  if (static_cast<int>(read.rows.size()) == kRowsPerScan) {
    ReadIntents(read.rows.back().key);
    return;
  }
  m_intents_known = true;
  ReadInstances();
}

void OrderDuty::ReadInstances() {
  m_platform->ListInstances(m_guard.Wrap([this](const InstanceListResult& list) {
    if (!list.ok || !IsActive()) {
      EndStep();
      return;
    }
    QueueTargets(list.instances);
  }));
}

void OrderDuty::QueueTargets(const std::vector<PlatformInstance>& instances) {
  m_pending_targets.clear();
  for (const ServiceTarget& target : m_target_source->GetTargets(m_zone, instances, Now())) {
    m_pending_targets.push_back(target);
  }
  // A service that was removed from the configuration needs no endpoints.
  for (const auto& [name, service] : m_services) {
    const bool is_planned = std::any_of(m_pending_targets.begin(), m_pending_targets.end(),
                                        [&, &service_name = name](const auto& t) { return t.service == service_name; });
    if (!is_planned) {
      m_pending_targets.push_back({name, 0, 0});
    }
  }
  ProcessNextTarget();
}

void OrderDuty::ProcessNextTarget() {
  if (!IsActive()) {
    EndStep();
    return;
  }
  while (!m_pending_targets.empty()) {
    const ServiceTarget target = m_pending_targets.front();
    const ServiceState& service = m_services[target.service];
    const bool is_written =
        service.intent_written && service.intent.steady == target.steady && service.intent.cheap == target.cheap;
    if (!is_written) {
      WriteIntent(target);
      return;
    }
    if (!service.steady_accepted || !service.cheap_accepted) {
      SendOrder(target.service, service.steady_accepted ? EndpointKind::kCheap : EndpointKind::kSteady);
      return;
    }
    m_pending_targets.pop_front();
  }
  EndStep();
}

void OrderDuty::WriteIntent(const ServiceTarget& target) {
  OrderIntent intent;
  intent.steady = target.steady;
  intent.cheap = target.cheap;
  intent.sequence = m_sequence + 1;
  intent.fencing_token = lease()->epoch();
  intent.holder = lease()->holder();
  m_sequence += kOrdersPerIntent;
  const std::string key = OrderPrefix(m_zone) + target.service;
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{key, m_services[target.service].row_version}};
  transaction.writes = {{key, EncodeOrderIntent(intent)}};
  m_retrier.Transact(std::move(transaction), key,
                     [this, service = target.service, intent](const TransactResult& result) {
                       OnIntentWritten(service, intent, result);
                     });
}

void OrderDuty::OnIntentWritten(const std::string& service, const OrderIntent& intent, const TransactResult& result) {
  if (result.outcome != TransactOutcome::kCommitted) {
    // After a conflict, another process has written the row, and this process may no longer hold the lease. The intents
    // are then read again.
    m_intents_known = m_intents_known && result.outcome != TransactOutcome::kConflict;
    EndStep();
    return;
  }
  m_services[service] = {intent, result.revision, true, false, false};
  ProcessNextTarget();
}

void OrderDuty::SendOrder(const std::string& service, EndpointKind kind) {
  const bool is_cheap = kind == EndpointKind::kCheap;
  const OrderIntent& intent = m_services[service].intent;
  EndpointOrder order;
  order.zone = m_zone;
  order.service = service;
  order.kind = kind;
  order.target = is_cheap ? intent.cheap : intent.steady;
  order.sequence = intent.sequence + (is_cheap ? 1 : 0);
  order.fencing_token = intent.fencing_token;
  order.holder = intent.holder;
  m_platform->OrderEndpoints(
      order, [gate = gate(), epoch = order.fencing_token] { return gate->MayWrite(epoch); },
      m_guard.Wrap([this, service, kind](const OrderResult& result) { OnOrdered(service, kind, result); }));
}

// If the order was not accepted, the next step sends it again or replaces it. An order is sent only after the response
// to the previous one has arrived or its timeout has passed, so orders arrive in sequence.
void OrderDuty::OnOrdered(const std::string& service, EndpointKind kind, const OrderResult& result) {
  if (result.outcome != OrderOutcome::kUnknown) {
    gate()->OnAnswered();
  }
  switch (result.outcome) {
    case OrderOutcome::kAccepted:
      (kind == EndpointKind::kCheap ? m_services[service].cheap_accepted : m_services[service].steady_accepted) = true;
      ProcessNextTarget();
      return;
    case OrderOutcome::kStale:
      Log(LogEvent::kOrderStale, m_zone + "/" + service);
      m_intents_known = false;
      EndStep();
      return;
    case OrderOutcome::kNoneAvailable:
      Log(LogEvent::kNoEndpointsToOrder, m_zone + "/" + service);
      m_target_source->OnNoneAvailable(m_zone, service, kind, Now());
      // Continue with the other services of the zone.
      m_pending_targets.pop_front();
      ProcessNextTarget();
      return;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kUnknown:
      EndStep();
      return;
  }
}

}  // namespace quetzalridge
