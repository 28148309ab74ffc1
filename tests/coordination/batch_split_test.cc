#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/random.h"
#include "state/split_choice.h"
#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr size_t kItems = 60;
constexpr char kOther[] = "other";
constexpr char kThird[] = "third";
constexpr const char* kServices[] = {kBatchService, kOther, kThird};
// Trainers give a step up after a few seconds; all items of a job take about one second on half of the endpoints.
constexpr Duration kStepTime = Duration::Seconds(4);

// A route that is split between services with these engines.
class SplitFixture : public BatchFixture {
 public:
  explicit SplitFixture(std::vector<ServiceShare> shares = {{kBatchService, 50}, {kOther, 50}}) : BatchFixture(1) {
    split = std::move(shares);
    engines.services = {{"engine-2", kOther}, {"engine-3", kOther}};
  }
  // The service that the weights give the item.
  std::string OwnService(const std::string& item) const {
    ServiceRoute route;
    route.services = split;
    return ChooseService(route, Hash64(item));
  }
  void SetStopped(std::set<std::string> ids) {
    engines.stopped = std::move(ids);
    for (const auto& [name, instance] : instances) {
      instance->ReadRegistry(this);
    }
  }
  void SubmitJob(const std::string& job) { REQUIRE(Submit("one", MakeJob(job, kItems)) == SubmitOutcome::kAccepted); }
  size_t CountResults(const std::string& job) { return Read("one", job, 0).results.size(); }
  // All items are done, and each text is the whole output of one service.
  void CheckTexts(const std::string& reader, const std::string& job) {
    const BatchPage page = Read(reader, job, 0);
    CHECK(page.results.size() == kItems);
    for (const BatchResult& result : page.results) {
      const bool is_whole = std::any_of(std::begin(kServices), std::end(kServices), [&](const char* service) {
        return result.text == engines.WholeText(result.item, service);
      });
      INFO(result.item << ": " << result.text);
      CHECK(is_whole);
    }
  }
  // Runs on a service that is not the item's own.
  int CountMovedRuns() const {
    return static_cast<int>(std::count_if(engines.runs.begin(), engines.runs.end(), [this](const ItemRunRecord& run) {
      return engines.ServiceOf(run.endpoint) != OwnService(run.item);
    }));
  }
};

// Guards against a step that fails because items wait for a service without endpoints, and keep the others waiting too
// (review case 9).
TEST_CASE("a job is done though a service of its route's split has no endpoints") {
  for (const int other_weight : {10, 50, 90}) {
    INFO("weight of the lost service " << other_weight);
    SplitFixture fixture({{kBatchService, 100 - other_weight}, {kOther, other_weight}});
    fixture.engines.stopped = {"engine-2", "engine-3"};
    fixture.StartInstance("one");
    fixture.SubmitJob("job");
    fixture.scheduler.Advance(kStepTime);
    fixture.CheckTexts("one", "job");
    CHECK(fixture.engines.runs.size() == kItems);
  }
}

TEST_CASE("a job is done though the endpoints of a service are lost while it runs") {
  SplitFixture fixture;
  fixture.engines.events_per_item = 25;
  fixture.StartInstance("one");
  fixture.SubmitJob("job");
  fixture.scheduler.Advance(Duration::Milliseconds(300));
  fixture.SetStopped({"engine-2", "engine-3"});
  fixture.engines.truncation_chance = 1.0;
  fixture.scheduler.Advance(Duration::Milliseconds(30));
  fixture.engines.truncation_chance = 0.0;
  fixture.scheduler.Advance(Duration::Seconds(8));
  fixture.CheckTexts("one", "job");
}

TEST_CASE("a job is done though the largest of three services has no endpoints") {
  SplitFixture fixture({{kOther, 50}, {kBatchService, 25}, {kThird, 25}});
  fixture.engines.services = {{"engine-1", kThird}, {"engine-2", kOther}, {"engine-3", kOther}};
  fixture.engines.stopped = {"engine-2", "engine-3"};
  // Items of the lost service use the free slots of the third one, and do not wait for those of the slow one.
  fixture.engines.slow_endpoints["engine-0"] = 40;
  fixture.StartInstance("one");
  fixture.SubmitJob("job");
  fixture.scheduler.Advance(Duration::Milliseconds(1800));
  int at_third = 0;
  for (const ItemRunRecord& run : fixture.engines.runs) {
    at_third += fixture.engines.ServiceOf(run.endpoint) == kThird ? 1 : 0;
  }
  CHECK(at_third > 30);
  fixture.scheduler.Advance(kStepTime);
  fixture.CheckTexts("one", "job");
}

