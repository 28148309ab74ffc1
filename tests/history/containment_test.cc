#include <catch2/catch.hpp>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"

namespace quetzalridge::history {
namespace {

// Guards against a request that takes down every endpoint because each instance sends it on.
TEST_CASE("a request that crashes endpoints is stopped after two", "[daemon]") {
  DeploymentOptions options;
  options.engines = 4;
  Deployment deployment(24, options);
  Traffic* traffic = deployment.traffic();
  ProcessHarness* harness = deployment.harness();
  for (size_t i = 0; i < 4; ++i) {
    harness->SetFaults(*deployment.engine(i), R"({"crash_on_prompt":"poison"})");
  }
  const std::string prompt = deployment.UniqueText("poison");
  for (int i = 0; i < 8; ++i) {
    traffic->StartCompletion(*deployment.daemon(i % 3), deployment.caller(0), {"model", prompt, 10, i % 2 == 0});
    REQUIRE(traffic->WaitAll());
    traffic->StartCompletion(*deployment.AnyDaemon(), deployment.caller(1), {"model", deployment.UniqueText("ask")});
    // Longer than the interval of the peers' messages, which carry the counts.
    harness->RunFor(Duration::Milliseconds(1500));
  }
  REQUIRE(traffic->WaitAll());
  CHECK(deployment.Judge() == Violations{});
  CHECK(deployment.history()->crashes.size() == 2);
}

}  // namespace
}  // namespace quetzalridge::history
