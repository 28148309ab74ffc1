#pragma once

#include <string>

#include "tools/experiment/experiment.h"

namespace quetzalridge {

// Trainer idle time with stragglers and one reclaimed zone, as measured by StragglerExperiment.
class IdleExperiment : public Experiment {
 public:
  std::string Name() const override { return "idle"; }
  std::string Description() const override { return "trainer idle time with stragglers and one zone reclaimed"; }
  void Run(const ExperimentOptions& options, ResultTable* results) override;
};

}  // namespace quetzalridge