TEST_CASE("a job is done once one of two services that have lost all endpoints is back") {
  SplitFixture fixture;
  fixture.engines.stopped = {"engine-0", "engine-1", "engine-2", "engine-3"};
  fixture.StartInstance("one");
  fixture.SubmitJob("job");
  fixture.scheduler.Advance(Duration::Seconds(3));
  CHECK(fixture.engines.runs.empty());
  fixture.SetStopped({"engine-0", "engine-1"});
  fixture.scheduler.Advance(kStepTime);
  fixture.CheckTexts("one", "job");
}

// Guards against items that wait for a service that is listed and does not run them. An item at no endpoint for 5 s
// counts as lost.
TEST_CASE("a job is done though the endpoints of a service cannot run its items") {
  SplitFixture fixture;
  SECTION("they refuse connections") {
    fixture.engines.unresponsive_endpoints = {{"engine-2", Duration()}, {"engine-3", Duration()}};
  }
  SECTION("they do not respond") {
    fixture.engines.unresponsive_endpoints = {{"engine-2", Duration::Seconds(4)}, {"engine-3", Duration::Seconds(4)}};
  }
  SECTION("their model version is too old") {
    fixture.engines.registered_model_versions = {{"engine-2", 0}, {"engine-3", 0}};
  }
  SECTION("their requests are limited") {
    fixture.engines.rate_limits = {{"engine-2", 0.5}, {"engine-3", 0.5}};
  }
  SECTION("they are cold") {
    fixture.engines.cold_times = {{"engine-2", Duration::Seconds(60)}, {"engine-3", Duration::Seconds(60)}};
    fixture.engines.cold_limits[kOther] = 0.5;
  }
  SECTION("they are not in the home regions") {
    fixture.engines.regions = {{"engine-0", "near"}, {"engine-1", "near"}, {"engine-2", "far"}, {"engine-3", "far"}};
    fixture.engines.home_regions = HomeRegions({"near"});
  }
  fixture.StartInstance("one");
  fixture.SubmitJob("job");
  fixture.scheduler.Advance(Duration::Seconds(9));
  fixture.CheckTexts("one", "job");
}

TEST_CASE("a job is done though the zone of all endpoints of a service is evacuated") {
  SplitFixture fixture;
  fixture.engines.zones = {{"engine-2", "b"}, {"engine-3", "b"}};
  fixture.StartInstance("one");
  fixture.instances.at("one")->directory.SetEvacuatedZones({"b"});
  fixture.SubmitJob("job");
  fixture.scheduler.Advance(kStepTime);
  fixture.CheckTexts("one", "job");
}

// Guards against items that wait behind those of a full service, which needs no lost endpoint, and against a service
// that loses its share to a moment without a free slot.
TEST_CASE("items of a full service keep its share for a moment, and do not keep those of others from starting") {
  SplitFixture fixture;
  // Each of the eight slots of the service is in use for 8 s.
  fixture.engines.slow_endpoints = {{"engine-2", 80}, {"engine-3", 80}};
  fixture.StartInstance("one");
  fixture.SubmitJob("job");
  fixture.scheduler.Advance(kMaxServiceWait - Duration::Milliseconds(200));
  size_t own = 0;
  for (const BatchItem& item : BatchFixture::MakeJob("job", kItems).items) {
    own += fixture.OwnService(item.id) == kBatchService ? 1 : 0;
  }
  CHECK(fixture.CountResults("job") == own);
  CHECK(fixture.CountMovedRuns() == 0);
  fixture.scheduler.Advance(Duration::Milliseconds(2500));
  CHECK(fixture.CountResults("job") == kItems - 8);
  fixture.scheduler.Advance(Duration::Seconds(6));
  fixture.CheckTexts("one", "job");
  CHECK(fixture.engines.runs.size() == kItems);
}

TEST_CASE("items go to their own service again when it is back, and running ones stay where they are") {
  SplitFixture fixture;
  fixture.engines.stopped = {"engine-2", "engine-3"};
  fixture.engines.events_per_item = 40;
  fixture.StartInstance("one");
  fixture.SubmitJob("first");
  fixture.scheduler.Advance(Duration::Milliseconds(200));
  const size_t before = fixture.engines.runs.size();
  fixture.SetStopped({});
  fixture.scheduler.Advance(Duration::Milliseconds(1500));
  REQUIRE(fixture.engines.runs.size() > before);
  for (size_t i = before; i < fixture.engines.runs.size(); ++i) {
    CHECK(fixture.engines.ServiceOf(fixture.engines.runs[i].endpoint) ==
          fixture.OwnService(fixture.engines.runs[i].item));
  }
  fixture.scheduler.Advance(Duration::Seconds(10));
  fixture.CheckTexts("one", "first");
  CHECK(fixture.engines.runs.size() == kItems);
}

