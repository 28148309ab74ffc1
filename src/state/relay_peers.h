#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/random.h"

namespace quetzalridge {

// Why an instance does not pass a call on to an endpoint for another instance. It has sent nothing then.
enum class RelayRefusal {
  // It has lost its own path to the endpoint.
  kNoPath,
  // It passes on as many calls as it may.
  kBusy,
  // It does not know the endpoint, or knows that the endpoint is leaving.
  kUnknownEndpoint,
  // It is stopping.
  kStopping,
  // It could not be reached, or the call was malformed.
  kNotAsked,
};

std::string_view RelayRefusalName(RelayRefusal refusal);
// Returns kNotAsked for an unknown name.
RelayRefusal RelayRefusalFromName(std::string_view name);

// Chooses the instance that is asked to pass a call on. The choice is random, so that the calls of several instances
// that need help spread over those that can help; an instance that refused is left out for a while.
class RelayPeers {
 public:
  RelayPeers(const Clock* clock, uint64_t seed) : m_clock(clock), m_random(seed) {}

  // `instances` are the other live instances. Returns an empty string if none is left that may help.
  std::string Choose(const std::vector<std::string>& instances, const std::set<std::string>& tried);
  // The instance refused a call, or did not answer (kNotAsked).
  void OnRefusal(const std::string& instance, RelayRefusal refusal);
  void OnAccepted(const std::string& instance) { m_avoided_until.erase(instance); }

 private:
  const Clock* m_clock;
  Random m_random;
  std::map<std::string, TimePoint> m_avoided_until;
};

// How many calls one instance passes on for others at the same time. `slots` are the slots of all endpoints, and
// `instances` the number of live instances, including this one.
int MaxRelayedCalls(int slots, int instances);

}  // namespace quetzalridge
