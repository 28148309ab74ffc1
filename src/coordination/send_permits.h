#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "placement/cost_choice.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// Permits to send requests to endpoints that limit the rate of requests from all instances together.
class SendPermits {
 public:
  virtual ~SendPermits() = default;
  // The endpoint sets no limit, or this instance has a permit.
  virtual bool MaySend(const std::string& endpoint) const = 0;
  // Requests a permit, which may be granted within the call. Does nothing if one is already requested or granted.
  virtual void Request(const std::string& endpoint) = 0;
  // How long it takes until a permit may be requested again; 0 if that is unknown.
  virtual Duration WaitFor(const std::string& endpoint) const = 0;
};

namespace detail {

inline const std::string& EndpointIdOf(const DirectoryEndpoint* endpoint) {
  return endpoint->entry.id;
}
inline const std::string& EndpointIdOf(const CostCandidate& candidate) {
  return candidate.candidate.endpoint->entry.id;
}

}  // namespace detail

// Returns the candidate that `choose` prefers. If it needs a permit that this instance does not have, requests the
// permit and chooses among those to which a request may be sent now. A refusal for a cold endpoint lasts long, so the
// next candidate is tried at once: all cold endpoints of a service shall serve at their paces.
template <typename Candidate, typename Choose>
const DirectoryEndpoint* ChooseWithPermit(SendPermits* permits, std::vector<Candidate> candidates,
                                          const Choose& choose) {
  const DirectoryEndpoint* preferred = choose(candidates);
  while (preferred != nullptr && permits != nullptr && !permits->MaySend(preferred->entry.id)) {
    const std::string id = preferred->entry.id;
    permits->Request(id);
    if (permits->MaySend(id)) {
      return preferred;
    }
    const bool is_refused = preferred->is_cold() && permits->WaitFor(id) > Duration();
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [&](const Candidate& candidate) {
                                      const std::string& other = detail::EndpointIdOf(candidate);
                                      return is_refused ? other == id : !permits->MaySend(other);
                                    }),
                     candidates.end());
    preferred = choose(candidates);
  }
  return preferred;
}

}  // namespace quetzalridge
