#pragma once

#include <string>

#include "tools/experiment/experiment.h"

namespace quetzalridge {

// Measures memory and time of single objects at several sizes for docs/CAPACITY.md.
class SlopesExperiment : public Experiment {
 public:
  std::string Name() const override { return "slopes"; }
  std::string Description() const override {
    return "bytes and microseconds per endpoint, peer, key and stream at growing sizes";
  }
  void Run(const ExperimentOptions& options, ResultTable* results) override;
};

}  // namespace quetzalridge
