#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr int kItems = 24;

// Guards against processes that run out of memory, and jobs that stand still, when endpoints send events without end
// (review case 1).
TEST_CASE("items leave an endpoint that sends events without end, and memory stays bounded") {
  for (const size_t event_bytes : {size_t{2'000}, size_t{200'000}}) {
    INFO(event_bytes);
    BatchFixture fixture(1);
    fixture.engines.event_gap = Duration::Milliseconds(1);
    fixture.engines.endless_endpoints = {{"engine-0", event_bytes}, {"engine-1", event_bytes}};
    fixture.StartInstance("one");
    REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
    const MemoryBudget& memory = fixture.instances.at("one")->response_memory;
    size_t most = 0;
    for (int step = 0; step < 4000 && fixture.Read("one", "job", 0).results.size() < kItems; ++step) {
      fixture.scheduler.Advance(Duration::Milliseconds(5));
      most = std::max(most, memory.used());
    }
    const BatchPage page = fixture.Read("one", "job", 0);
    CHECK(page.results.size() == kItems);
    for (const BatchResult& result : page.results) {
      CHECK(result.text == fixture.engines.WholeText(result.item));
    }
    CHECK(most <= 2 * kResponseMemory + event_bytes);
  }
}

// Guards against items that stand still for minutes at an endpoint that sends events which do not
// continue the text.
TEST_CASE("items leave an endpoint that repeats one event without end") {
  BatchFixture fixture(1);
  fixture.engines.endless_endpoints = {{"engine-0", 3}, {"engine-1", 3}};
  fixture.engines.endless_event_id = 1;
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(20));
  CHECK(fixture.Read("one", "job", 0).results.size() == kItems);
}

// Guards against texts that take many times their size: each event and each new version of the model takes memory, too.
TEST_CASE("a text of empty events and a text of ever new model versions have an end") {
  EventTranscript empty_events;
  EventTranscript versions;
  bool versions_ended = false;
  for (size_t event = 0; event <= EventTranscript::kMaxBytes + 1; ++event) {
    const auto id = static_cast<int64_t>(event);
    const bool first_ended = empty_events.Append(id, "", std::nullopt) == EventTranscript::AppendResult::kTooLong;
    versions_ended = versions_ended || versions.Append(id, "", id) == EventTranscript::AppendResult::kTooLong;
    if (first_ended) {
      CHECK(versions_ended);
      return;
    }
  }
  FAIL("a text has no end");
}

}  // namespace
}  // namespace quetzalridge
