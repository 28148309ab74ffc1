#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"
#include "tests/history/trainer.h"

namespace quetzalridge::history {
namespace {

// Guards against a planned stop that cuts requests in progress, loses the samples of the instance, or never ends.
TEST_CASE("a planned stop cuts no request", "[daemon]") {
  DeploymentOptions options;
  options.engine_arguments = {"--token-ms", "10"};
  Deployment deployment(41, options);
  ProcessHarness* harness = deployment.harness();
  Traffic* traffic = deployment.traffic();
  Trainer trainer(&deployment, "trainer", {});
  trainer.Start();
  for (int i = 0; i < 10; ++i) {
    traffic->StartCompletion(*deployment.daemon(1), deployment.caller(0),
                             {"model", deployment.UniqueText("ask"), 500, i % 2 == 0});
    traffic->StartPlain(*deployment.daemon(1), deployment.caller(0),
                        {"score", "/score", deployment.UniqueText("score")});
  }
  harness->RunFor(Duration::Milliseconds(500));
  PlannedStop stop{"entry2", harness->NowMs(), false};
  deployment.daemon(1)->process->Signal(SIGTERM);
  // Callers go on for the time that the load balancer needs to notice.
  for (int i = 0; i < 10; ++i) {
    traffic->StartCompletion(*deployment.daemon(1), deployment.caller(0),
                             {"model", deployment.UniqueText("ask"), 10, true});
    harness->RunFor(Duration::Milliseconds(100));
  }
  CHECK(!harness->IsReady(*deployment.daemon(1)));
  REQUIRE(traffic->WaitAll());
  const bool ended = harness->WaitEnded(deployment.daemon(1)->process.get());
  stop.exited_cleanly = ended && deployment.daemon(1)->process->exit_status() == 0;
  deployment.history()->planned_stops.push_back(stop);
  const bool trained = harness->WaitUntil([&] { return trainer.done(); }, Duration::Seconds(90));
  INFO(trainer.Describe());
  CHECK(trained);
  deployment.history()->expects_all_samples = true;
  CHECK(deployment.Judge() == Violations{});
}

// Guards against new work for an endpoint that the platform shows as leaving.
TEST_CASE("a leaving endpoint gets no new work", "[daemon]") {
  DeploymentOptions options;
  options.platform_arguments = {"--list-lag-ms", "500"};
  Deployment deployment(42, options);
  ProcessHarness* harness = deployment.harness();
  nlohmann::json instances = nlohmann::json::array();
  for (size_t i = 0; i < 3; ++i) {
    instances.push_back({{"id", deployment.engine(i)->id},
                         {"role", "endpoint"},
                         {"service", "default"},
                         {"zone", "z" + std::to_string(i + 1)},
                         {"address", deployment.engine(i)->relay->address()},
                         {"kind", "cheap"},
                         {"state", i == 0 ? "leaving" : "live"}});
  }
  Trainer trainer(&deployment, "trainer", {});
  trainer.Start();
  harness->SetInstances(nlohmann::json{{"instances", instances}}.dump());
  deployment.history()->leavings.push_back({"engine1", harness->NowMs() + 500});
  for (int i = 0; i < 60; ++i) {
    deployment.traffic()->StartCompletion(*deployment.AnyDaemon(), deployment.caller(i % 2),
                                          {"model", deployment.UniqueText("ask"), 4, false});
    harness->RunFor(Duration::Milliseconds(100));
  }
  REQUIRE(deployment.traffic()->WaitAll());
  const bool trained = harness->WaitUntil([&] { return trainer.done(); });
  INFO(trainer.Describe());
  CHECK(trained);
  CHECK(deployment.Judge() == Violations{});
  for (const Call& call : deployment.history()->calls) {
    CHECK(call.outcome == Outcome::kOk);
  }
}

// Guards against an instance that never serves again after it was paused, with connections that ended meanwhile.
TEST_CASE("a paused instance serves again", "[daemon]") {
  Deployment deployment(43);
  ProcessHarness* harness = deployment.harness();
  for (int pause = 0; pause < 3; ++pause) {
    deployment.daemon(1)->process->Signal(SIGSTOP);
    for (int i = 0; i < 60; ++i) {
      deployment.traffic()->StartCompletion(*deployment.daemon(1), deployment.caller(0),
                                            {"model", deployment.UniqueText("ask"), 10, true});
      harness->RunFor(Duration::Milliseconds(50));
    }
    CHECK(!harness->IsReady(*deployment.daemon(1)));
    deployment.daemon(1)->process->Signal(SIGCONT);
    CHECK(harness->WaitReady());
  }
  REQUIRE(deployment.traffic()->WaitAll());
  CHECK(deployment.Judge() == Violations{});
}

}  // namespace
}  // namespace quetzalridge::history
