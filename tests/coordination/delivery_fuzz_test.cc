#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>

#include "tests/coordination/delivery_model.h"

namespace quetzalridge {

void showValue(const DeliveryStep& step, std::ostream& out) {
  out << static_cast<int>(step.action) << ":" << step.argument;
}

namespace {

// RapidCheck reads its parameters once, and draws a random seed if none is given. RC_PARAMS in the environment
// overrides the parameters here.
const bool kSeeded = setenv("RC_PARAMS", "seed=1 max_success=300", 0) == 0;

constexpr int kMaxArgument = 1200;

std::string RunSteps(const DeliveryMechanisms& mechanisms, const std::vector<DeliveryStep>& steps) {
  DeliveryModel model(mechanisms);
  for (const DeliveryStep& step : steps) {
    model.Run(step);
  }
  model.Finish();
  return model.violation();
}

// Actions are drawn from this list. Requests of the trainer and the advance of time occur more often than faults.
const std::vector<DeliveryAction>& WeightedActions() {
  static const std::vector<DeliveryAction> kActions = {DeliveryAction::kSubmit,
                                                       DeliveryAction::kSubmit,
                                                       DeliveryAction::kSubmitAgain,
                                                       DeliveryAction::kSendRequest,
                                                       DeliveryAction::kSendRequest,
                                                       DeliveryAction::kSendRequest,
                                                       DeliveryAction::kSendRequest,
                                                       DeliveryAction::kAbandonAndSendRequest,
                                                       DeliveryAction::kAbandonAndSendRequest,
                                                       DeliveryAction::kFetchAgain,
                                                       DeliveryAction::kFetchAgain,
                                                       DeliveryAction::kAdvance,
                                                       DeliveryAction::kAdvance,
                                                       DeliveryAction::kAdvance,
                                                       DeliveryAction::kAdvance,
                                                       DeliveryAction::kAdvance,
                                                       DeliveryAction::kTogglePause,
                                                       DeliveryAction::kToggleMembership,
                                                       DeliveryAction::kKill,
                                                       DeliveryAction::kTogglePause,
                                                       DeliveryAction::kToggleMembership,
                                                       DeliveryAction::kPublishVersion,
                                                       DeliveryAction::kPublishVersion,
                                                       DeliveryAction::kPublishVersion,
                                                       DeliveryAction::kFetchAgain,
                                                       DeliveryAction::kToggleVersionUnknown,
                                                       DeliveryAction::kToggleTableOutage,
                                                       DeliveryAction::kToggleObjectsOutage,
                                                       DeliveryAction::kLoseTableResponses,
                                                       DeliveryAction::kSlowDownObjects};
  return kActions;
}

std::vector<DeliveryStep> SeededSteps(uint64_t seed) {
  Random random(seed);
  const std::vector<DeliveryAction>& actions = WeightedActions();
  std::vector<DeliveryStep> steps(200);
  for (DeliveryStep& step : steps) {
    step.action = actions[random.Below(actions.size())];
    step.argument = static_cast<int>(random.Below(kMaxArgument));
  }
  return steps;
}

// Guards against samples that are delivered twice, lost, too old when the trainer fetches them, or labelled with wrong
// weight versions. Random sequences of steps kill instances, lose responses, cause outages, repeat requests and publish
// new versions.
TEST_CASE("delivery keeps its guarantees under faults") {
  const auto step_generator =
      rc::gen::construct<DeliveryStep>(rc::gen::elementOf(WeightedActions()), rc::gen::inRange(0, kMaxArgument));
  CHECK(rc::check("no sequence of steps violates the oracle", [&] {
    RC_PRE(kSeeded);
    const auto steps = *rc::gen::scale(2.0, rc::gen::container<std::vector<DeliveryStep>>(step_generator));
    const std::string violation = RunSteps({}, steps);
    RC_ASSERT(violation == "");
  }));
}

// Guards against a stale delivery at the exact limit: a version is published in the same millisecond in which the
// newest version was read, and the batch is returned exactly 500 ms later.
// Found with RC_PARAMS="max_success=6000 max_size=250 seed=77".
TEST_CASE("a reading that is exactly 500 ms old is not used") {
  const std::vector<DeliveryStep> steps = {{DeliveryAction::kSendRequest, 767},
                                           {DeliveryAction::kSlowDownObjects, 496},
                                           {DeliveryAction::kToggleTableOutage, 0},
                                           {DeliveryAction::kToggleVersionUnknown, 0},
                                           {DeliveryAction::kToggleTableOutage, 0},
                                           {DeliveryAction::kSubmit, 272},
                                           {DeliveryAction::kToggleVersionUnknown, 0},
                                           {DeliveryAction::kAdvance, 606},
                                           {DeliveryAction::kFetchAgain, 0},
                                           {DeliveryAction::kPublishVersion, 335},
                                           {DeliveryAction::kAdvance, 3}};
  CHECK(RunSteps({}, steps) == "");
}

// Guards against faults that need longer sequences of steps than the random ones above. The seeds are fixed.
TEST_CASE("long seeded sequences keep the guarantees and reach deliveries and void batches") {
  int batches = 0;
  int voids = 0;
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    DeliveryModel model({});
    for (const DeliveryStep& step : SeededSteps(seed)) {
      model.Run(step);
    }
    model.Finish();
    INFO("seed " << seed);
    REQUIRE(model.violation() == "");
    batches += model.batches_used();
    voids += model.voids();
  }
  WARN("500 sequences: " << batches << " batches used, " << voids << " void batches refused");
  CHECK(batches > 300);
  CHECK(voids > 30);
}

// Returns the first violation that any of the seeds finds, or an empty string.
std::string FindViolation(const DeliveryMechanisms& mechanisms) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    std::string violation = RunSteps(mechanisms, SeededSteps(seed));
    if (!violation.empty()) {
      return violation;
    }
  }
  return "";
}

// Guards against an oracle that checks too little. Each section turns one mechanism off, and the oracle must find the
// resulting violation.
TEST_CASE("the oracle finds the violation when a mechanism is off") {
  DeliveryMechanisms off;
  SECTION("compare-and-set") {
    off.table_checks = false;
    CHECK(FindViolation(off) != "");
  }
  SECTION("done rows") {
    off.done_rows = false;
    CHECK(FindViolation(off).find("twice") != std::string::npos);
  }
  SECTION("reading the newest version") {
    off.version_reads = false;
    CHECK(FindViolation(off).find("older than the staleness bound") != std::string::npos);
  }
  SECTION("reading the version again before a batch is returned") {
    off.version_freshness = Duration::Seconds(3600);
    CHECK(FindViolation(off).find("older than the staleness bound") != std::string::npos);
  }
  SECTION("takeover") {
    off.takeover = false;
    CHECK(FindViolation(off).find("used samples") != std::string::npos);
  }
  SECTION("stamps of the tokens") {
    off.true_stamps = false;
    CHECK(FindViolation(off).find("stamps") != std::string::npos);
  }
  SECTION("immutable objects") {
    off.stable_objects = false;
    CHECK(FindViolation(off).find("different bytes") != std::string::npos);
  }
  SECTION("use only after the confirmation") {
    off.confirmed_use = false;
    CHECK(FindViolation(off) != "");
  }
}

}  // namespace
}  // namespace quetzalridge
