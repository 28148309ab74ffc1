#include "state/endpoint_scaling.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

const std::vector<ScalingZone> kZones = {{"a", 1.0, 1, 8, 4}, {"b", 0.8, 1, 8, 4}, {"c", 1.25, 1, 8, 4}};

// Guards against endpoints that are ordered without demand, and against training steps that wait for slots.
TEST_CASE("the number of endpoints follows the slots that training steps need, spread over the zones") {
  CHECK(PlanScaling(kZones, 100, 12) == std::map<std::string, int>{{"a", 4}, {"b", 4}, {"c", 4}});
  // 228 slots with headroom need 24 endpoints of 12 slots.
  CHECK(PlanScaling(kZones, 228, 12) == std::map<std::string, int>{{"a", 8}, {"b", 8}, {"c", 8}});
  // The remaining endpoint goes to the cheapest zone.
  CHECK(PlanScaling(kZones, 120, 12) == std::map<std::string, int>{{"a", 4}, {"b", 5}, {"c", 4}});
}

// Guards against plans outside of the operator's bounds, for very large and for no demand.
TEST_CASE("the plan stays within the operator's bounds") {
  CHECK(PlanScaling(kZones, 10'000, 12) == std::map<std::string, int>{{"a", 8}, {"b", 8}, {"c", 8}});
  CHECK(PlanScaling({{"a", 1.0, 2, 8, 0}}, 0, 12) == std::map<std::string, int>{{"a", 2}});
  CHECK(PlanScaling({}, 100, 12).empty());
}

}  // namespace
}  // namespace quetzalridge
