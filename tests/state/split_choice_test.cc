#include "state/split_choice.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

constexpr int kRequests = 4000;

class SplitFixture {
 public:
  explicit SplitFixture(std::vector<ServiceShare> services) {
    route.name = "route";
    route.services = std::move(services);
  }
  // One endpoint of each of these services is registered.
  void Register(const std::set<std::string>& services) {
    std::vector<EndpointEntry> entries;
    for (const std::string& service : services) {
      EndpointEntry entry;
      entry.id = "endpoint of " + service;
      entry.service = service;
      entry.zone = "zone of " + service;
      entry.region = "region of " + service;
      entries.push_back(entry);
    }
    directory.Update(entries, false);
  }
  // The share of the requests for which a service comes first.
  double ShareOf(const std::string& service) const {
    int first = 0;
    for (int i = 0; i < kRequests; ++i) {
      first += Choose(i).front() == service ? 1 : 0;
    }
    return static_cast<double>(first) / kRequests;
  }
  std::vector<std::string> Choose(int request, Duration waited = Duration()) const {
    return ChooseServices(route, Hash64(std::to_string(request)), directory, regions, waited);
  }

  ManualScheduler scheduler;
  EndpointDirectory directory{&scheduler.clock()};
  ServiceRoute route;
  HomeRegions regions;
};

constexpr double kTolerance = 0.03;

TEST_CASE("requests are split in proportion to the weights while all services have endpoints") {
  SplitFixture fixture({{"a", 60}, {"b", 30}, {"c", 10}});
  fixture.Register({"a", "b", "c"});
  CHECK(fixture.ShareOf("a") == Approx(0.6).margin(kTolerance));
  CHECK(fixture.ShareOf("b") == Approx(0.3).margin(kTolerance));
  CHECK(fixture.ShareOf("c") == Approx(0.1).margin(kTolerance));
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(fixture.Choose(i).size() == 1);
  }
}

// Guards against work that waits for a service without endpoints while the others of its split are idle (review case
// 9).
TEST_CASE("the share of a service without working endpoints goes to the others, by their weights, until it is back") {
  SplitFixture fixture({{"a", 60}, {"b", 30}, {"c", 10}});
  fixture.Register({"b", "c"});
  CHECK(fixture.ShareOf("a") == 0.0);
  CHECK(fixture.ShareOf("b") == Approx(0.75).margin(kTolerance));
  fixture.Register({"c"});
  CHECK(fixture.ShareOf("c") == 1.0);
  fixture.Register({});
  CHECK(fixture.ShareOf("a") == Approx(0.6).margin(kTolerance));
  fixture.Register({"a", "b", "c"});
  CHECK(fixture.ShareOf("a") == Approx(0.6).margin(kTolerance));
}

TEST_CASE("a request keeps its service when the share of another one is moved") {
  SplitFixture fixture({{"a", 60}, {"b", 30}, {"c", 10}});
  fixture.Register({"a", "b", "c"});
  std::map<int, std::string> before;
  for (int i = 0; i < kRequests; ++i) {
    before[i] = fixture.Choose(i).front();
  }
  fixture.Register({"b", "c"});
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE((before[i] == "a" || fixture.Choose(i).front() == before[i]));
  }
}

TEST_CASE("a service without endpoints is one whose endpoints are evacuated, leave, do not respond or are too far") {
  SplitFixture fixture({{"a", 50}, {"b", 50}});
  fixture.Register({"a", "b"});
  REQUIRE(fixture.ShareOf("a") > 0.0);
  SECTION("evacuated") {
    fixture.directory.SetEvacuatedZones({"zone of a"});
  }
  SECTION("leaving") {
    fixture.directory.OnLeaving("endpoint of a", 0);
  }
  SECTION("no response") {
    fixture.directory.OnNoResponse("endpoint of a");
  }
  SECTION("another endpoint has its address") {
    fixture.directory.OnAddressReassigned("endpoint of a");
  }
  SECTION("not in the home regions") {
    fixture.regions = HomeRegions({"region of b"});
  }
  CHECK(fixture.ShareOf("a") == 0.0);
}

TEST_CASE("a service whose endpoints are full keeps its share for a moment, and is tried first afterwards") {
  SplitFixture fixture({{"a", 50}, {"b", 50}});
  fixture.Register({"a", "b"});
  fixture.directory.OnFull("endpoint of a");
  CHECK(fixture.ShareOf("a") == Approx(0.5).margin(kTolerance));
  for (int i = 0; i < kRequests; ++i) {
    const std::vector<std::string> before = fixture.Choose(i, kMaxServiceWait - Duration::Milliseconds(1));
    const std::vector<std::string> after = fixture.Choose(i, kMaxServiceWait);
    REQUIRE(before.size() == 1);
    REQUIRE(after.size() == 2);
    REQUIRE(after.front() == before.front());
  }
}

TEST_CASE("a service with weight 0 gets nothing while others have a share") {
  SplitFixture fixture({{"a", 0}, {"b", 50}, {"c", 50}});
  fixture.Register({"a", "b"});
  CHECK(fixture.ShareOf("b") == 1.0);
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(fixture.Choose(i, kMaxServiceWait) == std::vector<std::string>{"b"});
  }
  fixture.Register({"a"});
  CHECK(fixture.ShareOf("a") == 0.0);
}

}  // namespace
}  // namespace quetzalridge
