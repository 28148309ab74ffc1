#pragma once

#include <string>

#include "tools/experiment/experiment.h"

namespace quetzalridge {

// An availability zone goes silent; measures when service is back to its objective.
class ZoneLossExperiment : public Experiment {
 public:
  std::string Name() const override { return "zone_loss"; }
  std::string Description() const override { return "time back to the objective after an availability zone is lost"; }
  void Run(const ExperimentOptions& options, ResultTable* results) override;
};

}  // namespace quetzalridge
