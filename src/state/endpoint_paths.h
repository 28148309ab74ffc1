#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// Decides which endpoints this instance calls over its own connections, and which through another instance because its
// own path to them has failed.
//
// A failure to reach an endpoint says nothing by itself: the endpoint may have stopped. It is the path that has failed
// if another instance reaches the endpoint at the same time. If no endpoint at all has responded since the failure
// began, the paths to all endpoints count as failed, so that the next call does not have to find out again.
class EndpointPaths {
 public:
  explicit EndpointPaths(const Clock* clock) : m_clock(clock) {}

  // Calls to this endpoint are sent over own connections.
  bool IsDirect(const std::string& endpoint) const { return m_lost.count(endpoint) == 0; }
  // The paths to all endpoints were found to have failed, and none of them has been restored since.
  bool is_isolated() const { return m_isolated; }
  int lost_count() const { return static_cast<int>(m_lost.size()); }

  // The endpoint has responded over an own connection.
  void OnContact(const std::string& endpoint);
  // Whether the endpoint has responded over an own connection at or after `since`.
  bool HasContactSince(const std::string& endpoint, TimePoint since) const;
  // Whether any endpoint has.
  bool HasAnyContactSince(TimePoint since) const;

  // Another instance reaches an endpoint, and an attempt of this instance that began at `failed_since` has failed.
  // `endpoints` are all known endpoints. Returns those whose path counts as failed from now on.
  std::vector<std::string> OnPathFailed(const std::string& endpoint, TimePoint failed_since,
                                        const std::set<std::string>& endpoints);
  // Forgets endpoints that are not in `endpoints`.
  void Retain(const std::set<std::string>& endpoints);

  // Returns the endpoints to which a probe is due, and counts them as being probed. A round of probes begins with one
  // endpoint and doubles while all of them succeed.
  std::vector<std::string> BeginProbes();
  // Returns true if paths count as working again: all but those that failed while others worked.
  bool OnProbeResult(const std::string& endpoint, bool responded);
  // When the next round of probes is due. Meaningful only while a path has failed.
  TimePoint next_probes_at() const { return m_next_probes_at; }

 private:
  struct LostPath {
    TimePoint probed_at;
    // When a probe last got no response.
    std::optional<TimePoint> failed_at;
  };

  // The path failed after another one had been found to work again.
  bool FailedAlone(const LostPath& path) const;
  // Returns true if paths were restored.
  bool EndRound();

  const Clock* m_clock;
  std::map<std::string, TimePoint> m_contacts;
  TimePoint m_last_contact;
  bool m_has_contact = false;
  bool m_isolated = false;
  // When a probe first succeeded since the paths have failed.
  std::optional<TimePoint> m_first_success_at;
  std::map<std::string, LostPath> m_lost;
  std::set<std::string> m_probing;
  size_t m_round_size = 1;
  bool m_round_failed = false;
  // Number of rounds in a row in which all probed endpoints responded.
  int m_good_rounds = 0;
  TimePoint m_next_probes_at;
};

}  // namespace quetzalridge
