#include <getopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "base/error.h"
#include "tools/experiment/capacity_experiment.h"
#include "tools/experiment/experiment.h"
#include "tools/experiment/routing_experiment.h"
#include "tools/experiment/shares_experiment.h"
#include "tools/experiment/slopes_experiment.h"
#include "tools/experiment/sunset_experiment.h"
#include "tools/experiment/zone_loss_experiment.h"

namespace quetzalridge {
namespace {

constexpr const char* kUsage =
    "usage: quetzalridge_experiment --experiment NAME [--seeds 1,2,3,4,5] [--out FOLDER]\n"
    "       quetzalridge_experiment --list\n"
    "Runs a decision and its baseline on the same seeded load and prints the median and the worst seed.\n"
    "With --out it also writes NAME.csv and the plots to that folder.\n";

std::vector<std::unique_ptr<Experiment>> AllExperiments() {
  std::vector<std::unique_ptr<Experiment>> experiments;
  experiments.push_back(std::make_unique<RoutingExperiment>());
  experiments.push_back(std::make_unique<SharesExperiment>());
  experiments.push_back(std::make_unique<ZoneLossExperiment>());
  experiments.push_back(std::make_unique<SunsetExperiment>());
  experiments.push_back(std::make_unique<CapacityExperiment>());
  experiments.push_back(std::make_unique<SlopesExperiment>());
  return experiments;
}

std::vector<uint64_t> ParseSeeds(const std::string& text) {
  std::vector<uint64_t> seeds;
  std::istringstream is(text);
  for (std::string part; std::getline(is, part, ',');) {
    char* end = nullptr;
    const uint64_t seed = std::strtoull(part.c_str(), &end, 10);
    if (part.empty() || *end != '\0') {
      throw Error(ErrorCode::kInvalidSettings, "--seeds takes numbers with commas between them, for example 1,2,3");
    }
    seeds.push_back(seed);
  }
  return seeds;
}

int RunExperiment(const std::string& name, const ExperimentOptions& options) {
  for (const std::unique_ptr<Experiment>& experiment : AllExperiments()) {
    if (experiment->Name() != name) {
      continue;
    }
    ResultTable results;
    experiment->Run(options, &results);
    results.PrintSummary(std::cout);
    if (!options.out.empty()) {
      std::ofstream csv(options.out + "/" + name + ".csv");
      results.WriteCsv(csv);
    }
    return EXIT_SUCCESS;
  }
  throw Error(ErrorCode::kNotFound, "no experiment is named '" + name + "'; --list shows the names");
}

int Main(int argc, char** argv) {
  static const option kOptions[] = {{"experiment", required_argument, nullptr, 'e'},
                                    {"seeds", required_argument, nullptr, 's'},
                                    {"out", required_argument, nullptr, 'o'},
                                    {"list", no_argument, nullptr, 'l'},
                                    {"help", no_argument, nullptr, 'h'},
                                    {nullptr, 0, nullptr, 0}};
  std::string name;
  std::string seeds = "1,2,3,4,5";
  ExperimentOptions options;
  for (int c = 0; (c = getopt_long(argc, argv, "e:s:o:lh", kOptions, nullptr)) != -1;) {
    switch (c) {
      case 'e':
        name = optarg;
        break;
      case 's':
        seeds = optarg;
        break;
      case 'o':
        options.out = optarg;
        break;
      case 'l':
        for (const std::unique_ptr<Experiment>& experiment : AllExperiments()) {
          std::cout << experiment->Name() << "  " << experiment->Description() << "\n";
        }
        return EXIT_SUCCESS;
      case 'h':
        std::cout << kUsage;
        return EXIT_SUCCESS;
      default:
        std::cerr << kUsage;
        return EXIT_FAILURE;
    }
  }
  if (name.empty()) {
    std::cerr << kUsage;
    return EXIT_FAILURE;
  }
  options.seeds = ParseSeeds(seeds);
  return RunExperiment(name, options);
}

}  // namespace
}  // namespace quetzalridge

int main(int argc, char** argv) {
  try {
    return quetzalridge::Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "quetzalridge_experiment: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
}
