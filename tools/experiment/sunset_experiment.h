#pragma once

#include <string>

#include "tools/experiment/experiment.h"

namespace quetzalridge {

// Interactive latency in the quiet hour and at the peak, with and without priority and preemption of rollouts.
class SunsetExperiment : public Experiment {
 public:
  std::string Name() const override { return "sunset"; }
  std::string Description() const override {
    return "interactive p99 at the sunset peak and in the quiet hour, with rollouts running";
  }
  void Run(const ExperimentOptions& options, ResultTable* results) override;
};

}  // namespace quetzalridge
