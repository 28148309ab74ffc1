#include "state/home_regions.h"

#include <catch2/catch.hpp>

#include "state/serving_config.h"

namespace quetzalridge {
namespace {

// Guards against requests that leave their region because only one of two restrictions was applied.
TEST_CASE("where a route and a workspace have home regions, both restrictions apply") {
  ServingConfig config;
  config.version = 1;
  ServiceRoute open;
  ServiceRoute home;
  home.home_regions = HomeRegions({"east", "north"});
  config.workspaces = {{"open", {"k1"}, {}}, {"home", {"k2"}, HomeRegions({"north", "west"})}};
  RouteTable table;
  REQUIRE(table.Apply(config));
  CHECK_FALSE(table.HomeRegionsOf(open, "open").restricts());
  CHECK(table.HomeRegionsOf(open, "open").Allows(""));
  CHECK(table.HomeRegionsOf(home, "open").Allows("east"));
  CHECK(table.HomeRegionsOf(home, "").Allows("east"));
  CHECK(table.HomeRegionsOf(open, "home").Allows("west"));
  CHECK_FALSE(table.HomeRegionsOf(open, "home").Allows("east"));
  const HomeRegions both = table.HomeRegionsOf(home, "home");
  CHECK(both.Allows("north"));
  CHECK_FALSE(both.Allows("east"));
  CHECK_FALSE(both.Allows("west"));
  // A zone whose region is not known may be anywhere.
  CHECK_FALSE(both.Allows(""));
  CHECK_FALSE(HomeRegions(std::set<std::string>()).Allows("north"));
}

}  // namespace
}  // namespace quetzalridge
