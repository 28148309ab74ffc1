#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr int kItems = 12;

int CompletedWithScore(const BatchFixture& fixture, const BatchPage& page) {
  return static_cast<int>(
      std::count_if(page.results.begin(), page.results.end(), [&fixture](const BatchResult& result) {
        return result.state == BatchResultState::kCompleted && fixture.ScoreError(result).empty();
      }));
}

std::map<std::string, int> RunsFromTheBeginning(const BatchFixture& fixture) {
  std::map<std::string, int> runs;
  for (const ItemRunRecord& run : fixture.engines.runs) {
    runs[run.item] += run.resume_after.has_value() ? 0 : 1;
  }
  return runs;
}

// Advances until the texts of all items are generated and their streams have ended.
void AdvanceUntilGenerated(BatchFixture* fixture, size_t items) {
  while (fixture->engines.generated_at.size() < items) {
    fixture->scheduler.Advance(Duration::Milliseconds(5));
  }
  fixture->scheduler.Advance(fixture->engines.event_gap);
}

// Guards against results that are listed without a score, with that of another item, or with one that was requested
// before the text was complete.
TEST_CASE("each result of a job with reward calls has the score of its own call") {
  BatchFixture fixture(1);
  fixture.engines.truncation_chance = 0.1;
  fixture.engines.lost_score_chance = 0.2;
  fixture.engines.refused_score_chance = 0.2;
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", kItems))) ==
          SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(15));
  for (const char* reader : {"one", "two"}) {
    const BatchPage page = fixture.Read(reader, "job", 0);
    CHECK(page.results.size() == kItems);
    CHECK(CompletedWithScore(fixture, page) == kItems);
  }
}

// Guards against an oracle that accepts anything.
TEST_CASE("the oracle of scores rejects missing, foreign and early scores") {
  BatchFixture fixture(1);
  fixture.engines.reward_calls = {{TimePoint() + Duration::Milliseconds(10), "one", "score-of-a", "a.0"},
                                  {TimePoint() + Duration::Milliseconds(30), "one", "score-of-a", "a.1"}};
  fixture.engines.generated_at["a"] = TimePoint() + Duration::Milliseconds(20);
  BatchResult result;
  result.item = "a";
  CHECK(fixture.ScoreError(result) == "completed without a score");
  result.score = "a.0";
  CHECK(fixture.ScoreError(result) == "scored before its text was complete");
  result.score = "a.1";
  CHECK(fixture.ScoreError(result).empty());
  result.item = "b";
  CHECK(fixture.ScoreError(result) == "the score of another item");
}

// Guards against texts that are generated again because their owner was lost while their scores were requested.
TEST_CASE("a new owner repeats the reward calls and generates no complete text again") {
  BatchFixture fixture(2);
  fixture.engines.score_time = Duration::Seconds(30);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", kItems))) ==
          SubmitOutcome::kAccepted);
  AdvanceUntilGenerated(&fixture, kItems);
  // The texts are stored within this time.
  fixture.scheduler.Advance(Duration::Milliseconds(200));
  REQUIRE(!fixture.engines.reward_calls.empty());
  fixture.KillInstance("one");
  fixture.engines.score_time = Duration::Milliseconds(30);
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(CompletedWithScore(fixture, fixture.Read("two", "job", 0)) == kItems);
  for (const auto& [item, runs] : RunsFromTheBeginning(fixture)) {
    INFO(item);
    CHECK(runs == 1);
  }
}

// Guards against reward calls that are sent before their texts are stored, so that the loss of the owner at that moment
// would cost the texts.
TEST_CASE("no reward call is sent before its text is stored") {
  BatchFixture fixture(3);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", 1))) ==
          SubmitOutcome::kAccepted);
  while (fixture.engines.reward_calls.empty()) {
    fixture.scheduler.Advance(Duration::Milliseconds(1));
  }
  CHECK(fixture.table.ReadRows({BatchTextKey("job", "job-item-0", 0)}).rows.front().version > 0);
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK(CompletedWithScore(fixture, fixture.Read("one", "job", 0)) == 1);
  // The write of the result removes the text.
  CHECK(fixture.table.ReadRows({BatchTextKey("job", "job-item-0", 0)}).rows.front().version == 0);
}

