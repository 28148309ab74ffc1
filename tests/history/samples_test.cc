#include <catch2/catch.hpp>
#include <csignal>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"
#include "tests/history/trainer.h"

namespace quetzalridge::history {
namespace {

constexpr Duration kTrainingLimit = Duration::Seconds(60);

// Waits until every sample of the trainer was delivered, then judges the run.
void FinishAndJudge(Deployment* deployment, const Trainer& trainer) {
  const bool trained = deployment->harness()->WaitUntil([&] { return trainer.done(); }, kTrainingLimit);
  INFO(trainer.Describe());
  REQUIRE(trained);
  deployment->history()->expects_all_samples = true;
  CHECK(deployment->Judge() == Violations{});
}

// Guards against stamps that follow the order to load weights, and against samples that grow too old while they wait:
// weights change several times in each step, and swaps fail.
TEST_CASE("samples are fresh and truly stamped while weights change", "[daemon]") {
  DeploymentOptions options;
  options.staleness_bound = 1;
  options.engine_arguments = {"--token-ms", "20", "--swap-ms", "100"};
  Deployment deployment(51, options);
  ProcessHarness* harness = deployment.harness();
  TrainerOptions training;
  training.steps = 3;
  training.max_tokens = 30;
  harness->SetFaults(*deployment.engine(0), R"({"swap_fail":2})");
  Trainer trainer(&deployment, "trainer", training);
  trainer.Start();
  for (int64_t version = 2; version <= 5; ++version) {
    harness->RunFor(Duration::Milliseconds(400 + harness->random()->Below(600)));
    harness->PublishWeights("default", version);
  }
  FinishAndJudge(&deployment, trainer);
}

// Guards against lost and repeated samples when an instance dies in the middle of a step and answers of the store are
// lost after their effect.
TEST_CASE("samples are delivered once when instances die and answers are lost", "[daemon]") {
  Deployment deployment(52);
  ProcessHarness* harness = deployment.harness();
  TrainerOptions training;
  training.steps = 4;
  training.max_tokens = 40;
  Trainer trainer(&deployment, "trainer", training);
  trainer.Start();
  harness->RunFor(Duration::Milliseconds(300));
  harness->SetFaults(*harness->platform(), R"({"lose_answer_percent":20})");
  harness->RunFor(Duration::Milliseconds(300));
  for (const size_t victim : {size_t{1}, size_t{2}}) {
    deployment.daemon(victim)->process->Signal(SIGKILL);
    harness->RunFor(Duration::Milliseconds(harness->random()->Below(1500)));
    harness->Restart(deployment.daemon(victim));
  }
  harness->SetFaults(*harness->platform(), R"({"lose_answer_percent":null})");
  FinishAndJudge(&deployment, trainer);
}

// Guards against samples that are handed over from memory while the store is down, and against work that is lost when a
// paused instance wakes up after its groups were taken over.
TEST_CASE("samples survive a store outage and a paused instance", "[daemon]") {
  Deployment deployment(53);
  ProcessHarness* harness = deployment.harness();
  TrainerOptions training;
  training.steps = 3;
  training.max_tokens = 40;
  Trainer trainer(&deployment, "trainer", training);
  trainer.Start();
  harness->RunFor(Duration::Milliseconds(200));
  harness->SetFaults(*harness->platform(), R"({"store_down":true})");
  harness->RunFor(Duration::Seconds(2));
  harness->SetFaults(*harness->platform(), R"({"store_down":null,"slow_answer_ms":300})");
  harness->RunFor(Duration::Seconds(1));
  deployment.daemon(1)->process->Signal(SIGSTOP);
  deployment.engine(2)->relay->SilenceConnections();
  harness->SetFaults(*harness->platform(), R"({"slow_answer_ms":null})");
  harness->RunFor(Duration::Seconds(4));
  deployment.daemon(1)->process->Signal(SIGCONT);
  FinishAndJudge(&deployment, trainer);
}

// Guards against samples that are handed over while the newest weight version cannot be read: what is fresh then is not
// known.
TEST_CASE("no sample is handed over while the weight store is down", "[daemon]") {
  DeploymentOptions options;
  options.staleness_bound = 1;
  Deployment deployment(54, options);
  ProcessHarness* harness = deployment.harness();
  TrainerOptions training;
  training.steps = 3;
  training.max_tokens = 40;
  Trainer trainer(&deployment, "trainer", training);
  trainer.Start();
  harness->SetFaults(*harness->platform(), R"({"weights_down":true})");
  const int64_t down_ms = harness->NowMs();
  harness->RunFor(Duration::Seconds(4));
  const int64_t up_ms = harness->NowMs();
  CHECK_FALSE(trainer.done());
  harness->SetFaults(*harness->platform(), R"({"weights_down":null})");
  harness->PublishWeights("default", 2);
  FinishAndJudge(&deployment, trainer);
  // A version that was read just before the outage holds for 500 ms, and the answer may be under way for 100 ms.
  for (const DeliveredBatch& batch : deployment.history()->batches) {
    CHECK((batch.received_ms < down_ms + 600 || batch.received_ms > up_ms));
  }
}

}  // namespace
}  // namespace quetzalridge::history
