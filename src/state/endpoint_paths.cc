#include "state/endpoint_paths.h"

#include <algorithm>
#include <utility>

namespace quetzalridge {

namespace {

// A path that has just failed may work again for a moment, so one response is not enough to return to it.
constexpr int kSuccessesToRestore = 2;
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
    m_next_probes_at = m_clock->Now();
  }
  add(endpoint);
  if (!HasAnyContactSince(failed_since)) {
    m_isolated = true;
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
  candidates.reserve(m_lost.size());
  for (const auto& [endpoint, path] : m_lost) {
    candidates.emplace_back(path.probed_at, endpoint);
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
  bool restored = false;
  const auto path = m_lost.find(endpoint);
  if (path != m_lost.end()) {
    path->second.successes = responded ? path->second.successes + 1 : 0;
    restored = path->second.successes >= kSuccessesToRestore;
    if (restored) {
      m_lost.erase(path);
      m_isolated = false;
    }
  }
  if (m_probing.empty()) {
    EndRound();
  }
  return restored;
}

void EndpointPaths::EndRound() {
  m_round_size = m_round_failed ? 1 : std::min(m_round_size * 2, kMaxRoundSize);
  m_next_probes_at = m_clock->Now() + (m_round_failed ? kProbeInterval : kNextRoundDelay);
}

}  // namespace quetzalridge