// Guards against two lists of results when an owner that was paused between the reward calls and the write of the
// results is resumed.
TEST_CASE("an owner that was paused before it listed its scores changes no result") {
  BatchFixture fixture(4);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", kItems))) ==
          SubmitOutcome::kAccepted);
  AdvanceUntilGenerated(&fixture, kItems);
  fixture.scheduler.Advance(Duration::Milliseconds(60));
  fixture.PauseInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(8));
  const BatchPage before = fixture.Read("two", "job", 0);
  CHECK(CompletedWithScore(fixture, before) == kItems);
  fixture.ResumeInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(4));
  for (const char* reader : {"one", "two"}) {
    const BatchPage after = fixture.Read(reader, "job", 0);
    REQUIRE(after.results.size() == before.results.size());
    for (size_t i = 0; i < after.results.size(); ++i) {
      CHECK(after.results[i].item == before.results[i].item);
      CHECK(after.results[i].score == before.results[i].score);
    }
  }
}

// Guards against a trainer that waits for a reward call that fails each time.
TEST_CASE("a reward call that always fails ends its item early, with as many attempts as the routes allow") {
  BatchFixture fixture(5);
  const std::string item = "job-item-3";
  fixture.engines.failing_calls = {BatchFixture::RewardCallId(item)};
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", kItems))) ==
          SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(2));
  const BatchPage page = fixture.Read("one", "job", 0);
  REQUIRE(page.results.size() == kItems);
  for (const BatchResult& result : page.results) {
    CHECK((result.state == BatchResultState::kFailed) == (result.item == item));
  }
  const auto attempts =
      std::count_if(fixture.engines.reward_calls.begin(), fixture.engines.reward_calls.end(),
                    [&item](const RewardCallRecord& record) { return record.id == BatchFixture::RewardCallId(item); });
  // The route of the reward calls allows four attempts, that of the job three.
  CHECK(attempts == 4);
}

// Guards against reward calls of an ended job.
TEST_CASE("the end of a job cancels its reward calls") {
  BatchFixture fixture(6);
  fixture.engines.score_time = Duration::Seconds(30);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", kItems))) ==
          SubmitOutcome::kAccepted);
  AdvanceUntilGenerated(&fixture, kItems);
  fixture.instances.at("one")->coordinator.End("job", kBatchWorkspace, [](BatchCallStatus) {});
  fixture.scheduler.Advance(Duration::Milliseconds(100));
  const size_t sent = fixture.engines.reward_calls.size();
  fixture.scheduler.Advance(Duration::Seconds(20));
  CHECK(fixture.engines.reward_calls.size() == sent);
  CHECK(fixture.instances.at("one")->coordinator.missing_scores() == 0);
}

// Guards against a text that is generated again when the trainer repeats an unfinished item in its next job.
TEST_CASE("a later job with the same items scores the texts of an ended one") {
  BatchFixture fixture(7);
  fixture.engines.score_time = Duration::Seconds(30);
  fixture.StartInstance("one");
  BatchSpec first = BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", kItems));
  REQUIRE(fixture.Submit("one", first) == SubmitOutcome::kAccepted);
  AdvanceUntilGenerated(&fixture, kItems);
  fixture.instances.at("one")->coordinator.End("job", kBatchWorkspace, [](BatchCallStatus) {});
  fixture.scheduler.Advance(Duration::Seconds(1));
  fixture.engines.score_time = Duration::Milliseconds(30);
  BatchSpec second = first;
  second.id = "second";
  REQUIRE(fixture.Submit("one", second) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(4));
  CHECK(CompletedWithScore(fixture, fixture.Read("one", "second", 0)) == kItems);
  for (const auto& [item, runs] : RunsFromTheBeginning(fixture)) {
    INFO(item);
    CHECK(runs == 1);
  }
}

// Guards against calls that are lost, or sent to the wrong place, while their host has no route.
TEST_CASE("reward calls wait while their host has no route") {
  BatchFixture fixture(8);
  fixture.StartInstance("one");
  BatchFixture::Instance& instance = *fixture.instances.at("one");
  ServingConfig config = instance.routes.config();
  const std::vector<ServiceRoute> routes = config.routes;
  config.version = 2;
  config.routes = {routes[0]};
  instance.routes.Apply(config);
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", kItems))) ==
          SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(3));
  CHECK(fixture.engines.reward_calls.empty());
  CHECK(fixture.Read("one", "job", 0).results.empty());
  config.version = 3;
  config.routes = routes;
  instance.routes.Apply(config);
  fixture.scheduler.Advance(Duration::Seconds(3));
  CHECK(CompletedWithScore(fixture, fixture.Read("one", "job", 0)) == kItems);
}

// Guards against a planned stop that loses texts whose scores are missing.
TEST_CASE("a job whose reward calls wait is handed over with its texts") {
  BatchFixture fixture(9);
  fixture.engines.score_time = Duration::Seconds(30);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", kItems))) ==
          SubmitOutcome::kAccepted);
  AdvanceUntilGenerated(&fixture, kItems);
  bool drained = false;
  fixture.instances.at("one")->coordinator.Drain([&drained] { drained = true; });
  fixture.engines.score_time = Duration::Milliseconds(30);
  fixture.scheduler.Advance(Duration::Seconds(3));
  CHECK(drained);
  CHECK(CompletedWithScore(fixture, fixture.Read("two", "job", 0)) == kItems);
  for (const auto& [item, runs] : RunsFromTheBeginning(fixture)) {
    INFO(item);
    CHECK(runs == 1);
  }
}

