#pragma once

#include <string>

#include "tools/experiment/experiment.h"

namespace quetzalridge {

// Latency of modest workspaces beside one that sends ten times its share, with fair shares and without.
class SharesExperiment : public Experiment {
 public:
  std::string Name() const override { return "shares"; }
  std::string Description() const override { return "p99 of the worst-served workspace alone and beside a greedy one"; }
  void Run(const ExperimentOptions& options, ResultTable* results) override;
};

}  // namespace quetzalridge