// Guards against texts that two services have written: their software versions may have the same name.
TEST_CASE("no text is continued on another service, whatever happens to the services and the owner") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SplitFixture fixture;
    Random random(seed);
    fixture.engines.events_per_item = 30;
    fixture.engines.truncation_chance = 0.03;
    fixture.engines.slow_endpoints = {{"engine-0", 3}, {"engine-3", 3}};
    fixture.StartInstance("one");
    fixture.StartInstance("two");
    fixture.SubmitJob("job");
    for (int change = 0; change < 8; ++change) {
      fixture.scheduler.Advance(Duration::Milliseconds(300));
      const std::set<std::string> services[] = {
          {}, {"engine-0", "engine-1"}, {"engine-2", "engine-3"}, {"engine-1"}, {"engine-2"}};
      fixture.SetStopped(services[random.Below(std::size(services))]);
      if (change == 4) {
        fixture.KillInstance("one");
      }
    }
    fixture.SetStopped({});
    fixture.scheduler.Advance(Duration::Seconds(30));
    fixture.CheckTexts("two", "job");
  }
}

TEST_CASE("a text is not continued on the service to which the operator moves the route") {
  SplitFixture fixture({{kBatchService, 1}});
  fixture.engines.events_per_item = 40;
  fixture.StartInstance("one");
  fixture.SubmitJob("job");
  fixture.scheduler.Advance(Duration::Milliseconds(400));
  fixture.split = {{kOther, 1}};
  ServingConfig config = BatchFixture::Instance::MakeConfig(fixture);
  config.version = 2;
  fixture.instances.at("one")->routes.Apply(config);
  const size_t before = fixture.engines.runs.size();
  fixture.engines.truncation_chance = 1.0;
  fixture.scheduler.Advance(Duration::Milliseconds(30));
  fixture.engines.truncation_chance = 0.0;
  fixture.scheduler.Advance(Duration::Seconds(15));
  fixture.CheckTexts("one", "job");
  for (size_t i = before; i < fixture.engines.runs.size(); ++i) {
    CHECK(fixture.engines.ServiceOf(fixture.engines.runs[i].endpoint) == kOther);
  }
}

// Guards against a text that the next owner continues on another service, because the table has not kept its service.
TEST_CASE("a stored text keeps its service, and one of an earlier version has none") {
  PartialText text;
  text.item = "item";
  text.text = "event";
  text.event_count = 1;
  text.software_version = "v2";
  text.service = kOther;
  std::vector<TableRow> rows;
  for (const std::string& part : EncodePartialText(text, "tx", 40)) {
    rows.push_back({PartialTextKey("m", text.item, rows.size()), 1, part, "tx"});
  }
  const std::vector<PartialText> read = DecodePartialTextRows(rows);
  REQUIRE(read.size() == 1);
  CHECK(read[0].service == kOther);
  CHECK(read[0].software_version == "v2");
  EventTranscript transcript;
  transcript.Restore(read[0]);
  CHECK(transcript.service() == kOther);
  // Earlier versions end the value before the service, of which only the eight bytes of an empty length are cut here.
  // The low byte of the length of the value follows the byte order, the length of the transaction id and its two bytes.
  constexpr size_t kLengthBytes = 8;
  constexpr size_t kValueLengthAt = 1 + kLengthBytes + 2;
  text.service.clear();
  std::string earlier = EncodePartialText(text, "tx", 10'000).front();
  earlier.resize(earlier.size() - kLengthBytes);
  earlier[kValueLengthAt] = static_cast<char>(earlier[kValueLengthAt] - static_cast<char>(kLengthBytes));
  const std::vector<PartialText> read_earlier =
      DecodePartialTextRows({{PartialTextKey("m", "item", 0), 1, earlier, ""}});
  REQUIRE(read_earlier.size() == 1);
  CHECK(read_earlier[0].service.empty());
  CHECK(read_earlier[0].software_version == "v2");
}

// Guards against items of a large job that are left out, or run twice, when the share of their service is moved.
TEST_CASE("a job of 12,000 items is done though a service of its route's split has no endpoints") {
  constexpr int kManyItems = 12'000;
  SplitFixture fixture({{kBatchService, 90}, {kOther, 10}});
  fixture.engines.stopped = {"engine-2", "engine-3"};
  fixture.engines.events_per_item = 1;
  fixture.engines.event_gap = Duration::Milliseconds(1);
  fixture.StartInstance("one");
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", kManyItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(30));
  std::set<std::string> items;
  for (const ItemRunRecord& run : fixture.engines.runs) {
    items.insert(run.item);
  }
  CHECK(items.size() == kManyItems);
  CHECK(fixture.engines.runs.size() == kManyItems);
}

}  // namespace
}  // namespace quetzalridge
