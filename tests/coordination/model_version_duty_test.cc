#include "coordination/model_version_duty.h"

#include <catch2/catch.hpp>
#include <vector>

#include "coordination/lease.h"
#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {
namespace {

// Engines whose answers the test gives.
class DeferredOrderClient : public ModelOrderClient {
 public:
  void ReadState(const std::string& endpoint_id, const std::string& address,
                 std::function<void(const EngineState&)> callback) override {
    states.push_back(std::move(callback));
  }
  void Load(const ModelOrder& order, BeforeWrite before_write,
            std::function<void(ModelOrderOutcome)> callback) override {
    ++loads;
    callback(before_write() ? ModelOrderOutcome::kAccepted : ModelOrderOutcome::kNotSent);
  }
  void AnswerAll(int64_t version) {
    std::vector<std::function<void(const EngineState&)>> callbacks;
    callbacks.swap(states);
    EngineState state;
    state.ok = true;
    state.versions["m0"] = version;
    for (const auto& callback : callbacks) {
      callback(state);
    }
  }
  std::vector<std::function<void(const EngineState&)>> states;
  int loads = 0;
};

struct DutyFixture {
  DutyFixture()
      : table(&scheduler, 1),
        store(&table, &scheduler),
        directory(&scheduler.clock()),
        lease(&store, &scheduler, Options(), "models"),
        duty(Context(), Duration::Milliseconds(800)) {
    BackendService service;
    service.name = "sorter";
    service.models = {"m0"};
    ServingConfig config;
    config.version = 1;
    config.services = {service};
    routes.Apply(config);
    std::vector<EndpointEntry> entries(4);
    for (size_t i = 0; i < entries.size(); ++i) {
      entries[i].id = "e" + std::to_string(i);
      entries[i].service = "sorter";
      entries[i].model_versions["m0"] = 1;
    }
    directory.Update(entries, false);
    lease.Acquire();
    scheduler.Advance(Duration::Milliseconds(50));
    duty.OnAcquired(&lease);
  }
  static LeaseOptions Options() {
    LeaseOptions options;
    options.holder = "one/a";
    return options;
  }
  ModelVersionContext Context() {
    ModelVersionContext context;
    context.scheduler = &scheduler;
    context.routes = &routes;
    context.endpoints = &directory;
    context.orders = &orders;
    context.newest_version = [this](const std::string&) { return newest; };
    context.version_lag = [](const std::string&) { return 1; };
    context.notify_loaded = [this](const std::string& endpoint, const std::string&, int64_t version) {
      announced.push_back(endpoint + "=" + std::to_string(version));
    };
    return context;
  }

  ManualScheduler scheduler;
  FakeTable table;
  FakeTableStore store;
  RouteTable routes;
  EndpointDirectory directory;
  DeferredOrderClient orders;
  Lease lease;
  int64_t newest = 2;
  std::vector<std::string> announced;
  ModelVersionDuty duty;
};

// Guards against steps that wait for the registry to tell of a load that is done.
TEST_CASE("the owners of jobs are told of a loaded version as soon as the engine says so") {
  DutyFixture fixture;
  fixture.orders.AnswerAll(1);
  CHECK(fixture.orders.loads == 2);
  fixture.scheduler.Advance(Duration::Seconds(1));
  fixture.orders.AnswerAll(2);
  CHECK(fixture.announced.size() == 2);
}

// Guards against a crash: the answer of an engine that came after the lease had lapsed, as after a pause of the
// process, began a new round of orders without a lease. Seen in the soak, seed 40.
TEST_CASE("an engine's answer after the lease has lapsed orders nothing") {
  DutyFixture fixture;
  fixture.orders.AnswerAll(1);
  fixture.scheduler.Advance(Duration::Seconds(1));
  REQUIRE_FALSE(fixture.orders.states.empty());
  fixture.duty.OnLost();
  fixture.newest = 3;
  fixture.orders.AnswerAll(2);
  const int loads = fixture.orders.loads;
  fixture.scheduler.Advance(Duration::Seconds(5));
  fixture.orders.AnswerAll(2);
  CHECK(fixture.orders.loads == loads);
}

}  // namespace
}  // namespace quetzalridge
