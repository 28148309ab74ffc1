#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"
#include "tests/history/fault_injector.h"
#include "tests/history/monitor.h"
#include "tests/history/trainer.h"

namespace quetzalridge::history {
namespace {

constexpr Duration kTurn = Duration::Milliseconds(50);
constexpr size_t kMaxInFlight = 60;
constexpr Duration kRecoveryLimit = Duration::Seconds(120);

// One turn of the callers: each kind of request, sometimes a repetition through another instance.
void SendOneRound(Deployment* deployment, int64_t round) {
  Traffic* traffic = deployment->traffic();
  if (traffic->in_flight() > kMaxInFlight) {
    return;
  }
  const Caller& caller = deployment->caller(round % 2);
  traffic->StartCompletion(*deployment->AnyDaemon(), caller,
                           {"model", deployment->UniqueText("ask"), 5 + round % 30, round % 2 == 0});
  traffic->StartPlain(*deployment->AnyDaemon(), caller, {"score", "/score", deployment->UniqueText("score")});
  const PlainSpec book = {"book", "/book", deployment->UniqueText("book"), false, "key-" + std::to_string(round)};
  traffic->StartPlain(*deployment->AnyDaemon(), caller, book);
  if (round % 3 == 0) {
    traffic->StartPlain(*deployment->AnyDaemon(), caller, book);
  }
  if (round % 10 == 0) {
    traffic->StartCompletion(*deployment->AnyDaemon(), {"", "unknown", false},
                             {"model", deployment->UniqueText("unknown")});
  }
}

void RunMixedFaults(uint64_t seed, int64_t seconds) {
  DeploymentOptions options;
  options.staleness_bound = 100;
  options.timing = R"({"usage_window_ms":4000,"usage_flush_ms":1000,"usage_grace_ms":3000})";
  Deployment deployment(seed, options);
  ProcessHarness* harness = deployment.harness();
  Monitor monitor(&deployment);
  TrainerOptions training;
  training.steps = static_cast<int>(seconds / 5 + 1);
  Trainer trainer(&deployment, "trainer", training);
  trainer.Start();
  FaultInjector injector(&deployment, seed);
  const int64_t end_ms = harness->NowMs() + seconds * 1000;
  for (int64_t round = 0; harness->NowMs() < end_ms; ++round) {
    injector.Step();
    SendOneRound(&deployment, round);
    harness->RunFor(kTurn);
  }
  injector.HealAll();
  CHECK(harness->WaitReady());
  CHECK(deployment.traffic()->WaitAll());
  const bool trained = harness->WaitUntil([&] { return trainer.done(); }, kRecoveryLimit);
  INFO("seed " << seed << "; " << trainer.Describe());
  CHECK(trained);
  deployment.history()->expects_all_samples = trained;
  CHECK(deployment.Judge() == Violations{});
  std::cout << "faults " << injector.log().size() << std::endl;
}

// Guards against any guarantee that breaks only when faults occur at the same time or twice.
TEST_CASE("mixed faults keep every guarantee", "[daemon][mixed]") {
  RunMixedFaults(71, 20);
}

// scripts/soak.sh runs this for longer, with the seed and the seconds in the environment.
TEST_CASE("soak", "[.][soak]") {
  const char* seed = std::getenv("QUETZALRIDGE_SOAK_SEED");
  const char* seconds = std::getenv("QUETZALRIDGE_SOAK_SECONDS");
  REQUIRE(seed != nullptr);
  REQUIRE(seconds != nullptr);
  RunMixedFaults(std::strtoull(seed, nullptr, 10), std::atoll(seconds));
}

}  // namespace
}  // namespace quetzalridge::history
