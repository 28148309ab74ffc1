#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "state/prefix_index.h"
#include "state/router.h"

namespace quetzalridge {

// Prefers the endpoint that has the longest prefix of the prompt in its cache, as long as the load of the endpoint
// stays near the mean.
class PrefixAffinityRouter : public Router {
 public:
  explicit PrefixAffinityRouter(uint64_t seed);

  int Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) override;
  void OnCacheStored(const std::string& endpoint_id, uint64_t prefix_hash) override;
  void OnCacheEvicted(const std::string& endpoint_id, uint64_t prefix_hash) override;
  void OnCacheEventsLost(const std::string& endpoint_id) override;
  void OnDispatched(const std::string& endpoint_id, const std::vector<uint64_t>& prefix_hashes) override;

  size_t indexed_prefixes() const { return m_index.size(); }

 private:
  struct Candidate {
    // Index into the `endpoints` argument of Choose.
    int index = 0;
    // Number of the endpoint in the prefix index.
    uint32_t number = 0;
    double load = 0;
    double slots = 0;
    // One more request keeps the endpoint within its bound on the load.
    bool below_bound = false;
    // Requests in flight that have not returned their first token.
    int awaiting_first_token = 0;
  };

  void CollectCandidates(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now);
  bool ShouldWaitForHolder(const RouteRequest& request) const;
  void KeepFewestAwaitingFirstToken();
  int ChooseHolder(const RouteRequest& request, const std::vector<EndpointState>& endpoints) const;
  int ChooseByRendezvousHash(uint64_t prefix_hash) const;
  int ChooseOfTwo(const RouteRequest& request, const std::vector<EndpointState>& endpoints);

  Random m_random;
  PrefixIndex m_index;
  // Temporary data of one call of Choose. The second vector maps an endpoint number to an index into the first, or -1.
  std::vector<Candidate> m_candidates;
  std::vector<int> m_candidate_of_number;
  // Numbers of the endpoints that are not eligible only because they have no free slot.
  std::vector<uint32_t> m_full_endpoints;
};

}  // namespace quetzalridge
