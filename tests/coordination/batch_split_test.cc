#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/random.h"
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
}

}  // namespace
}  // namespace quetzalridge
