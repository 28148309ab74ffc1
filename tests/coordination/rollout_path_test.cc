#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "coordination/rollout_queue.h"
#include "coordination/sample_delivery.h"
#include "tests/fakes/fake_rollout_world.h"

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

// One instance with its queue and its delivery, over the platform's fakes.
struct Instance {
  Instance(const std::string& name, ManualScheduler* world, FakeTable* fake_table, FakeObjects* fake_objects,
           FakeWeights* weights, FakeRoster* roster)
      : table(fake_table, world),
        objects(fake_objects, world),
        platform(weights, world),
        engine(world, weights, Hash64(name)) {
    RolloutContext context{&table, &objects, &platform, &engine, roster, world, name, name + "-1"};
    RolloutQueueOptions options;
    options.queue = "q";
    queue = std::make_unique<RolloutQueue>(context, options);
    delivery = std::make_unique<SampleDelivery>(DeliveryContext{&table, &objects, &platform, world},
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

struct World {
  World() { Add("a"); }
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

// Guards against a broken path from submission to confirmation, and against stamps other than the engine's.
TEST_CASE("groups are submitted, run, fetched and confirmed") {
  World world;
  CHECK(world.Submit("a", {Spec("g1"), Spec("g2")}).accepted);
  const FetchResult first = world.Fetch("a", kFetch);
  REQUIRE(first.outcome == DeliveryOutcome::kOk);
  const Json body = Json::parse(first.body);
  CHECK(body["batch"] == 1);
  REQUIRE(body["samples"].size() == 4);
  CHECK(body["samples"][0]["group"] == "g1");
  CHECK(body["samples"][0]["weight_versions"] == Json::parse(R"([{"version":1,"tokens":5}])"));
  CHECK(body["samples"][0]["text"] == "v1 v1 v1 v1 v1 ");
  CHECK(world.Fetch("a", kFetch).body == first.body);
  CHECK(world.Confirm("a", 1) == DeliveryOutcome::kOk);
  CHECK(world.Confirm("a", 1) == DeliveryOutcome::kOk);
  CHECK(world.Fetch("a", kFetch).outcome == DeliveryOutcome::kNothingReady);
}

// Guards against a second run of groups whose submission is sent again after their delivery.
TEST_CASE("a repeated submission is accepted without effect and a different one is refused") {
  World world;
  CHECK(world.Submit("a", {Spec("g1")}).accepted);
  CHECK(world.Submit("a", {Spec("g1")}).accepted);
  REQUIRE(world.Fetch("a", kFetch).batch == 1);
  CHECK(world.Confirm("a", 1) == DeliveryOutcome::kOk);
  CHECK(world.Submit("a", {Spec("g1")}).accepted);
  CHECK(world.Fetch("a", kFetch).outcome == DeliveryOutcome::kNothingReady);
  const SubmitResult other = world.Submit("a", {Spec("g1", 3)});
  CHECK_FALSE(other.accepted);
  CHECK(other.error == ErrorCode::kConflict);
}

// Guards against samples that are past the bound at hand-over.
TEST_CASE("a batch that became too old is void and its groups are regenerated") {
  World world;
  world.Submit("a", {Spec("g1")});
  REQUIRE(world.Fetch("a", kFetch).batch == 1);
  world.weights.version = 4;
  const FetchResult second = world.Fetch("a", kFetch);
  REQUIRE(second.outcome == DeliveryOutcome::kOk);
  CHECK(second.batch == 2);
  CHECK(Json::parse(second.body)["samples"][0]["weight_versions"][0]["version"] == 4);
  CHECK(world.Confirm("a", 1) == DeliveryOutcome::kBatchVoid);
  CHECK(world.Confirm("a", 2) == DeliveryOutcome::kOk);
}

// Guards against a hand-over while the newest version cannot be known.
TEST_CASE("nothing is handed over while the newest version is unknown or its reading is old") {
  World world;
  world.Submit("a", {Spec("g1")});
  world.weights.unknown = true;
  CHECK(world.Fetch("a", kFetch).outcome == DeliveryOutcome::kVersionUnknown);
  world.weights.unknown = false;
  world.weights.latency = Duration::Milliseconds(501);
  CHECK(world.Fetch("a", kFetch).outcome == DeliveryOutcome::kVersionUnknown);
  world.weights.latency = Duration::Milliseconds(499);
  CHECK(world.Fetch("a", kFetch).outcome == DeliveryOutcome::kOk);
}

// Guards against groups that are lost with their instance.
TEST_CASE("groups of an instance that is gone are taken over") {
  World world;
  world.Add("b");
  world.Submit("a", {Spec("g1"), Spec("g2")});
  world.Kill("a");
  world.scheduler.Advance(Duration::Seconds(5));
  const FetchResult fetched = world.Fetch("b", kFetch);
  REQUIRE(fetched.outcome == DeliveryOutcome::kOk);
  CHECK(Json::parse(fetched.body)["samples"].size() == 4);
}

// Guards against an exception that leaves a callback of the store, and against one row that stops a whole queue.
TEST_CASE("malformed rows are passed over") {
  World world;
  world.table.Apply({"x", {}, {{"rollout/q/group/bad", "{"}, {"rollout/q/ready/bad", "[]"}}});
  world.Submit("a", {Spec("g1")});
  world.scheduler.Advance(Duration::Seconds(5));
  CHECK(world.Fetch("a", kFetch).outcome == DeliveryOutcome::kOk);
  world.table.Apply({"y", {}, {{"rollout/q/cursor", "?"}}});
  CHECK(world.Fetch("a", kFetch).outcome == DeliveryOutcome::kStoreUnavailable);
  CHECK(world.Confirm("a", 1) == DeliveryOutcome::kStoreUnavailable);
}

// Guards against groups without an owner that wait while the roster cannot be read, and against a takeover from
// instances that are alive.
TEST_CASE("without a roster only groups without an owner are claimed") {
  World world;
  world.Add("b");
  world.roster.is_known = false;
  world.roster.members.clear();
  world.instances["a"]->engine.token_time = Duration::Seconds(100);
  world.Submit("a", {Spec("g1")});
  world.scheduler.Advance(Duration::Seconds(20));
  CHECK(world.instances["b"]->queue->owned_groups() == 0);
  world.instances["a"]->queue->Drain([] {});
  world.scheduler.Advance(Duration::Seconds(20));
  CHECK(world.Fetch("b", kFetch).outcome == DeliveryOutcome::kOk);
}

// Guards against rows of delivered groups that fill the table, and against a deletion of recent ones.
TEST_CASE("rows of delivered groups are deleted after a number of batches") {
  World world;
  DeliveryOptions options{"q", "service", 2};
  options.remembered_batches = 2;
  Instance& instance = *world.instances["a"];
  instance.delivery = std::make_unique<SampleDelivery>(
      DeliveryContext{&instance.table, &instance.objects, &instance.platform, &world.scheduler}, options);
  for (int64_t batch = 1; batch <= 4; ++batch) {
    world.Submit("a", {Spec("g" + std::to_string(batch))});
    REQUIRE(world.Fetch("a", kFetch).batch == batch);
    REQUIRE(world.Confirm("a", batch) == DeliveryOutcome::kOk);
  }
  CHECK(world.table.Row("rollout/q/done/g1").version == 0);
  CHECK(world.table.Row("rollout/q/done/g2").version == 0);
  CHECK(world.table.Row("rollout/q/done/g3").version != 0);
  CHECK(world.table.Row("rollout/q/done/g4").version != 0);
}

}  // namespace
}  // namespace quetzalridge
