#include <catch2/catch.hpp>
#include <csignal>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"

namespace quetzalridge::history {
namespace {

int64_t CountOutcome(const History& history, Outcome outcome) {
  int64_t count = 0;
  for (const Call& call : history.calls) {
    count += call.outcome == outcome ? 1 : 0;
  }
  return count;
}

// Guards against cut or mixed answers that pass for whole ones, and against lost idempotent calls, when engines die,
// connections are cut or go silent, and answers carry another caller's identity.
TEST_CASE("endpoint faults give whole answers or errors", "[daemon]") {
  DeploymentOptions options;
  options.engine_arguments = {"--token-ms", "10"};
  Deployment deployment(21, options);
  Traffic* traffic = deployment.traffic();
  ProcessHarness* harness = deployment.harness();
  harness->SetFaults(*deployment.engine(0), R"({"cut_answers":5,"wrong_id":3})");
  harness->SetFaults(*deployment.engine(1), R"({"late_percent":30,"late_ms":400,"straggler_percent":20})");
  harness->SetFaults(*deployment.plain_service(0), R"({"lose_answer":4,"cut_answer":4,"wrong_id":3})");
  for (int i = 0; i < 80; ++i) {
    const Caller& caller = deployment.caller(i % 2);
    traffic->StartCompletion(*deployment.AnyDaemon(), caller, {"model", deployment.UniqueText("ask"), 20, i % 2 == 0});
    traffic->StartPlain(*deployment.AnyDaemon(), caller, {"score", "/score", deployment.UniqueText("score")});
    if (i == 20) {
      deployment.engine(2)->process->Signal(SIGKILL);
    }
    if (i == 40) {
      deployment.engine(1)->relay->SilenceConnections();
    }
    if (i == 50) {
      harness->Restart(deployment.engine(2));
    }
    if (i == 60) {
      deployment.engine(0)->relay->CutConnections();
      deployment.plain_service(1)->relay->SilenceConnections();
    }
    harness->RunFor(Duration::Milliseconds(30));
  }
  REQUIRE(traffic->WaitAll());
  CHECK(deployment.Judge() == Violations{});
  // Streams that had begun may end as unknown; the greater part of the calls must come through.
  CHECK(CountOutcome(*deployment.history(), Outcome::kOk) >= 130);
}

// Guards against a second run of a call whose answer was lost, also when the caller repeats it through another instance
// at the same time, or after the instance that dispatched it died.
TEST_CASE("non-idempotent calls run at most once", "[daemon]") {
  Deployment deployment(22);
  Traffic* traffic = deployment.traffic();
  ProcessHarness* harness = deployment.harness();
  for (size_t i = 0; i < 2; ++i) {
    harness->SetFaults(*deployment.plain_service(i), R"({"lose_answer":6,"work_ms":50})");
  }
  for (int i = 0; i < 40; ++i) {
    const PlainSpec spec = {"book", "/book", deployment.UniqueText("book"), false, "key-" + std::to_string(i)};
    traffic->StartPlain(*deployment.daemon(i % 3), deployment.caller(0), spec);
    traffic->StartPlain(*deployment.daemon((i + 1) % 3), deployment.caller(0), spec);
    traffic->StartPlain(*deployment.AnyDaemon(), deployment.caller(1),
                        {"book", "/book", deployment.UniqueText("book"), false, ""});
    harness->RunFor(Duration::Milliseconds(harness->random()->Below(60)));
    if (i == 15) {
      harness->SetFaults(*harness->platform(), R"({"lose_answer_percent":30})");
    }
    if (i == 20) {
      deployment.daemon(2)->process->Signal(SIGKILL);
    }
    if (i == 25) {
      harness->Restart(deployment.daemon(2));
      harness->SetFaults(*harness->platform(), R"({"lose_answer_percent":null})");
    }
    traffic->StartPlain(*deployment.daemon((i + 2) % 3), deployment.caller(0), spec);
  }
  REQUIRE(traffic->WaitAll());
  CHECK(deployment.Judge() == Violations{});
  CHECK(CountOutcome(*deployment.history(), Outcome::kOk) >= 20);
}

// Guards against a "not run" about a request that was written before its connection broke, and against non-idempotent
// calls that run although the store could not record them.
TEST_CASE("refusals as not run are true while the store is down", "[daemon]") {
  Deployment deployment(23);
  Traffic* traffic = deployment.traffic();
  ProcessHarness* harness = deployment.harness();
  harness->SetFaults(*harness->platform(), R"({"store_down":true})");
  for (int i = 0; i < 30; ++i) {
    traffic->StartPlain(*deployment.AnyDaemon(), deployment.caller(0),
                        {"book", "/book", deployment.UniqueText("book"), false, "down-" + std::to_string(i)});
    traffic->StartPlain(*deployment.AnyDaemon(), deployment.caller(1),
                        {"score", "/score", deployment.UniqueText("score")});
    if (i == 10) {
      deployment.plain_service(0)->relay->SetMode(TcpRelay::Mode::kCut);
    }
    if (i == 20) {
      deployment.plain_service(1)->process->Signal(SIGKILL);
    }
    harness->RunFor(Duration::Milliseconds(20));
  }
  REQUIRE(traffic->WaitAll());
  CHECK(deployment.Judge() == Violations{});
  for (const Call& call : deployment.history()->calls) {
    INFO(call.hash << " " << call.status << " " << call.text);
    CHECK((call.is_idempotent || call.outcome == Outcome::kFail));
  }
}

}  // namespace
}  // namespace quetzalridge::history
