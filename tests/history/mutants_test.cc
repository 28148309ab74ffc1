#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"

// Each test runs the daemon of tests/mutants with one mechanism off and guards against a history check that does not
// notice the loss of the mechanism on real processes.

namespace quetzalridge::history {
namespace {

constexpr int kRequests = 10;

DeploymentOptions WithoutMechanism(const std::string& mechanism) {
  DeploymentOptions options;
  options.mechanism_off = mechanism;
  return options;
}

bool Finds(const Violations& violations, const std::string& check) {
  return std::any_of(violations.begin(), violations.end(),
                     [&](const std::string& violation) { return violation.compare(0, check.size(), check) == 0; });
}

TEST_CASE("without the key check, the workspace check finds a violation", "[daemon][mutant]") {
  Deployment deployment(91, WithoutMechanism("key_check"));
  deployment.traffic()->StartCompletion(*deployment.daemon(1), {"", "unknown-key", false},
                                        {"model", deployment.UniqueText("ask")});
  deployment.traffic()->StartPlain(*deployment.daemon(1), {"", "", false},
                                   {"score", "/score", deployment.UniqueText("score")});
  REQUIRE(deployment.traffic()->WaitAll());
  CHECK(Finds(deployment.Judge(), "4 workspace isolation"));
}

TEST_CASE("without the removal of the key, the secrecy check finds a violation", "[daemon][mutant]") {
  Deployment deployment(92, WithoutMechanism("key_removal"));
  deployment.traffic()->StartPlain(*deployment.daemon(1), deployment.caller(0),
                                   {"score", "/score", deployment.UniqueText("score")});
  REQUIRE(deployment.traffic()->WaitAll());
  CHECK(Finds(deployment.Judge(), "5 key secrecy"));
}

// The first request of each endpoint has no earlier answer, so some calls pass before the fault is set.
Violations AnswerOutOfStep(Deployment* deployment) {
  const auto send = [&] {
    for (int i = 0; i < kRequests; ++i) {
      deployment->traffic()->StartPlain(*deployment->daemon(1), deployment->caller(0),
                                        {"score", "/score", deployment->UniqueText("score")});
    }
    REQUIRE(deployment->traffic()->WaitAll());
  };
  send();
  for (size_t i = 0; i < 2; ++i) {
    deployment->harness()->SetFaults(*deployment->plain_service(i), R"({"previous_answer":3})");
  }
  send();
  return deployment->Judge();
}

TEST_CASE("without the check of x-request-id, the answer check finds a violation", "[daemon][mutant]") {
  Deployment deployment(93, WithoutMechanism("request_id_check"));
  CHECK(Finds(AnswerOutOfStep(&deployment), "9 whole answers"));
}

// The same fault with the mechanism on: no other history test answers out of step.
TEST_CASE("answers out of step reach no caller", "[daemon]") {
  Deployment deployment(93);
  CHECK(AnswerOutOfStep(&deployment) == Violations{});
}

TEST_CASE("without the not run rule, the refusal check finds a violation", "[daemon][mutant]") {
  Deployment deployment(94, WithoutMechanism("not_run_rule"));
  for (size_t i = 0; i < 2; ++i) {
    deployment.harness()->SetFaults(*deployment.plain_service(i), R"({"lose_answer":1000})");
  }
  for (int i = 0; i < kRequests; ++i) {
    deployment.traffic()->StartPlain(*deployment.daemon(1), deployment.caller(0),
                                     {"book", "/book", deployment.UniqueText("book"), false, ""});
  }
  REQUIRE(deployment.traffic()->WaitAll());
  CHECK(Finds(deployment.Judge(), "10 not run"));
}

TEST_CASE("without the at-most-once record, the check of runs finds a violation", "[daemon][mutant]") {
  Deployment deployment(95, WithoutMechanism("once_record"));
  const PlainSpec spec = {"book", "/book", deployment.UniqueText("book"), false, "one-key"};
  for (size_t i = 0; i < 3; ++i) {
    deployment.traffic()->StartPlain(*deployment.daemon(i), deployment.caller(0), spec);
  }
  REQUIRE(deployment.traffic()->WaitAll());
  CHECK(Finds(deployment.Judge(), "11 at most once"));
}

TEST_CASE("without the leaving mark, the check of leaving endpoints finds a violation", "[daemon][mutant]") {
  Deployment deployment(96, WithoutMechanism("leaving_mark"));
  ProcessHarness* harness = deployment.harness();
  nlohmann::json instances = nlohmann::json::array();
  instances.push_back({{"id", "engine1"},
                       {"role", "endpoint"},
                       {"service", "default"},
                       {"zone", "z1"},
                       {"address", deployment.engine(0)->relay->address()},
                       {"kind", "cheap"},
                       {"state", "leaving"}});
  harness->SetInstances(nlohmann::json{{"instances", instances}}.dump());
  deployment.history()->leavings.push_back({"engine1", harness->NowMs()});
  for (int i = 0; i < 60; ++i) {
    deployment.traffic()->StartCompletion(*deployment.AnyDaemon(), deployment.caller(0),
                                          {"model", deployment.UniqueText("ask"), 4, false});
    harness->RunFor(Duration::Milliseconds(100));
  }
  REQUIRE(deployment.traffic()->WaitAll());
  CHECK(Finds(deployment.Judge(), "12 leaving endpoints"));
}

TEST_CASE("without the graceful shutdown, the check of planned stops finds a violation", "[daemon][mutant]") {
  DeploymentOptions options = WithoutMechanism("graceful_shutdown");
  options.engine_arguments = {"--token-ms", "10"};
  Deployment deployment(97, options);
  ProcessHarness* harness = deployment.harness();
  for (int i = 0; i < kRequests; ++i) {
    deployment.traffic()->StartCompletion(*deployment.daemon(1), deployment.caller(0),
                                          {"model", deployment.UniqueText("ask"), 500, true});
  }
  REQUIRE(harness->WaitUntil([&] { return deployment.traffic()->streaming() > 0; }));
  harness->RunFor(Duration::Milliseconds(300));
  PlannedStop stop{"entry2", harness->NowMs(), false};
  deployment.daemon(1)->process->Signal(SIGTERM);
  stop.exited_cleanly =
      harness->WaitEnded(deployment.daemon(1)->process.get()) && deployment.daemon(1)->process->exit_status() == 0;
  deployment.history()->planned_stops.push_back(stop);
  REQUIRE(deployment.traffic()->WaitAll());
  // An unclean end alone would count as a violation as well; here the process ends cleanly and cuts its streams.
  CHECK(stop.exited_cleanly);
  CHECK(Finds(deployment.Judge(), "13 planned stops"));
}

}  // namespace
}  // namespace quetzalridge::history
