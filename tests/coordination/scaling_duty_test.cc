#include "coordination/scaling_duty.h"

#include <catch2/catch.hpp>

#include "coordination/duty_manager.h"
#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {
namespace {

// A platform that records and accepts all orders.
class RecordingOrders : public EndpointOrderClient {
 public:
  void OrderEndpoints(const EndpointOrder& order, BeforeWrite before_write,
                      std::function<void(const OrderResult&)> callback) override {
    if (before_write()) {
      orders.push_back(order);
    }
    OrderResult result;
    result.outcome = OrderOutcome::kAccepted;
    callback(result);
  }
  std::vector<EndpointOrder> orders;
};

constexpr int kZones = 3;
constexpr int kEndpointsInZone = 4;

// The holder of the duty for a service in three availability zones, with training steps that need 100 slots.
struct ScalingFixture {
  ScalingFixture() : table(&scheduler, 1), store(&table, &scheduler), directory(&scheduler.clock()) {
    BackendService service;
    service.name = "sorter";
    service.engine_slots = 8;
    service.models = {"m0"};
    ServiceScaling scaling;
    scaling.min = 1;
    scaling.max = 30;
    for (int zone = 0; zone < kZones; ++zone) {
      scaling.zone_prices[std::string(1, static_cast<char>('a' + zone))] = 1.0;
    }
    service.scaling = scaling;
    ServingConfig config;
    config.version = 1;
    config.services = {service};
    routes.Apply(config);
    ScalingContext context{&scheduler, &routes, &directory, &orders,
                           [](const std::vector<std::string>&) { return 100; }};
    duty = std::make_unique<ScalingDuty>(context, Duration::Milliseconds(800));
    DutyManagerOptions options;
    options.lease.holder = "one/a";
    manager = std::make_unique<DutyManager>(&store, &scheduler, options);
    manager->AddDuty("scaling", duty.get());
    manager->Start();
  }

  static std::vector<EndpointEntry> Entries(int in_zone) {
    std::vector<EndpointEntry> entries;
    for (int i = 0; i < kZones * in_zone; ++i) {
      EndpointEntry entry;
      entry.id = "e" + std::to_string(i);
      entry.service = "sorter";
      entry.zone = std::string(1, static_cast<char>('a' + i % kZones));
      entry.slots = 8;
      entries.push_back(entry);
    }
    return entries;
  }

  ManualScheduler scheduler;
  FakeTable table;
  FakeTableStore store;
  RouteTable routes;
  EndpointDirectory directory;
  RecordingOrders orders;
  std::unique_ptr<ScalingDuty> duty;
  std::unique_ptr<DutyManager> manager;
};

// Guards against an order that removes running endpoints: the holder of the duty had not read the registry yet and
// ordered one endpoint for a zone that had 15. A deployment of 44 endpoints then started with 17.
TEST_CASE("no endpoints are ordered before the registry has been read") {
  ScalingFixture fixture;
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(fixture.orders.orders.empty());
  fixture.directory.Update(ScalingFixture::Entries(kEndpointsInZone), false);
  fixture.scheduler.Advance(Duration::Seconds(10));
  REQUIRE_FALSE(fixture.orders.orders.empty());
  for (const EndpointOrder& order : fixture.orders.orders) {
    CHECK(order.target > kEndpointsInZone);
  }
}

// Guards against an order that removes running endpoints right after an outage of the store, when entries of live
// endpoints are missing.
TEST_CASE("no endpoints are ordered while entries may be missing after an outage") {
  ScalingFixture fixture;
  fixture.directory.Update(ScalingFixture::Entries(1), true);
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(fixture.orders.orders.empty());
}

// Guards against an order that removes the endpoints of an evacuated zone, or starts further ones there.
TEST_CASE("no endpoints are ordered for an evacuated zone") {
  ScalingFixture fixture;
  fixture.directory.SetEvacuatedZones({"a"});
  fixture.directory.Update(ScalingFixture::Entries(kEndpointsInZone), false);
  fixture.scheduler.Advance(Duration::Seconds(10));
  REQUIRE_FALSE(fixture.orders.orders.empty());
  for (const EndpointOrder& order : fixture.orders.orders) {
    CHECK(order.zone != "a");
    CHECK(order.target > kEndpointsInZone);
  }
}

}  // namespace
}  // namespace quetzalridge
