#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "coordination/rollout_queue.h"
#include "coordination/sample_delivery.h"
#include "tests/fakes/rollout_fakes.h"

namespace quetzalridge {
namespace {

using Json = nlohmann::json;

SampleGroupSpec Spec(const std::string& id, int samples = 2, int needed = 2) {
  SampleGroupSpec spec;
  spec.id = id;
  spec.step = 1;
  spec.prompt = "prompt of " + id;
  spec.model = "model";
  spec.samples = samples;
  spec.needed = needed;
  spec.max_tokens = 5;
  return spec;
}

// One instance with its queue and its delivery, and with fakes of the platform's services.
struct Instance {
  Instance(const std::string& name, ManualScheduler* scheduler, FakeTable* fake_table, FakeObjects* fake_objects,
           FakeWeights* weights, FakeRoster* roster)
      : table(fake_table, scheduler),
        objects(fake_objects, scheduler),
        platform(weights, scheduler),
        engine(scheduler, weights, Hash64(name)) {
    RolloutContext context{&table, &objects, &platform, &engine, roster, scheduler, name, name + "-1"};
    RolloutQueueOptions options;
    options.queue = "q";
    queue = std::make_unique<RolloutQueue>(context, options);
    delivery = std::make_unique<SampleDelivery>(DeliveryContext{&table, &objects, &platform, scheduler},
                                                DeliveryOptions{"q", "service", 2});
    queue->SetReadyListener([this] { delivery->OnGroupReady(); });
    delivery->SetRequeueListener([this] { queue->ScanSoon(); });
    queue->Start();
  }
  FakeTableStore table;
  FakeSharedObjectStore objects;
  FakeWeightPlatform platform;
  FakeSampleEngine engine;
  std::unique_ptr<RolloutQueue> queue;
  std::unique_ptr<SampleDelivery> delivery;
};

struct RolloutFixture {
  RolloutFixture() { Add("a"); }
  void Add(const std::string& name) {
    roster.members.push_back({name, name + "-1"});
    instances[name] = std::make_unique<Instance>(name, &scheduler, &table, &objects, &weights, &roster);
  }
  void Kill(const std::string& name) {
    instances.erase(name);
    roster.members.erase(std::remove_if(roster.members.begin(), roster.members.end(),
                                        [&](const RosterMember& m) { return m.instance == name; }),
                         roster.members.end());
  }
  SubmitResult Submit(const std::string& name, std::vector<SampleGroupSpec> specs) {
    SubmitResult submitted;
    instances[name]->queue->Submit(std::move(specs), [&](const SubmitResult& result) { submitted = result; });
    scheduler.Advance(Duration::Milliseconds(50));
    return submitted;
  }
  FetchResult Fetch(const std::string& name, FetchRequest request) {
    FetchResult fetched;
    instances[name]->delivery->Fetch(request, [&](const FetchResult& result) { fetched = result; });
    scheduler.Advance(request.wait + Duration::Seconds(6));
    return fetched;
  }
  DeliveryOutcome Confirm(const std::string& name, int64_t batch) {
    DeliveryOutcome confirmed = DeliveryOutcome::kStoreUnavailable;
    instances[name]->delivery->Confirm(batch, [&](DeliveryOutcome outcome) { confirmed = outcome; });
    scheduler.Advance(Duration::Seconds(6));
    return confirmed;
  }

