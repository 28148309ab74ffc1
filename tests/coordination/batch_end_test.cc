#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr int kItems = 20;

bool IsEndStored(BatchFixture* fixture) {
  return fixture->table.Row(BatchEndKey("job")).version != 0;
}

// Sends the end of the job to an instance. The statuses of the responses arrive in the result.
std::shared_ptr<std::vector<BatchCallStatus>> SendEnd(BatchFixture* fixture, const std::string& instance) {
  auto statuses = std::make_shared<std::vector<BatchCallStatus>>();
  fixture->instances.at(instance)->coordinator.End("job", kBatchWorkspace,
                                                   [statuses](BatchCallStatus status) { statuses->push_back(status); });
  return statuses;
}

const std::vector<BatchCallStatus> kRefused = {BatchCallStatus::kUnavailable};

void CheckThatAllItemsRun(BatchFixture* fixture, const std::string& reader) {
  fixture->scheduler.Advance(Duration::Seconds(20));
  CHECK_FALSE(IsEndStored(fixture));
  const BatchPage page = fixture->Read(reader, "job", 0);
  CHECK(page.results.size() == kItems);
  for (const BatchResult& result : page.results) {
    CHECK(result.state == BatchResultState::kCompleted);
  }
}

// Guards against an end that takes effect although its caller was told that it never would: it stopped the items at
// once and was stored as soon as the table was back.
TEST_CASE("an end that was refused has no effect, at whichever instance it arrived") {
  for (const char* receiver : {"one", "two"}) {
    INFO("end at " << receiver);
    BatchFixture fixture(1);
    fixture.engines.event_gap = Duration::Milliseconds(200);
    fixture.StartInstance("one");
    fixture.StartInstance("two");
    REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
    fixture.scheduler.Advance(Duration::Seconds(1));
    fixture.table.unavailable = true;
    const auto first = SendEnd(&fixture, receiver);
    const auto second = SendEnd(&fixture, receiver);
    fixture.scheduler.Advance(Duration::Milliseconds(1500));
    CHECK(*first == kRefused);
    CHECK(*second == kRefused);
    fixture.table.unavailable = false;
    CheckThatAllItemsRun(&fixture, "one");
  }
}

// Guards against a refused end that is remembered until the job is loaded.
TEST_CASE("an end that was refused while the job loads has no effect") {
  BatchFixture fixture(2);
  fixture.StartInstance("one");
  fixture.table.scan_delay = [](const std::string& prefix) {
    return prefix == PartialTextPrefix(kBatchModel) ? Duration::Milliseconds(500) : Duration();
  };
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.table.unavailable = true;
  const auto statuses = SendEnd(&fixture, "one");
  fixture.scheduler.Advance(Duration::Milliseconds(100));
  CHECK(*statuses == kRefused);
  fixture.table.unavailable = false;
  CheckThatAllItemsRun(&fixture, "one");
}

// Guards against a refused end that is handed over or taken over with its job.
TEST_CASE("an end that was refused has no effect after the job gets another owner") {
  for (const bool planned : {true, false}) {
    INFO((planned ? "the owner stops" : "the owner is killed"));
    BatchFixture fixture(3);
    fixture.engines.event_gap = Duration::Milliseconds(400);
    fixture.StartInstance("one");
    fixture.StartInstance("two");
    REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
    fixture.scheduler.Advance(Duration::Seconds(1));
    fixture.table.unavailable = true;
    const auto at_owner = SendEnd(&fixture, "one");
    const auto at_other = SendEnd(&fixture, "two");
    fixture.scheduler.Advance(Duration::Milliseconds(300));
    CHECK(*at_owner == kRefused);
    CHECK(*at_other == kRefused);
    fixture.table.unavailable = false;
    if (planned) {
      bool drained = false;
      fixture.instances.at("one")->coordinator.Drain([&drained] { drained = true; });
      fixture.scheduler.Advance(Duration::Seconds(1));
      CHECK(drained);
    }
    fixture.KillInstance("one");
    CheckThatAllItemsRun(&fixture, "two");
  }
}

// Guards against two ends of which the refused one undoes or delays the accepted one.
TEST_CASE("an accepted end stops the items at once, also after a refused one") {
  BatchFixture fixture(4);
  fixture.engines.event_gap = Duration::Milliseconds(400);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.PartitionInstance("two", true);
  const auto refused = SendEnd(&fixture, "two");
  const auto accepted = SendEnd(&fixture, "one");
  fixture.scheduler.Advance(Duration::Milliseconds(20));
  CHECK(*accepted == std::vector<BatchCallStatus>{BatchCallStatus::kOk});
  const size_t runs = fixture.engines.runs.size();
  fixture.PartitionInstance("two", false);
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(*refused == kRefused);
  CHECK(fixture.engines.runs.size() == runs);
  CHECK(fixture.Read("two", "job", 0).results.size() < kItems);
}

// Guards against a caller that gives up without an answer: an end that may have been stored is resolved once the table
// is available again, whether the table had performed the write or not.
TEST_CASE("an end whose outcome was unknown is stored later") {
  for (const double never_apply : {0.0, 1.0}) {
    INFO("the first write is performed: " << (never_apply == 0.0));
    BatchFixture fixture(5);
    fixture.engines.event_gap = Duration::Milliseconds(400);
    fixture.StartInstance("one");
    REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
    fixture.table.responses_to_lose = 1;
    fixture.table.never_apply_probability = never_apply;
    const auto statuses = SendEnd(&fixture, "one");
    fixture.scheduler.Advance(Duration::Milliseconds(10));
    fixture.table.unavailable = true;
    fixture.scheduler.Advance(Duration::Seconds(3));
    // Neither a refusal nor a confirmation would be true.
    CHECK(statuses->empty());
    fixture.table.unavailable = false;
    fixture.scheduler.Advance(Duration::Seconds(3));
    CHECK(IsEndStored(&fixture));
    CHECK(*statuses == std::vector<BatchCallStatus>{BatchCallStatus::kOk});
    const size_t runs = fixture.engines.runs.size();
    fixture.scheduler.Advance(Duration::Seconds(10));
    CHECK(fixture.engines.runs.size() == runs);
  }
}

}  // namespace
}  // namespace quetzalridge
