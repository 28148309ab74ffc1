#include "tools/experiment/routing_experiment.h"

#include <map>
#include <memory>

#include "state/admit_all_policy.h"
#include "tools/experiment/load_variants.h"
#include "tools/experiment/router_factory.h"
#include "tools/experiment/serving_world.h"
#include "tools/experiment/svg_plot.h"

namespace quetzalridge {

namespace {

constexpr double kRequestsPerSecond = 22;
constexpr double kMissingMs = 60'000;
// The caches are cold before this time.
constexpr double kWarmUpMs = 30'000;

struct Variant {
  std::string name;
  std::string router;
  LoadVariant load;
};

std::vector<Variant> Variants() {
  std::vector<Variant> variants;
  for (const char* router : {"random", "least_load", "two_choices", "prefix_affinity"}) {
    variants.push_back({router, router, {}});
  }
  for (const LoadVariant& load : LoadVariants()) {
    variants.push_back({std::string("prefix_affinity_") + load.name, "prefix_affinity", load});
  }
  return variants;
}

ServingOptions MakeOptions(const Deployment& deployment, const Variant& variant, uint64_t seed) {
  ServingOptions options;
  options.deployment = deployment;
  options.seed = seed;
  options.make_router = RouterFactory(variant.router);
  variant.load.ApplyTo(&options.rules);
  options.make_policy = [] { return std::make_unique<AdmitAllPolicy>(); };
  options.sources = InteractiveTraffic(deployment.workspaces, [](double) { return kRequestsPerSecond; });
  return options;
}

// Share of one-second bins in which some endpoint got more than three times the mean of requests.
double HerdedSeconds(const std::map<int, std::map<int, int>>& by_second, int replicas) {
  int herded = 0;
  for (const auto& [second, by_endpoint] : by_second) {
    int total = 0;
    int most = 0;
    for (const auto& [endpoint, count] : by_endpoint) {
      total += count;
      most = std::max(most, count);
    }
    herded += most * replicas > 3 * total ? 1 : 0;
  }
  return by_second.empty() ? 0.0 : static_cast<double>(herded) / static_cast<double>(by_second.size());
}

}  // namespace

void RoutingExperiment::Run(const ExperimentOptions& options, ResultTable* results) {
  for (const Deployment& deployment : Deployments()) {
    SvgPlot plot("Time to first token, " + deployment.name, "percentile", "ms");
    for (const Variant& variant : Variants()) {
      std::vector<double> all;
      for (const uint64_t seed : options.seeds) {
        ServingWorld world(MakeOptions(deployment, variant, seed));
        std::vector<double> latencies;
        double cached = 0;
        double prompt = 0;
        std::map<int, std::map<int, int>> by_second;
        for (const RequestRecord& record : world.Run()) {
          if (record.request->at_ms < kWarmUpMs) {
            continue;
          }
          latencies.push_back(FirstTokenLatency(record, kMissingMs));
          cached += record.cached_tokens;
          prompt += record.request->prompt_tokens;
          ++by_second[static_cast<int>(record.request->at_ms / 1000)][record.endpoint];
        }
        const auto add = [&](const char* measure, const char* unit, Better better, double value) {
          results->Add({deployment.name, variant.name, measure, unit, better, seed, value});
        };
        add("first token p50", "ms", Better::kLower, Percentile(latencies, 0.5));
        add("first token p99", "ms", Better::kLower, Percentile(latencies, 0.99));
        add("cached part of the prompt tokens", "1", Better::kHigher, cached / prompt);
        add("seconds with herding", "1", Better::kLower, HerdedSeconds(by_second, deployment.replicas));
        all.insert(all.end(), latencies.begin(), latencies.end());
      }
      std::vector<std::pair<double, double>> points;
      for (int p = 1; p <= 99; ++p) {
        points.push_back({p, Percentile(all, p / 100.0)});
      }
      plot.AddLine(variant.name, points);
    }
    if (!options.out.empty()) {
      plot.Write(options.out + "/routing_" + deployment.name + ".svg");
    }
  }
}

}  // namespace quetzalridge
