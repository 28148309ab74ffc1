#pragma once

#include <cstdint>
#include <ostream>
#include <string>

namespace quetzalridge {

// Trainer idle time and wasted tokens of one way to handle stragglers.
struct StragglerResult {
  std::string strategy;
  double idle_s = 0.0;
  int64_t produced_tokens = 0;
  int64_t wasted_tokens = 0;
  // Groups that were past the bound when the step was complete, and ran again.
  int64_t regenerated_groups = 0;
};

// Runs the same seeded steps with each strategy: engines with slow phases, an availability zone that is reclaimed, and
// weights that change.
class StragglerExperiment {
 public:
  explicit StragglerExperiment(uint64_t seed) : m_seed(seed) {}
  void Run(std::ostream& csv) const;

 private:
  uint64_t m_seed;
};

// Writes one CSV line for each strategy, with a heading.
void RunStragglerExperiment(uint64_t seed, std::ostream& csv);

}  // namespace quetzalridge
