#include "state/endpoint_paths.h"

#include <algorithm>
#include <utility>

namespace quetzalridge {

namespace {

// Paths that have just failed may work again for a moment, so one response is not enough to return to them. These
// rounds probe seven endpoints; probing each of a thousand would cost a connection for each.
constexpr int kRoundsToRestore = 3;
// Time between two rounds of probes, after one that failed and after one that succeeded.
constexpr Duration kProbeInterval = Duration::Milliseconds(500);
constexpr Duration kNextRoundDelay = Duration::Milliseconds(50);
constexpr size_t kMaxRoundSize = 64;

}  // namespace

void EndpointPaths::OnContact(const std::string& endpoint) {
  m_last_contact = m_clock->Now();
  m_has_contact = true;
  m_contacts[endpoint] = m_last_contact;
}

bool EndpointPaths::HasContactSince(const std::string& endpoint, TimePoint since) const {
  const auto found = m_contacts.find(endpoint);
  return found != m_contacts.end() && found->second >= since;
}

bool EndpointPaths::HasAnyContactSince(TimePoint since) const {
  return m_has_contact && m_last_contact >= since;
}

std::vector<std::string> EndpointPaths::OnPathFailed(const std::string& endpoint, TimePoint failed_since,
                                                     const std::set<std::string>& endpoints) {
  if (HasContactSince(endpoint, failed_since) && IsDirect(endpoint)) {
    return {};
  }
  std::vector<std::string> lost;
  const auto add = [this, &lost](const std::string& id) {
    if (m_lost.emplace(id, LostPath()).second) {
      lost.push_back(id);
    }
  };
  if (m_lost.empty()) {
    m_round_size = 1;
    m_good_rounds = 0;
    m_first_success_at.reset();
    m_next_probes_at = m_clock->Now();
  }
  add(endpoint);
  if (!HasAnyContactSince(failed_since)) {
    m_isolated = true;
    m_first_success_at.reset();
    std::for_each(endpoints.begin(), endpoints.end(), add);
  }
  return lost;
}

void EndpointPaths::Retain(const std::set<std::string>& endpoints) {
  const auto forget = [&endpoints](auto* entries) {
    for (auto it = entries->begin(); it != entries->end();) {
      it = endpoints.count(it->first) == 0 ? entries->erase(it) : std::next(it);
    }
  };
  forget(&m_contacts);
  forget(&m_lost);
  if (m_lost.empty()) {
    m_isolated = false;
  }
  if (m_isolated) {
    // An endpoint that is new while no path works has none either.
    for (const std::string& endpoint : endpoints) {
      m_lost.emplace(endpoint, LostPath());
    }
  }
}

std::vector<std::string> EndpointPaths::BeginProbes() {
  if (!m_probing.empty() || m_lost.empty() || m_clock->Now() < m_next_probes_at) {
    return {};
  }
  std::vector<std::pair<TimePoint, std::string>> candidates;
  std::vector<std::pair<TimePoint, std::string>> failed_alone;
  for (const auto& [endpoint, path] : m_lost) {
    (FailedAlone(path) ? failed_alone : candidates).emplace_back(path.probed_at, endpoint);
  }
  // A path that stays lost must not keep the others from coming back.
  if (candidates.empty()) {
    candidates = std::move(failed_alone);
  }
  // Those that were probed longest ago come first.
  std::sort(candidates.begin(), candidates.end());
  candidates.resize(std::min(candidates.size(), m_round_size));
  std::vector<std::string> round;
  for (const auto& [probed_at, endpoint] : candidates) {
    m_lost[endpoint].probed_at = m_clock->Now();
    m_probing.insert(endpoint);
    round.push_back(endpoint);
  }
  m_round_failed = false;
  return round;
}

bool EndpointPaths::OnProbeResult(const std::string& endpoint, bool responded) {
  m_probing.erase(endpoint);
  m_round_failed = m_round_failed || !responded;
  const auto path = m_lost.find(endpoint);
  if (path != m_lost.end()) {
    path->second.failed_at = responded ? std::nullopt : std::optional<TimePoint>(m_clock->Now());
  }
  if (responded && !m_first_success_at.has_value()) {
    m_first_success_at = m_clock->Now();
  }
  return m_probing.empty() && EndRound();
}

bool EndpointPaths::FailedAlone(const LostPath& path) const {
  return path.failed_at.has_value() && m_first_success_at.has_value() && *path.failed_at >= *m_first_success_at;
}

bool EndpointPaths::EndRound() {
  m_good_rounds = m_round_failed ? 0 : m_good_rounds + 1;
  const bool restores = m_good_rounds >= kRoundsToRestore;
  if (restores) {
    m_good_rounds = 0;
    m_isolated = false;
    for (auto it = m_lost.begin(); it != m_lost.end();) {
      it = FailedAlone(it->second) ? std::next(it) : m_lost.erase(it);
    }
  }
  m_round_size = m_round_failed ? 1 : std::min(m_round_size * 2, kMaxRoundSize);
  m_next_probes_at = m_clock->Now() + (m_round_failed ? kProbeInterval : kNextRoundDelay);
  return restores;
}

}  // namespace quetzalridge
