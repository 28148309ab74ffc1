#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// Returns the endpoint for a single request (not part of a batch job): the one with the lowest ratio of this instance's
// requests in flight to its slots. Among equal ones, an endpoint in this instance's availability zone is preferred, and
// then the choice is random. Cold endpoints come after the others, since their callers wait, and endpoints in `tried`
// last. Returns nullptr if there are no candidates.
const DirectoryEndpoint* ChooseForRequest(const std::vector<const DirectoryEndpoint*>& candidates,
                                          const std::string& own_zone, const std::set<std::string>& tried,
                                          Random* random);

// What an item of a batch job requires and prefers of its endpoint.
struct ItemPlacement {
  std::string model;
  // Oldest version of the model that the job accepts.
  int64_t oldest_version = 0;
  // The software version that must continue the item's text; nothing if there is no text yet.
  std::optional<std::string> software_version;
  // The endpoint that has the shared prompt of the item's group in its cache, or empty.
  std::string preferred_endpoint;
  // The endpoint on which the item's last run failed, or empty.
  std::string avoided_endpoint;
};

// An endpoint that may take an item, with its measured speed; see EndpointDirectory::MsPerEvent and RespondedLately.
struct ItemCandidate {
  const DirectoryEndpoint* endpoint = nullptr;
  double ms_per_event = 0.0;
  bool responded_lately = true;
};

// Whether the endpoint has a free slot and may run the item.
bool CanTakeItem(const ItemCandidate& candidate, const ItemPlacement& placement);

// Returns the endpoint for an item of a batch job: one with a free slot and a version of the model that the job
// accepts. The avoided endpoint comes last. Otherwise fast endpoints come first, then the preferred one, then the one
// with the largest fraction of free slots, then those in this instance's availability zone. Returns nullptr if there is
// none.
const DirectoryEndpoint* ChooseForItem(const std::vector<ItemCandidate>& candidates, const ItemPlacement& placement,
                                       const std::string& own_zone);

// Returns the endpoint to which a running item should move because it is expected to finish earlier there, or nullptr
// if the item should stay. `event_count` is the number of events that the item has produced so far.
const DirectoryEndpoint* ChooseForMove(const std::vector<ItemCandidate>& candidates, const ItemPlacement& placement,
                                       const ItemCandidate& current, int64_t event_count);

}  // namespace quetzalridge
