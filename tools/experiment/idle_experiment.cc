#include "tools/experiment/idle_experiment.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tools/experiment/straggler_experiment.h"
#include "tools/experiment/svg_plot.h"

namespace quetzalridge {

namespace {

// The strategies that are drawn: the baseline, the default before, and the ways that the default now gives a trainer.
const std::set<std::string>& PlottedStrategies() {
  static const std::set<std::string> kStrategies = {"baseline_restart", "run_time_copy", "token_time_resume",
                                                    "token_time_resume_late_surplus", "token_time_resume_ahead_4"};
  return kStrategies;
}

void AddResults(const std::string& deployment, uint64_t seed, const StragglerResult& r, ResultTable* results) {
  const auto add = [&](const char* measure, const char* unit, Better better, double value) {
    results->Add({deployment, r.strategy, measure, unit, better, seed, value});
  };
  add("trainer idle time", "s", Better::kLower, r.idle_s);
  add("idle time by the length of the last sample", "s", Better::kLower, r.idle_length_s);
  add("idle time by slow replicas", "s", Better::kLower, r.idle_slow_s);
  add("idle time by prefill, slots and repeated work", "s", Better::kLower, r.idle_rest_s);
  add("wasted tokens per delivered sample", "1", Better::kLower, r.wasted_tokens);
  add("mean tokens of a delivered sample", "1", Better::kHigher, r.sample_tokens);
  add("mean sample age", "versions", Better::kLower, r.sample_age);
  add("oldest sample age", "versions", Better::kLower, static_cast<double>(r.oldest_sample_age));
  add("prefill tokens of resumed samples", "1", Better::kLower, static_cast<double>(r.resumed_prefill_tokens));
  add("produced tokens", "1", Better::kHigher, static_cast<double>(r.produced_tokens));
  add("regenerated groups", "1", Better::kLower, static_cast<double>(r.regenerated_groups));
}

}  // namespace

void IdleExperiment::Run(const ExperimentOptions& options, ResultTable* results) {
  for (const Deployment& deployment : Deployments()) {
    std::map<std::string, std::vector<std::pair<double, double>>> points;
    for (const uint64_t seed : options.seeds) {
      for (const StragglerResult& result : RunStragglerExperiment(deployment, seed)) {
        AddResults(deployment.name, seed, result, results);
        if (PlottedStrategies().count(result.strategy) > 0) {
          points[result.strategy].emplace_back(result.wasted_tokens, result.idle_s);
        }
      }
    }
    if (options.out.empty()) {
      continue;
    }
    // Each line joins the seeds of one strategy; lines near the origin are better.
    SvgPlot plot("Trainer idle time and wasted tokens, " + deployment.name, "wasted tokens per delivered sample", "s");
    for (auto& [strategy, line] : points) {
      std::sort(line.begin(), line.end());
      plot.AddLine(strategy, line);
    }
    plot.Write(options.out + "/idle_" + deployment.name + ".svg");
  }
}

}  // namespace quetzalridge
