#include "state/prefix_affinity_router.h"

#include <algorithm>
#include <cmath>

#include "state/admission.h"

namespace quetzalridge {

namespace {

// Bound on an endpoint's load, relative to the mean load per slot. The prefix of a request decides only among endpoints
// below this bound. A lower bound reduces the cache hits; with a higher one, a popular prefix overloads its holder.
constexpr double kLoadBound = 1.25;
constexpr Duration kSlowStartDuration = Duration::Seconds(10);
// A new endpoint starts with a tenth of its slots, since it is still starting up and has an empty cache.
constexpr double kMinSlowStartFactor = 0.1;
// Takes about 10 MB with one holder per prefix on average.
constexpr size_t kMaxIndexedPrefixes = 100'000;
// Cost of an endpoint in another availability zone, in load per slot. The other zone adds only about 1 ms to a request,
// so the zone decides only between endpoints with similar loads.
constexpr double kOtherZoneCost = 0.05;
// Requests that are not within their workspace's share wait up to this long for a slot of an endpoint that holds their
// prefix, because a copy of the prefix on another endpoint evicts prefixes of others. An interactive request waits no
// longer than an engine needs to process its prompt without a cached prefix.
constexpr Duration kMaxBorrowedHolderWait = Duration::Milliseconds(300);
constexpr Duration kMaxRolloutHolderWait = Duration::Seconds(2);

// Returns the fraction of its slots that an endpoint counts with, which grows during its first seconds.
double SlowStartFactor(const EndpointState& endpoint, TimePoint now) {
  const Duration age = now - endpoint.first_seen;
  if (age >= kSlowStartDuration) {
    return 1.0;
  }
  return std::max(kMinSlowStartFactor, static_cast<double>(age.ms()) / static_cast<double>(kSlowStartDuration.ms()));
}

// Hashes both numbers into one with the finalizer of splitmix64.
uint64_t MixPair(uint64_t a, uint64_t b) {
  uint64_t z = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6));
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

}  // namespace

PrefixAffinityRouter::PrefixAffinityRouter(uint64_t seed) : m_random(seed), m_index(kMaxIndexedPrefixes) {}

int PrefixAffinityRouter::Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints,
                                 TimePoint now) {
  CollectCandidates(request, endpoints, now);
  if (m_candidates.empty() || ShouldWaitForHolder(request)) {
    return -1;
  }
  if (!request.prefix_hashes.empty()) {
    const int holder = ChooseHolder(request, endpoints);
    if (holder >= 0) {
      return holder;
    }
    KeepFewestAwaitingFirstToken();
    const int by_hash = ChooseByRendezvousHash(request.prefix_hashes.back());
    if (by_hash >= 0) {
      return by_hash;
    }
  }
  return ChooseOfTwo(request, endpoints);
}

void PrefixAffinityRouter::CollectCandidates(const RouteRequest& request, const std::vector<EndpointState>& endpoints,
                                             TimePoint now) {
  m_candidates.clear();
  m_full_endpoints.clear();
  RouteRequest any_load = request;
  any_load.needs_free_slot = false;
  double total_load = 0;
  double total_slots = 0;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    if (!IsEligible(request, endpoints[i])) {
      if (request.needs_free_slot && IsEligible(any_load, endpoints[i])) {
        m_full_endpoints.push_back(m_index.NumberOf(endpoints[i].id));
      }
      continue;
    }
    Candidate candidate;
    candidate.index = static_cast<int>(i);
    candidate.number = m_index.NumberOf(endpoints[i].id);
    candidate.awaiting_first_token = endpoints[i].awaiting_first_token;
    candidate.load = EstimatedLoad(endpoints[i]);
    candidate.slots = std::max(endpoints[i].slots, 1) * SlowStartFactor(endpoints[i], now);
    total_load += candidate.load;
    total_slots += candidate.slots;
    m_candidates.push_back(candidate);
  }
  m_candidate_of_number.assign(m_candidate_of_number.size(), -1);
  for (size_t c = 0; c < m_candidates.size(); ++c) {
    Candidate& candidate = m_candidates[c];
    // The bound includes the request itself and is rounded up, so that at least one endpoint is always below it.
    const double bound = std::ceil(kLoadBound * (total_load + 1) * candidate.slots / total_slots);
    candidate.below_bound = candidate.load + 1 <= bound;
    if (candidate.number >= m_candidate_of_number.size()) {
      m_candidate_of_number.resize(candidate.number + 1, -1);
    }
    m_candidate_of_number[candidate.number] = static_cast<int>(c);
  }
}

// Waiting pays off only for a cached prefix of at least half of the prompt.
bool PrefixAffinityRouter::ShouldWaitForHolder(const RouteRequest& request) const {
  const Duration longest =
      request.engine_priority == kEnginePriorityRollout ? kMaxRolloutHolderWait : kMaxBorrowedHolderWait;
  if (m_full_endpoints.empty() || request.engine_priority == kEnginePriorityWithinShare || request.waited >= longest) {
    return false;
  }
  for (size_t i = 0; i * 2 < request.prefix_hashes.size(); ++i) {
    bool is_full = false;
    for (const PrefixIndex::Holder& holder : m_index.Holders(request.prefix_hashes[i])) {
      if (!m_index.IsUsable(holder)) {
        continue;
      }
      if (holder.endpoint < m_candidate_of_number.size() && m_candidate_of_number[holder.endpoint] >= 0) {
        return false;
      }
      is_full |= std::find(m_full_endpoints.begin(), m_full_endpoints.end(), holder.endpoint) != m_full_endpoints.end();
    }
    if (is_full) {
      return true;
    }
  }
  return false;
}

