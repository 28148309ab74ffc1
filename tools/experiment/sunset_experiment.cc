#include "tools/experiment/sunset_experiment.h"

#include <algorithm>
#include <memory>

#include "state/admit_all_policy.h"
#include "state/fair_share_policy.h"
#include "tools/experiment/load_variants.h"
#include "tools/experiment/router_factory.h"
#include "tools/experiment/serving_world.h"
#include "tools/experiment/svg_plot.h"

namespace quetzalridge {

namespace {

constexpr double kQuietRate = 6;
constexpr double kPeakRate = 34;
// Two trainers ask for more than the engines can do beside the peak.
constexpr double kRolloutRate = 16;
constexpr double kMissingMs = 60'000;
// A day in small: a quiet time, a rise, and the peak.
constexpr double kWarmUpMs = 30'000;
constexpr double kQuietEndMs = 110'000;
constexpr double kPeakStartMs = 150'000;
constexpr double kEndMs = 240'000;

struct Variant {
  const char* name;
  bool fair_shares;
  bool engine_priority;
  bool preempt;
  LoadVariant load;
};

std::vector<Variant> Variants() {
  std::vector<Variant> variants = {
      {"no_priority", false, false, false, {}},
      {"engine_priority", false, true, false, {}},
      {"shares_without_preemption", true, true, false, {}},
      {"shares_and_preemption", true, true, true, {}},
  };
  for (const LoadVariant& load : LoadVariants()) {
    variants.push_back({load.name, true, true, true, load});
  }
  return variants;
}

double RateAt(double at_ms) {
  if (at_ms < kQuietEndMs) {
    return kQuietRate;
  }
  const double rise = std::min(1.0, (at_ms - kQuietEndMs) / (kPeakStartMs - kQuietEndMs));
  return kQuietRate + rise * (kPeakRate - kQuietRate);
}

ServingOptions MakeOptions(const Deployment& deployment, const Variant& variant, uint64_t seed) {
  ServingOptions options;
  options.deployment = deployment;
  options.seed = seed;
  options.end_ms = kEndMs;
  options.sources = InteractiveTraffic(deployment.workspaces, RateAt);
  options.sources.push_back(TrainerTraffic("workspace-0", kRolloutRate));
  options.sources.push_back(TrainerTraffic("workspace-1", kRolloutRate));
  options.make_router = RouterFactory("prefix_affinity");
  variant.load.ApplyTo(&options.rules);
  options.rules.engine_priority = variant.engine_priority;
  options.rules.preempt = variant.preempt;
  options.make_policy = [fair = variant.fair_shares]() -> std::unique_ptr<AdmissionPolicy> {
    if (fair) {
      return std::make_unique<FairSharePolicy>();
    }
    return std::make_unique<AdmitAllPolicy>();
  };
  return options;
}

}  // namespace

void SunsetExperiment::Run(const ExperimentOptions& options, ResultTable* results) {
  for (const Deployment& deployment : Deployments()) {
    for (const Variant& variant : Variants()) {
      for (const uint64_t seed : options.seeds) {
        std::vector<double> quiet;
        std::vector<double> peak;
        int samples = 0;
        int shed = 0;
        ServingWorld world(MakeOptions(deployment, variant, seed));
        for (const RequestRecord& record : world.Run()) {
          const double at = record.request->at_ms;
          if (record.request->work_class == WorkClass::kRollout) {
            samples += record.end_ms >= kPeakStartMs && record.end_ms < kEndMs ? 1 : 0;
          } else if (at >= kWarmUpMs && at < kQuietEndMs) {
            quiet.push_back(FirstTokenLatency(record, kMissingMs));
          } else if (at >= kPeakStartMs) {
            peak.push_back(FirstTokenLatency(record, kMissingMs));
            shed += record.shed ? 1 : 0;
          }
        }
        const auto add = [&](const char* measure, const char* unit, Better better, double value) {
          results->Add({deployment.name, variant.name, measure, unit, better, seed, value});
        };
        const double p99_quiet = Percentile(quiet, 0.99);
        const double p99_peak = Percentile(peak, 0.99);
        add("interactive first token p99, quiet", "ms", Better::kLower, p99_quiet);
        add("interactive first token p99, peak", "ms", Better::kLower, p99_peak);
        add("ratio of peak to quiet", "1", Better::kLower, p99_peak / p99_quiet);
        add("interactive requests shed at the peak", "requests", Better::kLower, shed);
        add("samples finished at the peak", "1/s", Better::kHigher, samples / ((kEndMs - kPeakStartMs) / 1000.0));
      }
    }
  }
}

}  // namespace quetzalridge
