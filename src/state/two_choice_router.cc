#include "state/two_choice_router.h"

#include <utility>

namespace quetzalridge {

// Least-load routing causes a thundering herd: all instances that see the same old load report send to the same
// endpoint. Two random choices avoid this.
int TwoChoiceRouter::Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) {
  m_candidates.clear();
  for (size_t i = 0; i < endpoints.size(); ++i) {
    if (IsEligible(request, endpoints[i])) {
      m_candidates.push_back(static_cast<int>(i));
    }
  }
  if (m_candidates.empty()) {
    return -1;
  }
  const size_t count = m_candidates.size();
  const size_t first = m_random.Below(count);
  if (count == 1) {
    return m_candidates[first];
  }
  const size_t second = (first + 1 + m_random.Below(count - 1)) % count;
  const int a = m_candidates[first];
  const int b = m_candidates[second];
  return LoadPerSlot(endpoints[b]) < LoadPerSlot(endpoints[a]) ? b : a;
}

}  // namespace quetzalridge
