#include "coordination/scaling_duty.h"

#include <catch2/catch.hpp>

#include "coordination/duty_manager.h"
#include "tests/fakes/fake_table_store.h"

namespace quetzalridge {
namespace {

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

// The holder of the duty for a service with four endpoints in each of three zones, and steps that need 100 places.
struct ScalingWorld {
  ScalingWorld() : table(&scheduler, 1), store(&table, &scheduler), directory(&scheduler.clock()) {
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

// Guards against an order of one endpoint for a zone that has 15: the holder of the duty had not read the registry yet.
// Seen on scale-2 of kamzik-tatry-grown, which began with 17 of 44 endpoints.
TEST_CASE("no endpoints are ordered before the registry was read") {
  ScalingWorld world;
  world.scheduler.Advance(Duration::Seconds(10));
  CHECK(world.orders.orders.empty());
  world.directory.Update(ScalingWorld::Entries(kEndpointsInZone), false);
  world.scheduler.Advance(Duration::Seconds(10));
  REQUIRE_FALSE(world.orders.orders.empty());
  for (const EndpointOrder& order : world.orders.orders) {
    CHECK(order.target > kEndpointsInZone);
  }
}

// Guards against the same order just after an outage of the store, when entries of live endpoints are missing.
TEST_CASE("no endpoints are ordered while entries may be missing after an outage") {
  ScalingWorld world;
  world.directory.Update(ScalingWorld::Entries(1), true);
  world.scheduler.Advance(Duration::Seconds(10));
  CHECK(world.orders.orders.empty());
}

}  // namespace
}  // namespace quetzalridge
