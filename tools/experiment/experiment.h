#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tools/experiment/result_table.h"

namespace quetzalridge {

struct ExperimentOptions {
  std::vector<uint64_t> seeds;
  // Folder for plots; empty writes none.
  std::string out;
};

// Runs a decision and its baseline on the same seeded load.
class Experiment {
 public:
  virtual ~Experiment() = default;
  virtual std::string Name() const = 0;
  virtual std::string Description() const = 0;
  virtual void Run(const ExperimentOptions& options, ResultTable* results) = 0;
};

}  // namespace quetzalridge
