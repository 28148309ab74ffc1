#include "state/relay_peers.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace quetzalridge {

namespace {

constexpr std::pair<RelayRefusal, std::string_view> kRefusalNames[] = {
    {RelayRefusal::kNoPath, "no_path"},
    {RelayRefusal::kBusy, "busy"},
    {RelayRefusal::kUnknownEndpoint, "unknown_endpoint"},
    {RelayRefusal::kStopping, "stopping"},
    {RelayRefusal::kNotAsked, "not_asked"},
};

// For how long an instance is not asked again.
constexpr Duration kAvoidanceWhenBusy = Duration::Milliseconds(50);
constexpr Duration kAvoidanceWithoutPath = Duration::Milliseconds(500);
constexpr Duration kAvoidanceWhenUnreachable = Duration::Seconds(1);
constexpr Duration kAvoidanceWhenStopping = Duration::Seconds(2);

// Passing a call on takes little of an instance's processor. With this many shares, a quarter of the instances can
// carry all calls, and no demand of others can occupy an instance beyond that.
constexpr int kShares = 4;
constexpr int kMinRelayedCalls = 8;

}  // namespace

std::string_view RelayRefusalName(RelayRefusal refusal) {
  for (const auto& [value, name] : kRefusalNames) {
    if (value == refusal) {
      return name;
    }
  }
  throw std::logic_error("unknown value of RelayRefusal; add it to kRefusalNames");
}

RelayRefusal RelayRefusalFromName(std::string_view name) {
  for (const auto& [value, known] : kRefusalNames) {
    if (known == name) {
      return value;
    }
  }
  return RelayRefusal::kNotAsked;
}

std::string RelayPeers::Choose(const std::vector<std::string>& instances, const std::set<std::string>& tried) {
  std::vector<const std::string*> candidates;
  for (const std::string& instance : instances) {
    const auto avoided = m_avoided_until.find(instance);
    const bool is_avoided = avoided != m_avoided_until.end() && m_clock->Now() < avoided->second;
    if (!is_avoided && tried.count(instance) == 0) {
      candidates.push_back(&instance);
    }
  }
  return candidates.empty() ? "" : *candidates[m_random.Below(candidates.size())];
}

void RelayPeers::OnRefusal(const std::string& instance, RelayRefusal refusal) {
  Duration avoidance;
  switch (refusal) {
    case RelayRefusal::kNoPath:
      avoidance = kAvoidanceWithoutPath;
      break;
    case RelayRefusal::kBusy:
      avoidance = kAvoidanceWhenBusy;
      break;
    case RelayRefusal::kUnknownEndpoint:
      // Says nothing about calls to other endpoints.
      return;
    case RelayRefusal::kStopping:
      avoidance = kAvoidanceWhenStopping;
      break;
    case RelayRefusal::kNotAsked:
      avoidance = kAvoidanceWhenUnreachable;
      break;
  }
  m_avoided_until[instance] = m_clock->Now() + avoidance;
}

int MaxRelayedCalls(int slots, int instances) {
  return std::max(kMinRelayedCalls, kShares * slots / std::max(instances, 1));
}

}  // namespace quetzalridge
