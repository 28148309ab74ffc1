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

TEST_CASE("no text of an item is joined from two software versions", "[!shouldfail]") {
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

}  // namespace
}  // namespace quetzalridge
