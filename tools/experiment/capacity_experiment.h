#pragma once

#include <string>

#include "tools/experiment/experiment.h"

namespace quetzalridge {

// Cost, service, cheap share and harm of both capacity planners over four weeks with reclaims.
class CapacityExperiment : public Experiment {
 public:
  std::string Name() const override { return "capacity"; }
  std::string Description() const override {
    return "cost against service of the sunset planner and the hour-of-day planner";
  }
  void Run(const ExperimentOptions& options, ResultTable* results) override;
};

}  // namespace quetzalridge
