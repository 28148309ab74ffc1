#include "state/endpoint_scaling.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

const std::vector<ScalingZone> kZones = {{"a", 1.0, 1, 8, 4}, {"b", 0.8, 1, 8, 4}, {"c", 1.25, 1, 8, 4}};

// Guards against spending without demand, and against steps that wait for places.
TEST_CASE("endpoints follow the places that steps need, spread over the zones") {
  CHECK(PlanScaling(kZones, 100, 12) == std::map<std::string, int>{{"a", 4}, {"b", 4}, {"c", 4}});
  // 228 places with headroom are 24 endpoints of 12 places.
  CHECK(PlanScaling(kZones, 228, 12) == std::map<std::string, int>{{"a", 8}, {"b", 8}, {"c", 8}});
  // What is left over goes to the cheapest zone.
  CHECK(PlanScaling(kZones, 120, 12) == std::map<std::string, int>{{"a", 4}, {"b", 5}, {"c", 4}});
}

TEST_CASE("the operator's bounds hold") {
  CHECK(PlanScaling(kZones, 10'000, 12) == std::map<std::string, int>{{"a", 8}, {"b", 8}, {"c", 8}});
  CHECK(PlanScaling({{"a", 1.0, 2, 8, 0}}, 0, 12) == std::map<std::string, int>{{"a", 2}});
  CHECK(PlanScaling({}, 100, 12).empty());
}

}  // namespace
}  // namespace quetzalridge
