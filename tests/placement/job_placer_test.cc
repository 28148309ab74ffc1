#include "placement/job_placer.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace quetzalridge {
namespace {

// Guards against a choice that differs from that by requests in flight although nothing has been learned, for example
// because a full endpoint no longer shows how fast the others should be.
TEST_CASE("before anything is learned, items are placed as by requests in flight") {
  Random random(1);
  for (int round = 0; round < 200; ++round) {
    ManualClock clock;
    EndpointDirectory directory(&clock);
    std::vector<EndpointEntry> entries(6);
    for (size_t i = 0; i < entries.size(); ++i) {
      entries[i].id = "e" + std::to_string(i);
      entries[i].service = "s";
      entries[i].slots = 2;
      entries[i].model_versions["m"] = 1;
    }
    directory.Update(entries, false);
    for (const EndpointEntry& entry : entries) {
      directory.OnResponse(entry.id);
      directory.OnEventInterval(entry.id, Duration::Milliseconds(40 + static_cast<int64_t>(random.Below(40))));
      for (uint64_t calls = random.Below(3); calls > 0; --calls) {
        directory.OnCallStarted(entry.id);
      }
    }
    BatchSpec spec;
    spec.model = "m";
    spec.items.resize(1);
    BatchProgress progress(&spec);
    PlacementKnowledge knowledge;
    knowledge.uses_predictions = true;
    const JobPlacer placer(&spec, &progress, &knowledge, &directory, &clock, "route", "zone");
    std::vector<ItemCandidate> candidates;
    for (const DirectoryEndpoint* endpoint : directory.Usable("s")) {
      candidates.push_back({endpoint, directory.MsPerEvent(*endpoint), directory.RespondedLately(*endpoint)});
    }
    const ItemPlacement placement = placer.PlacementOf(0);
    CHECK(placer.Choose(placer.CandidatesFor("s", HomeRegions()), 0, placement) ==
          ChooseForItem(candidates, placement, "zone"));
  }
}

}  // namespace
}  // namespace quetzalridge
