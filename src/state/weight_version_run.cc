#include "state/weight_version_run.h"

#include <algorithm>

namespace quetzalridge {

void AppendToken(WeightVersionRuns* runs, int64_t version) {
  if (runs->empty() || runs->back().version != version) {
    runs->push_back({version, 0});
  }
  ++runs->back().tokens;
}

int64_t TokenCount(const WeightVersionRuns& runs) {
  int64_t tokens = 0;
  for (const WeightVersionRun& run : runs) {
    tokens += run.tokens;
  }
  return tokens;
}

int64_t OldestVersion(const WeightVersionRuns& runs) {
  if (runs.empty()) {
    return 0;
  }
  return std::min_element(runs.begin(), runs.end(),
                          [](const WeightVersionRun& a, const WeightVersionRun& b) { return a.version < b.version; })
      ->version;
}

}  // namespace quetzalridge
