#include <catch2/catch.hpp>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"
#include "tests/history/trainer.h"

namespace quetzalridge::history {
namespace {

// Guards against any guarantee that is broken even without faults.
TEST_CASE("a calm run keeps every guarantee", "[daemon]") {
  Deployment deployment(11);
  Traffic* traffic = deployment.traffic();
  Trainer trainer(&deployment, "trainer", {});
  trainer.Start();
  for (int i = 0; i < 30; ++i) {
    const Caller& caller = deployment.caller(i % 2);
    traffic->StartCompletion(*deployment.AnyDaemon(), caller, {"model", deployment.UniqueText("ask"), 10, i % 3 != 0});
    traffic->StartPlain(*deployment.AnyDaemon(), caller, {"score", "/score", deployment.UniqueText("score")});
    const std::string key = "call-" + std::to_string(i);
    traffic->StartPlain(*deployment.AnyDaemon(), caller, {"book", "/book", deployment.UniqueText("book"), false, key});
    deployment.harness()->RunFor(Duration::Milliseconds(20));
  }
  traffic->StartCompletion(*deployment.daemon(1), {"", "unknown-key", false}, {"model", deployment.UniqueText("ask")});
  traffic->StartPlain(*deployment.daemon(1), {"", "", false}, {"score", "/score", deployment.UniqueText("score")});
  REQUIRE(traffic->WaitAll());
  const bool trained = deployment.harness()->WaitUntil([&] { return trainer.done(); });
  INFO(trainer.Describe());
  REQUIRE(trained);
  deployment.history()->expects_all_samples = true;
  CHECK(deployment.Judge() == Violations{});
  for (const Call& call : deployment.history()->calls) {
    INFO(call.instance << " " << call.status << " " << call.ran << " " << call.hash);
    CHECK(call.outcome == (call.is_authorized ? Outcome::kOk : Outcome::kFail));
  }
}

}  // namespace
}  // namespace quetzalridge::history
