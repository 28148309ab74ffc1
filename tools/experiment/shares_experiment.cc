#include "tools/experiment/shares_experiment.h"

#include <algorithm>
#include <map>
#include <memory>

#include "state/admit_all_policy.h"
#include "state/fair_share_policy.h"
#include "tools/experiment/load_variants.h"
#include "tools/experiment/router_factory.h"
#include "tools/experiment/serving_world.h"
#include "tools/experiment/svg_plot.h"

namespace quetzalridge {

namespace {

// All slots serve about 55 requests/s, so the share of each of the eight workspaces is about 7.
constexpr double kShare = 7;
constexpr double kModestRate = 3.5;
constexpr double kGreedyRate = 10 * kShare;
constexpr double kMissingMs = 60'000;
constexpr double kWarmUpMs = 30'000;
const char* const kGreedy = "greedy";

using Latencies = std::map<std::string, std::vector<double>>;

TrafficSource MakeSource(const std::string& workspace, double rate) {
  TrafficSource source;
  source.workspace = workspace;
  source.rate = [rate](double) { return rate; };
  return source;
}

std::string ModestName(int number) {
  return "modest-" + std::to_string(number);
}

struct Outcome {
  Latencies latencies;
  std::map<std::string, int> shed;
  std::map<std::string, int> served;
};

struct Variant {
  const char* name;
  bool fair = false;
  InstanceRules rules;
};

std::vector<Variant> Variants() {
  std::vector<Variant> variants = {{"admit_all", false, {}}, {"fair_share", true, {}}};
  for (const LoadVariant& load : LoadVariants()) {
    variants.push_back({load.name, true, {}});
    load.ApplyTo(&variants.back().rules);
  }
  return variants;
}

Outcome RunSources(const Deployment& deployment, const Variant& variant, std::vector<TrafficSource> sources,
                   uint64_t seed) {
  ServingOptions options;
  options.deployment = deployment;
  options.seed = seed;
  options.sources = std::move(sources);
  options.rules = variant.rules;
  options.make_router = RouterFactory("prefix_affinity");
  options.make_policy = [fair = variant.fair]() -> std::unique_ptr<AdmissionPolicy> {
    if (fair) {
      return std::make_unique<FairSharePolicy>();
    }
    return std::make_unique<AdmitAllPolicy>();
  };
  Outcome outcome;
  ServingWorld world(options);
  for (const RequestRecord& record : world.Run()) {
    if (record.request->at_ms < kWarmUpMs) {
      continue;
    }
    const std::string& workspace = record.request->workspace;
    outcome.shed[workspace] += record.shed ? 1 : 0;
    outcome.served[workspace] += record.end_ms >= 0 ? 1 : 0;
    outcome.latencies[workspace].push_back(FirstTokenLatency(record, kMissingMs));
  }
  return outcome;
}

}  // namespace

void SharesExperiment::Run(const ExperimentOptions& options, ResultTable* results) {
  for (const Deployment& deployment : Deployments()) {
    const int modest_count = deployment.workspaces - 1;
    for (const uint64_t seed : options.seeds) {
      std::vector<TrafficSource> all = {MakeSource(kGreedy, kGreedyRate)};
      for (int m = 0; m < modest_count; ++m) {
        all.push_back(MakeSource(ModestName(m), kModestRate));
      }
      for (const Variant& variant : Variants()) {
        Outcome beside = RunSources(deployment, variant, all, seed);
        double worst_alone = 0;
        double worst_beside = 0;
        double worst_ratio = 0;
        int shed = 0;
        for (int m = 0; m < modest_count; ++m) {
          const std::string name = ModestName(m);
          Outcome alone = RunSources(deployment, variant, {MakeSource(name, kModestRate)}, seed);
          const double p99_alone = Percentile(alone.latencies[name], 0.99);
          const double p99_beside = Percentile(beside.latencies[name], 0.99);
          worst_alone = std::max(worst_alone, p99_alone);
          worst_beside = std::max(worst_beside, p99_beside);
          worst_ratio = std::max(worst_ratio, p99_beside / p99_alone);
          shed += beside.shed[name];
        }
        const auto add = [&](const char* measure, const char* unit, Better better, double value) {
          results->Add({deployment.name, variant.name, measure, unit, better, seed, value});
        };
        add("worst workspace's first token p99 alone", "ms", Better::kLower, worst_alone);
        add("worst workspace's first token p99 beside", "ms", Better::kLower, worst_beside);
        add("worst ratio of beside to alone", "1", Better::kLower, worst_ratio);
        add("modest requests shed", "requests", Better::kLower, shed);
        add("greedy requests served", "requests", Better::kHigher, beside.served[kGreedy]);
      }
    }
  }
}

}  // namespace quetzalridge
