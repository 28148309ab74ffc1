#pragma once

#include <string>

#include "tools/experiment/experiment.h"

namespace quetzalridge {

// Time to first token and prefix-cache hits of the four routers, and how far instances herd.
class RoutingExperiment : public Experiment {
 public:
  std::string Name() const override { return "routing"; }
  std::string Description() const override { return "time to first token and cache hits of the four routers"; }
  void Run(const ExperimentOptions& options, ResultTable* results) override;
};

}  // namespace quetzalridge
