#include "coordination/model_version_duty.h"

#include <catch2/catch.hpp>
#include <vector>

#include "coordination/lease.h"
#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {
namespace {

// Engines that report their state when the test calls ReportVersion, and accept all orders.
class DeferredOrderClient : public ModelOrderClient {
 public:
  void ReadState(const std::string& endpoint_id, const std::string& address,
                 std::function<void(const EngineState&)> callback) override {
    pending_state_reads.push_back(std::move(callback));
  }
  void Load(const ModelOrder& order, BeforeWrite before_write,
            std::function<void(ModelOrderOutcome)> callback) override {
    ++loads;
    callback(before_write() ? outcome : ModelOrderOutcome::kNotSent);
  }
  void ReportVersion(int64_t version) {
    std::vector<std::function<void(const EngineState&)>> callbacks;
    callbacks.swap(pending_state_reads);
    EngineState state;
    state.ok = true;
    state.versions["m0"] = version;
    for (const auto& callback : callbacks) {
      callback(state);
    }
  }
  std::vector<std::function<void(const EngineState&)>> pending_state_reads;
  int loads = 0;
  ModelOrderOutcome outcome = ModelOrderOutcome::kAccepted;
};

// The holder of the duty, and a service with four endpoints and one model.
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
      loaded_notices.push_back(endpoint + "=" + std::to_string(version));
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
  std::vector<std::string> loaded_notices;
  ModelVersionDuty duty;
};

// Guards against training steps that wait until the registry shows that a load has finished.
TEST_CASE("owners of jobs are notified of a loaded version as soon as the engine reports it") {
  DutyFixture fixture;
  fixture.orders.ReportVersion(1);
  CHECK(fixture.orders.loads == 2);
  fixture.scheduler.Advance(Duration::Seconds(1));
  fixture.orders.ReportVersion(2);
  CHECK(fixture.loaded_notices.size() == 2);
}

// Guards against a crash: a response of an engine that arrived after the lease had expired, as after a pause of the
// process, started new orders without a lease.
TEST_CASE("no load is ordered when an engine responds after the lease has expired") {
  DutyFixture fixture;
  fixture.orders.ReportVersion(1);
  fixture.scheduler.Advance(Duration::Seconds(1));
  REQUIRE_FALSE(fixture.orders.pending_state_reads.empty());
  fixture.duty.OnLost();
  fixture.newest = 3;
  fixture.orders.ReportVersion(2);
  const int loads = fixture.orders.loads;
  fixture.scheduler.Advance(Duration::Seconds(5));
  fixture.orders.ReportVersion(2);
  CHECK(fixture.orders.loads == loads);
}

// Guards against polls and repeated orders under which a cold endpoint crashes.
TEST_CASE("a cold engine is not polled, and gets at most one order in three seconds") {
  for (const bool refuses : {false, true}) {
    INFO("the engines refuse the orders: " << refuses);
    DutyFixture fixture;
    fixture.orders.outcome = refuses ? ModelOrderOutcome::kConflict : ModelOrderOutcome::kAccepted;
    fixture.orders.ReportVersion(1);
    fixture.directory.SetColdLimits({{"sorter", 2.0}});
    for (const char* endpoint : {"e0", "e1", "e2", "e3"}) {
      fixture.directory.OnColdReport(endpoint, Duration::Seconds(60));
    }
    size_t reads = 0;
    for (int ms = 0; ms < 10'000; ms += 50) {
      fixture.scheduler.Advance(Duration::Milliseconds(50));
      reads += fixture.orders.pending_state_reads.size();
      fixture.orders.ReportVersion(1);
    }
    // Two endpoints may load at once.
    CHECK(reads <= 2 * 4);
  }
}

// Guards against orders and polls that reach an engine after its zone was evacuated.
TEST_CASE("an engine of an evacuated zone is neither ordered to load a version nor polled") {
  DutyFixture fixture;
  REQUIRE_FALSE(fixture.orders.pending_state_reads.empty());
  // The engines of the fixture have no zone. Their states arrive after the evacuation.
  fixture.directory.SetEvacuatedZones({""});
  fixture.orders.ReportVersion(1);
  CHECK(fixture.orders.loads == 0);
  fixture.newest = 3;
  fixture.scheduler.Advance(Duration::Seconds(5));
  CHECK(fixture.orders.pending_state_reads.empty());
  fixture.directory.SetEvacuatedZones({});
  fixture.scheduler.Advance(Duration::Seconds(5));
  CHECK_FALSE(fixture.orders.pending_state_reads.empty());
}

}  // namespace
}  // namespace quetzalridge