// Guards against an outage of the table that keeps scores from being requested.
TEST_CASE("scores are requested during an outage of the table") {
  BatchFixture fixture(10);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", kItems))) ==
          SubmitOutcome::kAccepted);
  fixture.table.unavailable = true;
  fixture.scheduler.Advance(Duration::Seconds(4));
  std::set<std::string> scored;
  for (const RewardCallRecord& record : fixture.engines.reward_calls) {
    scored.insert(record.signature.empty() ? "" : record.id);
  }
  CHECK(scored.size() == kItems);
  fixture.table.unavailable = false;
  fixture.scheduler.Advance(Duration::Seconds(3));
  CHECK(CompletedWithScore(fixture, fixture.Read("one", "job", 0)) == kItems);
}

// Guards against complete texts that wait for their score while endpoints of another service of the scoring route's
// split are free.
TEST_CASE("reward calls of a service without endpoints, or whose endpoints do not respond, run on the other one") {
  for (const bool is_lost : {true, false}) {
    INFO("lost: " << is_lost);
    BatchFixture fixture(7);
    fixture.score_split = {{"lost", 50}, {kScoreService, 50}};
    if (!is_lost) {
      fixture.engines.services["engine-3"] = "lost";
      fixture.engines.unresponsive_scorers = {"engine-3"};
    }
    fixture.StartInstance("one");
    REQUIRE(fixture.Submit("one", BatchFixture::WithRewardCalls(BatchFixture::MakeJob("job", 2 * kItems))) ==
            SubmitOutcome::kAccepted);
    fixture.scheduler.Advance(Duration::Seconds(5));
    CHECK(CompletedWithScore(fixture, fixture.Read("one", "job", 0)) == 2 * kItems);
  }
}

// Guards against stored results that are read without the score that their last part holds, and against rows of earlier
// versions of the program that can no longer be read.
TEST_CASE("scores and reward calls are stored, and rows without them are still read") {
  BatchResult result;
  result.item = "i";
  result.state = BatchResultState::kCompleted;
  result.text = "text";
  result.score = "3e1b.07";
  const std::string value = EncodeBatchResult(result);
  REQUIRE(DecodeBatchResult(value).has_value());
  CHECK(DecodeBatchResult(value)->score == result.score);
  CHECK(DecodeBatchResult(value)->state == BatchResultState::kCompleted);
  for (size_t size = 0; size < value.size(); ++size) {
    INFO(size);
    CHECK_FALSE(DecodeBatchResult(value.substr(0, size)).has_value());
  }
  result.score.clear();
  CHECK(DecodeBatchResult(EncodeBatchResult(result))->score.empty());

  std::vector<BatchItem> items = BatchFixture::MakeJob("job", 3).items;
  CHECK_FALSE(DecodeBatchItems(EncodeBatchItems(items))->at(1).reward_call.has_value());
  items[1].reward_call = RewardCall{"c", "h", "/t", std::string("\0b", 2)};
  const std::optional<std::vector<BatchItem>> decoded = DecodeBatchItems(EncodeBatchItems(items));
  REQUIRE(decoded.has_value());
  CHECK_FALSE(decoded->at(0).reward_call.has_value());
  REQUIRE(decoded->at(1).reward_call.has_value());
  CHECK(decoded->at(1).reward_call->body == std::string("\0b", 2));
}

// Guards against token counts that are lost when another instance takes a job over, and against items that an earlier
// version of the program has stored and this one rejects.
TEST_CASE("stored items keep their token counts, with and without reward calls") {
  std::vector<BatchItem> items = BatchFixture::MakeJob("job", 3).items;
  CHECK(DecodeBatchItems(EncodeBatchItems(items))->at(2).requested_tokens == 0);
  items[2].requested_tokens = 940;
  CHECK(DecodeBatchItems(EncodeBatchItems(items))->at(2).requested_tokens == 940);
  items[1].reward_call = RewardCall{"c", "h", "/t", "b"};
  const std::optional<std::vector<BatchItem>> decoded = DecodeBatchItems(EncodeBatchItems(items));
  REQUIRE(decoded.has_value());
  CHECK(decoded->at(2).requested_tokens == 940);
  CHECK(decoded->at(1).reward_call->body == "b");
}

}  // namespace
}  // namespace quetzalridge
