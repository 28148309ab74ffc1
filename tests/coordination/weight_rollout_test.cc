#include "coordination/weight_rollout.h"

#include <catch2/catch.hpp>

#include "tests/fakes/rollout_fakes.h"

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

// Engines that take 200 ms to load weights. The engines of endpoints in `broken` fail.
struct FakeEngines : EngineControl {
  FakeEngines(Scheduler* scheduler, FakeEndpoints* endpoints) : callbacks(scheduler), endpoints(endpoints) {}
  void LoadWeights(const LoadWeightsCommand& command, BeforeWrite before_write, Callback callback) override {
    if (!before_write()) {
      callbacks.RunAfter(Duration(), [callback] { callback(LoadWeightsOutcome::kNotSent); });
      return;
    }
    commands.push_back(command);
    ++loading;
    max_loading = std::max(max_loading, loading);
    callbacks.RunAfter(Duration::Milliseconds(200), [this, command, callback] {
      --loading;
      const bool failed = broken.count(command.endpoint) > 0;
      for (EndpointState& state : endpoints->states) {
        state.weight_version = state.id == command.endpoint && !failed ? command.version : state.weight_version;
      }
      callback(failed ? LoadWeightsOutcome::kFailed : LoadWeightsOutcome::kDone);
    });
  }
  DeferredCallbacks callbacks;
  FakeEndpoints* endpoints;
  std::set<std::string> broken;
  std::vector<LoadWeightsCommand> commands;
  int loading = 0;
  int max_loading = 0;
};

struct WeightRolloutFixture {
  WeightRolloutFixture() {
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
  WeightRollout rollout{{&platform, &endpoints, &engines, &scheduler}, "s", WeightRolloutPlanOptions{}};
};

// Guards against a roll-out that swaps all replicas at once, leaves replicas out, sends commands to other services, or
// sends commands without the epoch of the lease.
TEST_CASE("each replica of the service loads the newest version, a few at a time, with the epoch") {
  WeightRolloutFixture fixture;
  fixture.rollout.Start(7, "holder", [] { return true; });
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(fixture.rollout.plan().complete());
  CHECK(fixture.engines.commands.size() == 12);
  CHECK(fixture.engines.max_loading <= 3);
  for (const LoadWeightsCommand& command : fixture.engines.commands) {
    CHECK(command.fencing_epoch == 7);
    CHECK(command.version == 2);
    CHECK(command.endpoint != "other");
  }
}

// Guards against commands of an instance whose lease has ended.
TEST_CASE("no command is written when the lease does not allow it") {
  WeightRolloutFixture fixture;
  fixture.rollout.Start(7, "holder", [] { return false; });
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(fixture.engines.commands.empty());
  fixture.rollout.Start(8, "holder", [] { return true; });
  fixture.scheduler.Advance(Duration::Milliseconds(1500));
  fixture.rollout.Stop();
  const size_t sent = fixture.engines.commands.size();
  fixture.scheduler.Advance(Duration::Seconds(10));
  CHECK(sent > 0);
  CHECK(fixture.engines.commands.size() == sent);
}

// Guards against an endpoint that stays in use with old weights, and against an endpoint that stays out of use after
// the next version was loaded. One engine fails until a new version is published.
TEST_CASE("an endpoint whose swaps keep failing is set aside until a swap succeeds") {
  WeightRolloutFixture fixture;
  fixture.engines.broken = {"e3"};
  fixture.rollout.Start(7, "holder", [] { return true; });
  fixture.scheduler.Advance(Duration::Seconds(20));
  CHECK(fixture.endpoints.states[3].set_aside);
  CHECK(fixture.rollout.plan().swapped() == 11);
  fixture.engines.broken.clear();
  fixture.weights.version = 3;
  fixture.scheduler.Advance(Duration::Seconds(20));
  CHECK_FALSE(fixture.endpoints.states[3].set_aside);
  CHECK(fixture.rollout.plan().complete());
}

}  // namespace
}  // namespace quetzalridge
