#pragma once

#include <cstdint>
#include <vector>

namespace quetzalridge {

// A sequence of consecutive tokens that one weight version produced.
struct WeightVersionRun {
  int64_t version = 0;
  int64_t tokens = 0;

  friend bool operator==(const WeightVersionRun& a, const WeightVersionRun& b) {
    return a.version == b.version && a.tokens == b.tokens;
  }
};

using WeightVersionRuns = std::vector<WeightVersionRun>;

// Adds one token that the engine stamped with `version`. Consecutive tokens of one version share a run.
void AppendToken(WeightVersionRuns* runs, int64_t version);
int64_t TokenCount(const WeightVersionRuns& runs);
// The oldest version, which determines the age of a sample. Returns 0 if there are no tokens.
int64_t OldestVersion(const WeightVersionRuns& runs);

}  // namespace quetzalridge
