#include "tools/experiment/zone_loss_experiment.h"

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

constexpr double kInteractiveRate = 22;
// The first leaves the other zones room for all work; the second fills more than the slots that remain.
struct RolloutLoad {
  const char* name;
  double samples_per_second;
};
constexpr RolloutLoad kRolloutLoads[] = {{"light rollouts", 4}, {"heavy rollouts", 10}};
constexpr double kObjectiveMs = 1000;
constexpr double kObjectiveTarget = 0.99;
constexpr double kMissingMs = 60'000;
constexpr int kLossSecond = 60;
constexpr int kEndSecond = 150;
// One window holds about 110 requests, enough to tell 99 %.
constexpr int kWindowSeconds = 5;

struct Variant {
  const char* name;
  bool decision = false;
  InstanceRules rules;
};

std::vector<Variant> Variants() {
  std::vector<Variant> variants = {{"retries_and_list", false, {}}, {"breakers_and_shares", true, {}}};
  for (const LoadVariant& load : LoadVariants()) {
    variants.push_back({load.name, true, {}});
    load.ApplyTo(&variants.back().rules);
  }
  return variants;
}

ServingOptions MakeOptions(const Deployment& deployment, const Variant& variant, double rollouts, uint64_t seed) {
  ServingOptions options;
  options.deployment = deployment;
  options.seed = seed;
  options.end_ms = kEndSecond * 1000.0;
  options.zone_loss_ms = kLossSecond * 1000.0;
  options.sources = InteractiveTraffic(deployment.workspaces, [](double) { return kInteractiveRate; });
  options.sources.push_back(TrainerTraffic("workspace-0", rollouts));
  options.make_router = RouterFactory(variant.decision ? "prefix_affinity" : "random");
  options.rules = variant.rules;
  options.rules.breakers = variant.decision;
  options.make_policy = [decision = variant.decision]() -> std::unique_ptr<AdmissionPolicy> {
    if (decision) {
      return std::make_unique<FairSharePolicy>();
    }
    return std::make_unique<AdmitAllPolicy>();
  };
  return options;
}

struct Second {
  int requests = 0;
  int met = 0;
};

// The part of the requests in the window from this second on that met the objective.
double MetInWindow(const std::vector<Second>& seconds, int from) {
  Second sum;
  for (int s = from; s < std::min(from + kWindowSeconds, kEndSecond); ++s) {
    sum.requests += seconds[s].requests;
    sum.met += seconds[s].met;
  }
  return sum.requests == 0 ? 1.0 : static_cast<double>(sum.met) / sum.requests;
}

// Seconds from the loss to the start of the first window after which all windows meet the objective.
double SecondsToObjective(const std::vector<Second>& seconds) {
  int back = kLossSecond;
  for (int s = kLossSecond; s + kWindowSeconds <= kEndSecond; ++s) {
    if (MetInWindow(seconds, s) < kObjectiveTarget) {
      back = s + 1;
    }
  }
  return back - kLossSecond;
}

struct LossRun {
  std::vector<Second> seconds = std::vector<Second>(kEndSecond);
  int unanswered = 0;
};

LossRun RunLoss(const ServingOptions& options) {
  LossRun run;
  ServingWorld world(options);
  for (const RequestRecord& record : world.Run()) {
    if (record.request->work_class != WorkClass::kInteractive) {
      continue;
    }
    const int second = static_cast<int>(record.request->at_ms / 1000);
    ++run.seconds[second].requests;
    run.seconds[second].met += FirstTokenLatency(record, kMissingMs) <= kObjectiveMs ? 1 : 0;
    run.unanswered += second >= kLossSecond && record.first_token_ms < 0 ? 1 : 0;
  }
  return run;
}

double MetBetween(const std::vector<Second>& seconds, int from, int to) {
  Second sum;
  for (int s = from; s < to; ++s) {
    sum.requests += seconds[s].requests;
    sum.met += seconds[s].met;
  }
  return static_cast<double>(sum.met) / std::max(sum.requests, 1);
}

}  // namespace

void ZoneLossExperiment::Run(const ExperimentOptions& options, ResultTable* results) {
  for (const Deployment& deployment : Deployments()) {
    SvgPlot plot("Requests within the objective, zone lost at 60 s, light rollouts, " + deployment.name, "s", "part");
    for (const RolloutLoad& load : kRolloutLoads) {
      for (const Variant& variant : Variants()) {
        std::vector<Second> sums(kEndSecond);
        for (const uint64_t seed : options.seeds) {
          const LossRun run = RunLoss(MakeOptions(deployment, variant, load.samples_per_second, seed));
          for (int s = 0; s < kEndSecond; ++s) {
            sums[s].requests += run.seconds[s].requests;
            sums[s].met += run.seconds[s].met;
          }
          const auto add = [&](const std::string& measure, const char* unit, Better better, double value) {
            results->Add({deployment.name, variant.name, measure + ", " + load.name, unit, better, seed, value});
          };
          add("within the objective before the loss", "1", Better::kHigher,
              MetBetween(run.seconds, kLossSecond / 2, kLossSecond));
          add("within the objective 10 s to 60 s after the loss", "1", Better::kHigher,
              MetBetween(run.seconds, kLossSecond + 10, kLossSecond + 60));
          add("time back to the objective", "s", Better::kLower, SecondsToObjective(run.seconds));
          add("requests after the loss without an answer", "requests", Better::kLower, run.unanswered);
        }
        std::vector<std::pair<double, double>> points;
        for (int s = kLossSecond - 20; s < kLossSecond + 60; ++s) {
          points.push_back({s, MetBetween(sums, s, s + 1)});
        }
        if (&load == &kRolloutLoads[0]) {
          plot.AddLine(variant.name, points);
        }
      }
    }
    if (!options.out.empty()) {
      plot.Write(options.out + "/zone_loss_" + deployment.name + ".svg");
    }
  }
}

}  // namespace quetzalridge