  ManualScheduler scheduler;
  FakeTable table{&scheduler, 1};
  FakeObjects objects;
  FakeWeights weights;
  FakeRoster roster;
  std::map<std::string, std::unique_ptr<Instance>> instances;
};

const FetchRequest kFetch{0, 100, Duration::Seconds(2)};

// Guards against a broken path from the submission to the confirmation, and against weight versions other than those
// that the engine stamped.
TEST_CASE("groups are submitted, run, fetched and confirmed") {
  RolloutFixture fixture;
  CHECK(fixture.Submit("a", {Spec("g1"), Spec("g2")}).accepted);
  const FetchResult first = fixture.Fetch("a", kFetch);
  REQUIRE(first.outcome == DeliveryOutcome::kOk);
  const Json body = Json::parse(first.body);
  CHECK(body["batch"] == 1);
  REQUIRE(body["samples"].size() == 4);
  CHECK(body["samples"][0]["group"] == "g1");
  CHECK(body["samples"][0]["weight_versions"] == Json::parse(R"([{"version":1,"tokens":5}])"));
  CHECK(body["samples"][0]["text"] == "v1 v1 v1 v1 v1 ");
  CHECK(fixture.Fetch("a", kFetch).body == first.body);
  CHECK(fixture.Confirm("a", 1) == DeliveryOutcome::kOk);
  CHECK(fixture.Confirm("a", 1) == DeliveryOutcome::kOk);
  CHECK(fixture.Fetch("a", kFetch).outcome == DeliveryOutcome::kNothingReady);
}

// Guards against groups that run a second time because their submission is repeated, before or after their delivery.
TEST_CASE("a repeated submission is accepted without effect and a different one is refused") {
  RolloutFixture fixture;
  CHECK(fixture.Submit("a", {Spec("g1")}).accepted);
  CHECK(fixture.Submit("a", {Spec("g1")}).accepted);
  REQUIRE(fixture.Fetch("a", kFetch).batch == 1);
  CHECK(fixture.Confirm("a", 1) == DeliveryOutcome::kOk);
  CHECK(fixture.Submit("a", {Spec("g1")}).accepted);
  CHECK(fixture.Fetch("a", kFetch).outcome == DeliveryOutcome::kNothingReady);
  const SubmitResult other = fixture.Submit("a", {Spec("g1", 3)});
  CHECK_FALSE(other.accepted);
  CHECK(other.error == ErrorCode::kConflict);
}

// Guards against the delivery of samples that exceed the staleness bound. The newest version changes while a batch is
// open.
TEST_CASE("a batch that became too old is void and its groups are generated again") {
  RolloutFixture fixture;
  fixture.Submit("a", {Spec("g1")});
  REQUIRE(fixture.Fetch("a", kFetch).batch == 1);
  fixture.weights.version = 4;
  const FetchResult second = fixture.Fetch("a", kFetch);
  REQUIRE(second.outcome == DeliveryOutcome::kOk);
  CHECK(second.batch == 2);
  CHECK(Json::parse(second.body)["samples"][0]["weight_versions"][0]["version"] == 4);
  CHECK(fixture.Confirm("a", 1) == DeliveryOutcome::kBatchVoid);
  CHECK(fixture.Confirm("a", 2) == DeliveryOutcome::kOk);
}

// Guards against a delivery while the newest weight version is not known, or was read too long ago.
TEST_CASE("no batch is returned while the newest version is unknown or its reading is too old") {
  RolloutFixture fixture;
  fixture.Submit("a", {Spec("g1")});
  fixture.weights.unknown = true;
  CHECK(fixture.Fetch("a", kFetch).outcome == DeliveryOutcome::kVersionUnknown);
  fixture.weights.unknown = false;
  fixture.weights.latency = Duration::Milliseconds(501);
  CHECK(fixture.Fetch("a", kFetch).outcome == DeliveryOutcome::kVersionUnknown);
  fixture.weights.latency = Duration::Milliseconds(499);
  CHECK(fixture.Fetch("a", kFetch).outcome == DeliveryOutcome::kOk);
}

// Guards against groups that are lost because their instance failed.
TEST_CASE("groups of a failed instance are taken over") {
  RolloutFixture fixture;
  fixture.Add("b");
  fixture.Submit("a", {Spec("g1"), Spec("g2")});
  fixture.Kill("a");
  fixture.scheduler.Advance(Duration::Seconds(5));
  const FetchResult fetched = fixture.Fetch("b", kFetch);
  REQUIRE(fetched.outcome == DeliveryOutcome::kOk);
  CHECK(Json::parse(fetched.body)["samples"].size() == 4);
}

// Guards against an exception that leaves a callback of the store, and against a queue that stops because of one
// malformed row.
TEST_CASE("malformed rows are skipped") {
  RolloutFixture fixture;
  fixture.table.Apply({"x", {}, {{"rollout/q/group/bad", "{"}, {"rollout/q/ready/bad", "[]"}}});
  fixture.Submit("a", {Spec("g1")});
  fixture.scheduler.Advance(Duration::Seconds(5));
  CHECK(fixture.Fetch("a", kFetch).outcome == DeliveryOutcome::kOk);
  fixture.table.Apply({"y", {}, {{"rollout/q/cursor", "?"}}});
  CHECK(fixture.Fetch("a", kFetch).outcome == DeliveryOutcome::kStoreUnavailable);
  CHECK(fixture.Confirm("a", 1) == DeliveryOutcome::kStoreUnavailable);
}

// Guards against groups without an owner that are not claimed because the roster cannot be read, and against a takeover
// from instances that still run.
TEST_CASE("without a roster only groups without an owner are claimed") {
  RolloutFixture fixture;
  fixture.Add("b");
  fixture.roster.is_known = false;
  fixture.roster.members.clear();
  fixture.instances["a"]->engine.token_time = Duration::Seconds(100);
  fixture.Submit("a", {Spec("g1")});
  fixture.scheduler.Advance(Duration::Seconds(20));
  CHECK(fixture.instances["b"]->queue->owned_groups() == 0);
  fixture.instances["a"]->queue->Drain([] {});
  fixture.scheduler.Advance(Duration::Seconds(20));
  CHECK(fixture.Fetch("b", kFetch).outcome == DeliveryOutcome::kOk);
}

// Guards against rows of delivered groups that fill the table, and against the deletion of recent rows.
TEST_CASE("rows of delivered groups are deleted after a number of batches") {
  RolloutFixture fixture;
  DeliveryOptions options{"q", "service", 2};
  options.remembered_batches = 2;
  Instance& instance = *fixture.instances["a"];
  instance.delivery = std::make_unique<SampleDelivery>(
      DeliveryContext{&instance.table, &instance.objects, &instance.platform, &fixture.scheduler}, options);
  for (int64_t batch = 1; batch <= 4; ++batch) {
    fixture.Submit("a", {Spec("g" + std::to_string(batch))});
    REQUIRE(fixture.Fetch("a", kFetch).batch == batch);
    REQUIRE(fixture.Confirm("a", batch) == DeliveryOutcome::kOk);
  }
  CHECK(fixture.table.Row("rollout/q/done/g1").version == 0);
  CHECK(fixture.table.Row("rollout/q/done/g2").version == 0);
  CHECK(fixture.table.Row("rollout/q/done/g3").version != 0);
  CHECK(fixture.table.Row("rollout/q/done/g4").version != 0);
}

}  // namespace
}  // namespace quetzalridge
