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
  std::string preferred_endpoint;
  // The endpoint on which the last run failed, or empty.
  std::string avoided_endpoint;
};

// An endpoint that may take an item, with its measured speed; see EndpointDirectory::MsPerEvent.
struct ItemCandidate {
  const DirectoryEndpoint* endpoint = nullptr;
  double ms_per_event = 0.0;
};

// The endpoint for an item of a batch job: one with a free place and a version of the model that the job accepts. Fast
// ones come first, then the preferred one, then the one with the largest share of free places. Nullptr when none is
// free.
//
// The load it answers: a job brings as many items at once as its model has places, and its last long item decides when
// the step ends. Waiting here instead of at a full endpoint keeps the choice open until a place is free; items start in
// the order of their estimated length, so the long ones get the fast endpoints.
const DirectoryEndpoint* ChooseForItem(const std::vector<ItemCandidate>& candidates, const ItemPlacement& placement,
                                       const std::string& own_zone);

// The endpoint to which a running item should move, or nullptr.
//
// The load it answers: a third of the endpoints is 1.3 times slower than the rest, and now and then some are several
// times slower. Going on elsewhere costs the reading of the text so far, a few dozen milliseconds. Lengths are
// heavy-tailed, so an item that has made many events is expected to make about as many more.
const DirectoryEndpoint* ChooseForMove(const std::vector<ItemCandidate>& candidates, const ItemPlacement& placement,
                                       const ItemCandidate& current, int64_t event_count);

}  // namespace quetzalridge
