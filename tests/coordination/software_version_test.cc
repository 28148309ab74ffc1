#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr int kItems = 40;

// The items of which a run continued the text of another software version.
int CountMixedItems(const BatchFixture& fixture) {
  std::map<std::string, std::string> version_by_item;
  std::set<std::string> mixed;
  for (const ItemRunRecord& run : fixture.engines.runs) {
    const std::string& version = fixture.engines.software_versions.at(run.endpoint);
    if (!run.resume_after.has_value()) {
      version_by_item[run.item] = version;
    } else if (version_by_item[run.item] != version) {
      mixed.insert(run.item);
    }
  }
  return static_cast<int>(mixed.size());
}

TEST_CASE("no text of an item is joined from two software versions") {
  BatchFixture fixture(1);
  fixture.engines.software_versions = {{"engine-0", "v1"}, {"engine-1", "v1"}, {"engine-2", "v2"}, {"engine-3", "v2"}};
  fixture.engines.truncation_chance = 0.1;
  fixture.engines.events_per_item = 10;
  fixture.engines.slow_endpoints["engine-0"] = 4;
  for (int i = 0; i < kItems; i += 8) {
    fixture.engines.long_items["job-item-" + std::to_string(i)] = 60;
  }
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Milliseconds(2000));
  fixture.KillInstance("one");
  fixture.scheduler.Advance(Duration::Seconds(20));
  CHECK(fixture.Read("two", "job", 0).results.size() == kItems);
  CHECK(CountMixedItems(fixture) == 0);
}

TEST_CASE("an item starts again when the software version of its text has left") {
  BatchFixture fixture(1);
  fixture.engines.software_versions = {{"engine-0", "v1"}, {"engine-1", "v2"}, {"engine-2", "v2"}, {"engine-3", "v2"}};
  fixture.engines.stopped = {"engine-1", "engine-2", "engine-3"};
  fixture.engines.events_per_item = 60;
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 2)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Milliseconds(600));
  fixture.engines.stopped = {"engine-0"};
  fixture.engines.truncation_chance = 1.0;
  fixture.instances.at("one")->ReadRegistry(&fixture);
  fixture.scheduler.Advance(Duration::Milliseconds(50));
  fixture.engines.truncation_chance = 0.0;
  fixture.scheduler.Advance(Duration::Seconds(3));
  CHECK(fixture.Read("one", "job", 0).results.size() == 2);
  CHECK(CountMixedItems(fixture) == 0);
}

// Guards against items without a text that wait behind one that waits for its software version.
TEST_CASE("other items start while an interrupted one waits for an endpoint with its software version") {
  BatchFixture fixture(1);
  fixture.engines.software_versions = {{"engine-0", "v1"}, {"engine-1", "v2"}, {"engine-2", "v2"}, {"engine-3", "v2"}};
  fixture.engines.events_per_item = 40;
  fixture.engines.truncation_chance = 0.05;
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 80)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(60));
  CHECK(fixture.Read("one", "job", 0).results.size() == 80);
  CHECK(CountMixedItems(fixture) == 0);
}

TEST_CASE("a stored text keeps its software version") {
  PartialText text;
  text.item = "item";
  text.text = std::string(100, 'a');
  text.event_count = 1;
  text.software_version = "v2";
  for (const bool complete : {false, true}) {
    text.complete = complete;
    std::vector<TableRow> rows;
    for (const std::string& part : EncodePartialText(text, "tx", 40)) {
      rows.push_back({PartialTextKey("m", text.item, rows.size()), 1, part, "tx"});
    }
    const std::vector<PartialText> read = DecodePartialTextRows(rows);
    REQUIRE(read.size() == 1);
    CHECK(read[0].software_version == "v2");
    CHECK(read[0].complete == complete);
    CHECK(read[0].text == text.text);
  }
}

}  // namespace
}  // namespace quetzalridge
