#pragma once

#include <map>
#include <string>

#include "fleet.h"

namespace review {

// Of the rule.
inline constexpr int64_t kAtNoReplicaMs = 5000;

// The runs of all replicas by the id of their item.
inline std::multimap<std::string, Run> RunsOf(Lab* lab) {
  std::multimap<std::string, Run> runs;
  for (const auto& replica : lab->replicas) {
    for (const Run& run : replica->runs()) {
      runs.emplace(run.id, run);
    }
  }
  return runs;
}

// Whether a step of which not all items are listed breaks LOST at this moment, at which it runs out of time: an item
// has been at no replica for 5 s, others had begun, and the replicas are under half full.
inline bool IsLost(Lab* lab, Record* record, const std::string& job, int count, int64_t submitted_ms, int slots) {
  const int64_t now = NowMs();
  const std::multimap<std::string, Run> runs = RunsOf(lab);
  int running = 0;
  for (const auto& [id, run] : runs) {
    running += run.ended_ms == 0 ? 1 : 0;
  }
  int begun = 0;
  int finished = 0;
  int lost = 0;
  int64_t longest = 0;
  for (int i = 0; i < count; ++i) {
    const auto [first, last] = runs.equal_range(job + "-" + std::to_string(i));
    begun += first == last ? 0 : 1;
    bool is_finished = false;
    int64_t last_at_replica = submitted_ms;
    for (auto run = first; run != last; ++run) {
      is_finished = is_finished || run->second.finished;
      last_at_replica = std::max(last_at_replica, run->second.ended_ms == 0 ? now : run->second.ended_ms);
    }
    finished += is_finished ? 1 : 0;
    if (!is_finished) {
      longest = std::max(longest, now - last_at_replica);
      lost += now - last_at_replica >= kAtNoReplicaMs ? 1 : 0;
    }
  }
  const bool under_half_full = running * 2 < slots;
  record->Line("step " + job + " runs out of time: " + std::to_string(count) + " items, " + std::to_string(begun) +
               " begun, " + std::to_string(finished) + " finished, " + std::to_string(lost) + " at no replica for " +
               std::to_string(kAtNoReplicaMs) + " ms, the longest for " + std::to_string(longest) + " ms; " +
               std::to_string(running) + " runs at all replicas");
  return lost > 0 && begun > 0 && under_half_full;
}

}  // namespace review
