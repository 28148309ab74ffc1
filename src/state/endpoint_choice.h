#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// The endpoint for a plain request: the one with the fewest of this instance's requests for its places, then one in the
// own availability zone, then any. Endpoints in `tried` come last. Nullptr without candidates.
//
// The load it answers: short requests that use a few percent of the places. Then a wrong choice costs a crossing of
// zones, and only an endpoint that is slow or stuck holds requests for long, which its own count shows.
const DirectoryEndpoint* ChooseForRequest(const std::vector<const DirectoryEndpoint*>& candidates,
                                          const std::string& own_zone, const std::set<std::string>& tried,
                                          Random* random);

struct ItemPlacement {
  std::string model;
  int64_t oldest_version = 0;
  // The endpoint that holds the shared prompt of the item's group, or empty.
  std::string preferred;
  // The endpoint on which the last run failed, or empty.
  std::string avoided;
};

// The endpoint for an item of a batch job: one with a free place and a version of the model that the job accepts; the
// preferred one, else the one with the largest share of free places. Nullptr when none is free.
//
// The load it answers: a job brings as many items at once as its model has places. Waiting here instead of at a full
// endpoint keeps the choice open until a place is free.
const DirectoryEndpoint* ChooseForItem(const std::vector<const DirectoryEndpoint*>& candidates,
                                       const ItemPlacement& placement, const std::string& own_zone);

}  // namespace quetzalridge
