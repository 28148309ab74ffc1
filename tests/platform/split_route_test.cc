#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/platform/node_cluster.h"

namespace quetzalridge::platform {
namespace {

constexpr int kRequests = 30;

// Guards against refusals for a share of the callers while the endpoints of another service of the split are free.
TEST_CASE("requests of a split route are served though one of its services has no endpoints, or none that responds") {
  Cluster cluster;
  cluster.ChangeConfig([](nlohmann::json* config) {
    (*config)["Routes"][0]["Split"] = {{{"Service", soak::kPlainService}, {"Weight", 50}},
                                       {{"Service", "absent"}, {"Weight", 50}}};
  });
  CHECK(cluster.Serve(0, kRequests) == kRequests);
  // The registry lists an endpoint at an address at which nothing listens.
  cluster.AddToRegistry("silent", "127.0.0.1:1", "absent");
  cluster.RunFor(Duration::Seconds(1));
  CHECK(cluster.Serve(1, kRequests) == kRequests);
}

}  // namespace
}  // namespace quetzalridge::platform
