#include "coordination/weight_rollout.h"

#include <catch2/catch.hpp>

#include "tests/fakes/fake_rollout_world.h"

namespace quetzalridge {
namespace {

struct FakeEndpoints : EndpointView {
  std::vector<EndpointState> states;
  const std::vector<EndpointState>& endpoints() const override { return states; }
  void SetAside(const std::string& endpoint_id, bool set_aside) override {
    for (EndpointState& state : states) {
      state.set_aside = state.id == endpoint_id ? set_aside : state.set_aside;
    }
  }
  void Add(const std::string& id, const std::string& service) {
    EndpointState state;
    state.id = id;
    state.service = service;
    state.weight_version = 1;
    states.push_back(state);
  }
};

// Engines that take 200 ms to load weights. Those that are broken fail.
struct FakeEngines : EngineControl {
  FakeEngines(Scheduler* scheduler, FakeEndpoints* endpoints) : answers(scheduler), endpoints(endpoints) {}
  void LoadWeights(const EngineOrder& order, BeforeWrite before_write, Callback callback) override {
    if (!before_write()) {
      answers.Later(Duration(), [callback] { callback(EngineOrderOutcome::kNotSent); });
      return;
    }
    orders.push_back(order);
    ++loading;
    max_loading = std::max(max_loading, loading);
    answers.Later(Duration::Milliseconds(200), [this, order, callback] {
      --loading;
      const bool failed = broken.count(order.endpoint) > 0;
      for (EndpointState& state : endpoints->states) {
        state.weight_version = state.id == order.endpoint && !failed ? order.version : state.weight_version;
      }
      callback(failed ? EngineOrderOutcome::kFailed : EngineOrderOutcome::kDone);
    });
  }
  FakeAnswers answers;
  FakeEndpoints* endpoints;
  std::set<std::string> broken;
  std::vector<EngineOrder> orders;
  int loading = 0;
  int max_loading = 0;
};

struct RolloutWorld {
  RolloutWorld() {
    for (int i = 0; i < 12; ++i) {
      endpoints.Add("e" + std::to_string(i), "s");
    }
    endpoints.Add("other", "t");
    weights.version = 2;
  }
  ManualScheduler scheduler;
  FakeWeights weights;
  FakeWeightPlatform platform{&weights, &scheduler};
  FakeEndpoints endpoints;
  FakeEngines engines{&scheduler, &endpoints};
  WeightRollout rollout{{&platform, &endpoints, &engines, &scheduler}, "s", RolloutPlanOptions{}};
};

// Guards against a roll-out that stops all replicas at once, leaves some out, touches other services, or does not carry
// the epoch.
TEST_CASE("each replica of the service loads the newest version, a few at a time, with the epoch") {
  RolloutWorld world;
  world.rollout.Start(7, "holder", [] { return true; });
  world.scheduler.Advance(Duration::Seconds(10));
  CHECK(world.rollout.plan().complete());
  CHECK(world.engines.orders.size() == 12);
  CHECK(world.engines.max_loading <= 3);
  for (const EngineOrder& order : world.engines.orders) {
    CHECK(order.fence == 7);
    CHECK(order.version == 2);
    CHECK(order.endpoint != "other");
  }
}

// Guards against orders of an instance whose lease has ended.
TEST_CASE("no order is written when the lease does not allow it") {
  RolloutWorld world;
  world.rollout.Start(7, "holder", [] { return false; });
  world.scheduler.Advance(Duration::Seconds(10));
  CHECK(world.engines.orders.empty());
  world.rollout.Start(8, "holder", [] { return true; });
  world.scheduler.Advance(Duration::Milliseconds(1500));
  world.rollout.Stop();
  const size_t sent = world.engines.orders.size();
  world.scheduler.Advance(Duration::Seconds(10));
  CHECK(sent > 0);
  CHECK(world.engines.orders.size() == sent);
}

// Guards against an endpoint with old weights that stays in use, and against one that stays out of use after it loaded
// the next version.
TEST_CASE("an endpoint whose swaps keep failing is set aside until a swap succeeds") {
  RolloutWorld world;
  world.engines.broken = {"e3"};
  world.rollout.Start(7, "holder", [] { return true; });
  world.scheduler.Advance(Duration::Seconds(20));
  CHECK(world.endpoints.states[3].set_aside);
  CHECK(world.rollout.plan().swapped() == 11);
  world.engines.broken.clear();
  world.weights.version = 3;
  world.scheduler.Advance(Duration::Seconds(20));
  CHECK_FALSE(world.endpoints.states[3].set_aside);
  CHECK(world.rollout.plan().complete());
}

}  // namespace
}  // namespace quetzalridge
