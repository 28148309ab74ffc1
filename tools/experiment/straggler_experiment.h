#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tools/experiment/deployment.h"

namespace quetzalridge {

// Trainer idle time, sample age and wasted tokens of one way to handle stragglers.
struct StragglerResult {
  std::string strategy;
  double idle_s = 0.0;
  // Parts of the idle time by the sample that finished last in each step: its length on a fast replica, its time on
  // slow replicas, and the rest.
  double idle_length_s = 0.0;
  double idle_slow_s = 0.0;
  double idle_rest_s = 0.0;
  int64_t produced_tokens = 0;
  // The next three are means over the delivered samples.
  double wasted_tokens = 0.0;
  double sample_tokens = 0.0;
  // In weight versions, at the hand-over.
  double sample_age = 0.0;
  int64_t oldest_sample_age = 0;
  // Prompt and text tokens that engines processed again for resumed samples.
  int64_t resumed_prefill_tokens = 0;
  // Groups that were past the bound when the step was complete, and ran again.
  int64_t regenerated_groups = 0;
};

// Runs the same seeded steps with each strategy: engines with slow phases, an availability zone that is reclaimed, and
// weights that change.
std::vector<StragglerResult> RunStragglerExperiment(const Deployment& deployment, uint64_t seed);

}  // namespace quetzalridge
