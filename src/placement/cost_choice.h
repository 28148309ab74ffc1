#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "placement/cost_model.h"
#include "state/endpoint_choice.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// An endpoint that may take an item, with what this instance has learned about it.
struct CostCandidate {
  ItemCandidate candidate;
  // Mean time between two events over the last minutes; see EndpointTimes.
  double ms_per_event = 0.0;
  // Remaining work of this instance's calls to the endpoint; see RemainingWork.
  double remaining_ms = 0.0;
};

// What an item is expected to cost before and after its first event.
struct ItemCosts {
  LengthPrediction length;
  // Time from the start of a run to its first event.
  double ms_to_first_event = 0.0;
  // The same on an endpoint that has the prompt in its cache.
  double ms_to_first_event_cached = 0.0;
};

// Returns the endpoint for an item of a batch job, as ChooseForItem does, but with the predicted length of the item:
// the one on which it is expected to end first. Among endpoints whose expected ends differ little, the preferred one
// comes first, then the one with the least remaining work per slot. Long items therefore start on fast endpoints, and
// short ones wherever there is room. Decides as ChooseForItem if the prediction is not usable.
const DirectoryEndpoint* ChooseByCost(const std::vector<CostCandidate>& candidates, const ItemPlacement& placement,
                                      const ItemCosts& costs, const std::string& own_zone);

// Returns the endpoint to which a running item should move, as ChooseForMove does, but with the predicted rest of the
// item: it moves only if it is expected to end clearly earlier elsewhere, including the time until the new endpoint
// has processed the text so far. Decides as ChooseForMove if the prediction is not usable.
const DirectoryEndpoint* ChooseMoveByCost(const std::vector<CostCandidate>& candidates, const ItemPlacement& placement,
                                          const CostCandidate& current, const ItemCosts& costs, int64_t event_count);

// Returns the expected number of further events of an item that has produced `event_count`.
double ExpectedRest(const LengthPrediction& prediction, int64_t event_count);

}  // namespace quetzalridge
