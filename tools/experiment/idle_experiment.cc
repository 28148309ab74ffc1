#include "tools/experiment/idle_experiment.h"

#include <sstream>

#include "tools/experiment/straggler_experiment.h"

namespace quetzalridge {

void IdleExperiment::Run(const ExperimentOptions& options, ResultTable* results) {
  for (const uint64_t seed : options.seeds) {
    std::stringstream csv;
    RunStragglerExperiment(seed, csv);
    std::string line;
    // The first line is the heading.
    std::getline(csv, line);
    while (std::getline(csv, line)) {
      std::istringstream fields(line);
      std::string strategy;
      std::string field;
      std::getline(fields, strategy, ',');
      std::getline(fields, field, ',');
      for (const char* measure : {"trainer idle time", "produced tokens", "wasted tokens", "regenerated groups"}) {
        std::getline(fields, field, ',');
        const std::string unit = measure == std::string("trainer idle time") ? "s" : "1";
        const Better better = measure == std::string("produced tokens") ? Better::kHigher : Better::kLower;
        results->Add({"agency", strategy, measure, unit, better, seed, std::stod(field)});
      }
    }
  }
}

}  // namespace quetzalridge
