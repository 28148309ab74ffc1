#include "coordination/weight_rollout.h"

#include <algorithm>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

// The lease holder reads the version of each service once a second. The wait for the poll is part of the 19 s within
// which a roll-out must finish.
constexpr Duration kPollInterval = Duration::Seconds(1);

}  // namespace

WeightRollout::WeightRollout(WeightRolloutContext context, std::string service, WeightRolloutPlanOptions options)
    : m_context(context), m_service(std::move(service)), m_plan(options) {}

WeightRollout::~WeightRollout() = default;

void WeightRollout::Start(int64_t epoch, const std::string& holder, std::function<bool()> may_act) {
  m_epoch = epoch;
  m_holder = holder;
  m_may_act = std::move(may_act);
  Poll();
  SendNextWave();
}

void WeightRollout::Stop() {
  m_poll_timer.reset();
  m_wave_timer.reset();
  m_may_act = [] { return false; };
}

void WeightRollout::OnAcquired(const Lease* lease) {
  Start(lease->epoch(), lease->holder(),
        [lease, scheduler = m_context.scheduler] { return lease->MayStartRequest(scheduler->clock().Now()); });
}

void WeightRollout::OnLost() {
  Stop();
}

// If the version cannot be read, the last target stays in force.
void WeightRollout::Poll() {
  m_poll_timer = m_context.scheduler->After(kPollInterval, [this] { Poll(); });
  m_context.platform->LatestWeightVersion(m_service, m_guard.Wrap([this](const WeightVersionResult& result) {
    if (result.ok && result.version > m_plan.target()) {
      Log(LogEvent::kWeightRolloutStarted, m_service + " version " + std::to_string(result.version));
      m_plan.SetTarget(result.version);
    }
  }));
}

void WeightRollout::SendNextWave() {
  m_wave_timer = m_context.scheduler->After(WeightRolloutPlan::kWaveInterval, [this] { SendNextWave(); });
  m_plan.SetEndpoints(Replicas());
  for (const std::string& endpoint : m_plan.NextWave(m_context.scheduler->clock().Now())) {
    SendLoadCommand(endpoint);
  }
}

std::vector<EndpointState> WeightRollout::Replicas() const {
  std::vector<EndpointState> replicas;
  for (const EndpointState& endpoint : m_context.endpoints->endpoints()) {
    if (endpoint.service == m_service) {
      replicas.push_back(endpoint);
    }
  }
  return replicas;
}

void WeightRollout::SendLoadCommand(const std::string& endpoint) {
  const auto& endpoints = m_context.endpoints->endpoints();
  const auto it = std::find_if(endpoints.begin(), endpoints.end(),
                               [&](const EndpointState& state) { return state.id == endpoint; });
  const LoadWeightsCommand command{endpoint, it->address, m_plan.target(), m_epoch, m_holder};
  ++m_pending_commands;
  // The result of a command that was sent under an earlier lease is processed too, because it still tells the state of
  // the endpoint.
  m_context.engines->LoadWeights(command, m_may_act,
                                 m_guard.Wrap([this, endpoint, version = command.version](LoadWeightsOutcome outcome) {
                                   OnOutcome(endpoint, version, outcome);
                                 }));
}

void WeightRollout::OnOutcome(const std::string& endpoint, int64_t version, LoadWeightsOutcome outcome) {
  const TimePoint now = m_context.scheduler->clock().Now();
  --m_pending_commands;
  switch (outcome) {
    case LoadWeightsOutcome::kDone:
      m_plan.OnSwapped(endpoint, version, now);
      if (m_plan.TakeRestored(endpoint)) {
        m_context.endpoints->SetAside(endpoint, false);
      }
      return;
    // A stale epoch or version means that the engine has seen a newer command. The next load report of the endpoint
    // shows the effect of that command.
    case LoadWeightsOutcome::kStale:
    case LoadWeightsOutcome::kNotSent:
      m_plan.OnNotSent(endpoint, now);
      return;
    case LoadWeightsOutcome::kFailed:
    case LoadWeightsOutcome::kUnknown:
      if (m_plan.OnFailed(endpoint, now)) {
        Log(LogEvent::kWeightSwapSetAside, endpoint + " version " + std::to_string(version));
        m_context.endpoints->SetAside(endpoint, true);
      }
      return;
  }
}

}  // namespace quetzalridge