// Keeps the candidates that process the fewest prompts. A prompt without a cached prefix takes long to process, and a
// second one on the same engine would wait for the first.
void PrefixAffinityRouter::KeepFewestAwaitingFirstToken() {
  int least = m_candidates.front().awaiting_first_token;
  for (const Candidate& candidate : m_candidates) {
    least = std::min(least, candidate.awaiting_first_token);
  }
  m_candidates.erase(
      std::remove_if(m_candidates.begin(), m_candidates.end(),
                     [least](const Candidate& candidate) { return candidate.awaiting_first_token > least; }),
      m_candidates.end());
}

// Returns the holder of the longest known prefix, or -1. Among several holders, those without lost cache events come
// first, and then those with the lower load.
int PrefixAffinityRouter::ChooseHolder(const RouteRequest& request, const std::vector<EndpointState>& endpoints) const {
  for (const uint64_t hash : request.prefix_hashes) {
    const Candidate* best = nullptr;
    double best_cost = 0;
    for (const PrefixIndex::Holder& holder : m_index.Holders(hash)) {
      const int c = holder.endpoint < m_candidate_of_number.size() ? m_candidate_of_number[holder.endpoint] : -1;
      if (c < 0 || !m_candidates[c].below_bound || !m_index.IsUsable(holder)) {
        continue;
      }
      const Candidate& candidate = m_candidates[c];
      const bool in_other_zone = !request.zone.empty() && endpoints[candidate.index].zone != request.zone;
      // An unreliable entry costs as much as a whole unit of load per slot, so that reliable entries come first.
      const double cost = candidate.load / candidate.slots + (in_other_zone ? kOtherZoneCost : 0.0) +
                          (m_index.IsReliable(holder) ? 0.0 : 1.0);
      if (best == nullptr || cost < best_cost) {
        best = &candidate;
        best_cost = cost;
      }
    }
    if (best != nullptr) {
      return best->index;
    }
  }
  return -1;
}

// A prefix without a holder is assigned to its highest-ranked endpoint below the load bound (rendezvous hashing). All
// instances compute the same ranks, so the first requests with a new prefix reach the same endpoint before any cache
// event has arrived. Returns -1 if no endpoint is below the bound.
int PrefixAffinityRouter::ChooseByRendezvousHash(uint64_t prefix_hash) const {
  int best = -1;
  uint64_t best_rank = 0;
  for (const Candidate& candidate : m_candidates) {
    if (!candidate.below_bound) {
      continue;
    }
    const uint64_t rank = MixPair(prefix_hash, m_index.StableHash(candidate.number));
    if (best < 0 || rank > best_rank) {
      best = candidate.index;
      best_rank = rank;
    }
  }
  return best;
}

// Returns the cheaper of two random candidates.
int PrefixAffinityRouter::ChooseOfTwo(const RouteRequest& request, const std::vector<EndpointState>& endpoints) {
  const size_t count = m_candidates.size();
  const size_t first = m_random.Below(count);
  const size_t second = count == 1 ? first : (first + 1 + m_random.Below(count - 1)) % count;
  const auto cost = [&](const Candidate& candidate) {
    const bool in_other_zone = !request.zone.empty() && endpoints[candidate.index].zone != request.zone;
    return (candidate.load + 1) / candidate.slots + (in_other_zone ? kOtherZoneCost : 0.0);
  };
  const Candidate& a = m_candidates[first];
  const Candidate& b = m_candidates[second];
  return cost(b) < cost(a) ? b.index : a.index;
}

void PrefixAffinityRouter::OnCacheStored(const std::string& endpoint_id, uint64_t prefix_hash) {
  m_index.Add(prefix_hash, m_index.NumberOf(endpoint_id));
}

void PrefixAffinityRouter::OnCacheEvicted(const std::string& endpoint_id, uint64_t prefix_hash) {
  m_index.Remove(prefix_hash, m_index.NumberOf(endpoint_id));
}

void PrefixAffinityRouter::OnCacheEventsLost(const std::string& endpoint_id) {
  m_index.MarkEventsLost(m_index.NumberOf(endpoint_id));
}

// Cache events arrive late, so the prefixes of a dispatched request count as stored immediately. An eviction event
// corrects this when it arrives.
void PrefixAffinityRouter::OnDispatched(const std::string& endpoint_id, const std::vector<uint64_t>& prefix_hashes) {
  const uint32_t number = m_index.NumberOf(endpoint_id);
  for (const uint64_t hash : prefix_hashes) {
    m_index.Add(hash, number);
  }
}

}  // namespace quetzalridge
