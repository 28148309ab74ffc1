#include "state/weight_rollout_plan.h"

#include <algorithm>

namespace quetzalridge {

namespace {

constexpr int kMaxBackoffDoublings = 5;

}  // namespace

void WeightRolloutPlan::SetTarget(int64_t version) {
  if (version == m_target) {
    return;
  }
  m_target = version;
  for (auto& [id, replica] : m_replicas) {
    replica.attempts = 0;
    replica.next_attempt_at = TimePoint();
  }
}

void WeightRolloutPlan::SetEndpoints(const std::vector<EndpointState>& endpoints) {
  std::map<std::string, Replica> replicas;
  for (const EndpointState& endpoint : endpoints) {
    const auto known = m_replicas.find(endpoint.id);
    Replica& replica = replicas[endpoint.id];
    if (known != m_replicas.end()) {
      replica = known->second;
    }
    replica.reported_version = endpoint.weight_version;
    replica.reported_at = endpoint.reported_at;
    replica.leaving = endpoint.leaving;
  }
  m_replicas = std::move(replicas);
}

// A report that is newer than the swap takes precedence over the result of the swap, because the engine may have
// restarted with older weights.
bool WeightRolloutPlan::HasTarget(const Replica& replica) const {
  const bool report_covers_swap =
      replica.swapped_version == 0 || replica.reported_at > replica.swapped_at + m_options.report_lag;
  return (report_covers_swap ? replica.reported_version : replica.swapped_version) == m_target;
}

bool WeightRolloutPlan::IsDue(const Replica& replica, TimePoint now) const {
  return !replica.in_flight && !replica.leaving && !HasTarget(replica) && now >= replica.next_attempt_at;
}

// At least one replica may swap. With the default share, at least one replica continues to serve if there are two or
// more.
int WeightRolloutPlan::MaxInFlight() const {
  return std::max(1, static_cast<int>(static_cast<double>(m_replicas.size()) * m_options.max_share_at_once));
}

int WeightRolloutPlan::MaxSetAside() const {
  return static_cast<int>(static_cast<double>(m_replicas.size()) * m_options.max_share_set_aside);
}

// Unused budget is kept for one wave only, so that a pause is not followed by a burst that exceeds the limit.
void WeightRolloutPlan::RefillBudget(TimePoint now) {
  const double swaps_per_wave = m_options.max_swaps_per_second * static_cast<double>(kWaveInterval.ms()) / 1000.0;
  if (!m_budget_started) {
    m_budget_started = true;
    m_budget = std::max(1.0, swaps_per_wave);
    m_budget_refilled_at = now;
    return;
  }
  const double elapsed_s = static_cast<double>((now - m_budget_refilled_at).ms()) / 1000.0;
  m_budget = std::min(m_budget + elapsed_s * m_options.max_swaps_per_second, std::max(1.0, 2 * swaps_per_wave));
  m_budget_refilled_at = now;
}

std::vector<std::string> WeightRolloutPlan::NextWave(TimePoint now) {
  std::vector<std::string> wave;
  RefillBudget(now);
  if (m_target == 0) {
    return wave;
  }
  int running = in_flight();
  // Endpoints with failed attempts come last, so that a faulty endpoint does not delay the others.
  std::vector<std::pair<int, std::string>> due;
  for (const auto& [id, replica] : m_replicas) {
    if (IsDue(replica, now)) {
      due.emplace_back(replica.attempts, id);
    }
  }
  std::sort(due.begin(), due.end());
  for (const auto& [attempts, id] : due) {
    if (m_budget < 1.0 || running >= MaxInFlight()) {
      break;
    }
    m_budget -= 1.0;
    ++running;
    Replica& replica = m_replicas[id];
    replica.in_flight = true;
    replica.requested_version = m_target;
    wave.push_back(id);
  }
  return wave;
}

void WeightRolloutPlan::OnSwapped(const std::string& endpoint, int64_t version, TimePoint now) {
  const auto it = m_replicas.find(endpoint);
  if (it == m_replicas.end()) {
    return;
  }
  Replica& replica = it->second;
  replica.in_flight = false;
  replica.swapped_version = version;
  replica.swapped_at = now;
  replica.attempts = 0;
  if (replica.set_aside && version == m_target) {
    replica.set_aside = false;
    m_restored.insert(endpoint);
  }
}

bool WeightRolloutPlan::OnFailed(const std::string& endpoint, TimePoint now) {
  const auto it = m_replicas.find(endpoint);
  if (it == m_replicas.end()) {
    return false;
  }
  Replica& replica = it->second;
  replica.in_flight = false;
  if (replica.requested_version != m_target) {
    return false;
  }
  const int doublings = std::min(replica.attempts, kMaxBackoffDoublings);
  replica.next_attempt_at = now + m_options.retry_delay * (int64_t{1} << doublings);
  ++replica.attempts;
  if (replica.attempts < m_options.max_attempts || replica.set_aside) {
    return false;
  }
  const auto set_aside =
      std::count_if(m_replicas.begin(), m_replicas.end(), [](const auto& entry) { return entry.second.set_aside; });
  if (set_aside >= MaxSetAside()) {
    return false;
  }
  replica.set_aside = true;
  return true;
}

void WeightRolloutPlan::OnNotSent(const std::string& endpoint, TimePoint now) {
  const auto it = m_replicas.find(endpoint);
  if (it != m_replicas.end()) {
    it->second.in_flight = false;
    it->second.next_attempt_at = now + m_options.retry_delay;
  }
}

bool WeightRolloutPlan::TakeRestored(const std::string& endpoint) {
  return m_restored.erase(endpoint) > 0;
}

int WeightRolloutPlan::in_flight() const {
  return static_cast<int>(
      std::count_if(m_replicas.begin(), m_replicas.end(), [](const auto& entry) { return entry.second.in_flight; }));
}

int WeightRolloutPlan::swapped() const {
  return static_cast<int>(std::count_if(m_replicas.begin(), m_replicas.end(),
                                        [this](const auto& entry) { return HasTarget(entry.second); }));
}

bool WeightRolloutPlan::complete() const {
  return std::all_of(m_replicas.begin(), m_replicas.end(),
                     [this](const auto& entry) { return entry.second.leaving || HasTarget(entry.second); });
}

}  // namespace quetzalridge
