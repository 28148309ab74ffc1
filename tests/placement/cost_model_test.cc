#include "placement/cost_model.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

#include "base/random.h"

namespace quetzalridge {
namespace {

constexpr double kTokensPerEvent = 7.0;
constexpr int kResults = 300;

ItemTraits MakeTraits(const std::string& workspace, double hint) {
  ItemTraits traits;
  traits.route = "r";
  traits.workspace = workspace;
  traits.length_hint = std::lround(hint);
  return traits;
}

// Feeds results whose estimates are exact in the median and have the given spread.
void Teach(CostModel* model, const std::string& workspace, double log_error, int results) {
  Random random(1);
  for (int i = 0; i < results; ++i) {
    const double events = 14.0 * std::exp(random.Normal(0.0, 0.8));
    const double hint = kTokensPerEvent * events * std::exp(random.Normal(0.0, log_error));
    model->OnFinished(MakeTraits(workspace, hint), std::lround(events));
  }
}

// Guards against decisions by a model that has seen next to nothing.
TEST_CASE("a prediction is not usable before there are enough results") {
  CostModel model;
  CHECK_FALSE(model.Predict(MakeTraits("w", 100)).usable);
  Teach(&model, "w", 0.1, 50);
  CHECK_FALSE(model.Predict(MakeTraits("w", 100)).usable);
  Teach(&model, "w", 0.1, 50);
  CHECK(model.Predict(MakeTraits("w", 100)).usable);
}

// Guards against estimates in tokens that are taken for events, and against an error that is not known.
TEST_CASE("the length is predicted in events from an estimate in tokens, with its error") {
  CostModel model;
  Teach(&model, "w", 0.3, kResults);
  const LengthPrediction prediction = model.Predict(MakeTraits("w", kTokensPerEvent * 40));
  REQUIRE(prediction.usable);
  CHECK(prediction.events > 25.0);
  CHECK(prediction.events < 50.0);
  CHECK(prediction.log_error > 0.2);
  CHECK(prediction.log_error < 0.4);
}

// Guards against random estimates that decide. The results arrive shortest first, as those of a job do, which must not
// look like a prediction.
TEST_CASE("predictions from random estimates are not usable") {
  Random random(2);
  CostModel model;
  for (int job = 0; job < 4; ++job) {
    std::vector<double> lengths;
    for (int i = 0; i < 150; ++i) {
      lengths.push_back(14.0 * std::exp(random.Normal(0.0, 0.8)));
    }
    std::sort(lengths.begin(), lengths.end());
    for (const double length : lengths) {
      model.OnFinished(MakeTraits("w", 100.0 * std::exp(random.Normal(0.0, 1.0))), std::lround(length));
      CHECK_FALSE(model.Predict(MakeTraits("w", 100)).usable);
    }
  }
}

// Guards against one workspace's bad estimates that spoil the predictions for the others, and against a new workspace
// that starts without what is known of its route.
TEST_CASE("a workspace has its own predictions, and a new one those of its route") {
  CostModel model;
  Teach(&model, "good", 0.1, kResults);
  CHECK(model.Predict(MakeTraits("new", 100)).usable);
  Teach(&model, "bad", 3.0, kResults);
  CHECK(model.Predict(MakeTraits("good", 100)).usable);
  CHECK_FALSE(model.Predict(MakeTraits("bad", 100)).usable);
}

// Guards against past results of a group that are not used for its other items.
TEST_CASE("items of a group whose first items were long are predicted to be longer") {
  Random random(3);
  CostModel model;
  ItemTraits traits = MakeTraits("w", 0);
  for (int group = 0; group < 200; ++group) {
    traits.group = "g" + std::to_string(group);
    const double group_length = 14.0 * std::exp(random.Normal(0.0, 1.0));
    for (int i = 0; i < 8; ++i) {
      traits.group_deviation = model.GroupDeviation(traits.group);
      model.OnFinished(traits, std::lround(group_length * std::exp(random.Normal(0.0, 0.2))));
    }
  }
  CHECK_FALSE(model.GroupDeviation("next").has_value());
  traits.group = "next";
  traits.group_deviation.reset();
  const double before = model.Predict(traits).events;
  for (int i = 0; i < 4; ++i) {
    model.OnFinished(traits, 100);
  }
  traits.group_deviation = model.GroupDeviation("next");
  CHECK(model.Predict(traits).usable);
  CHECK(model.Predict(traits).events > 3.0 * before);
}

}  // namespace
}  // namespace quetzalridge
