#include "state/router.h"

#include <catch2/catch.hpp>
#include <vector>

#include "state/least_load_router.h"
#include "state/prefix_affinity_router.h"
#include "state/prefix_hash.h"
#include "state/random_router.h"
#include "state/two_choice_router.h"

namespace quetzalridge {
namespace {

constexpr uint64_t kSeed = 11;
const TimePoint kNow = TimePoint::FromMilliseconds(1'000'000);

std::vector<EndpointState> MakeEndpoints(int count) {
  std::vector<EndpointState> endpoints(count);
  for (int i = 0; i < count; ++i) {
    endpoints[i].id = "e" + std::to_string(i);
    endpoints[i].service = "svc";
    endpoints[i].zone = "z" + std::to_string(i % 3);
    endpoints[i].reported_at = kNow;
  }
  return endpoints;
}

RouteRequest MakeRequest() {
  RouteRequest request;
  request.service = "svc";
  return request;
}

// Guards against work for an endpoint that is leaving, set aside, already tried, or of another service.
TEST_CASE("no router sends to an endpoint that is not eligible") {
  RandomRouter random(kSeed);
  TwoChoiceRouter two_choice(kSeed);
  LeastLoadRouter least_load(kSeed);
  PrefixAffinityRouter affinity(kSeed);
  affinity.OnDispatched("e0", {7});
  std::vector<EndpointState> endpoints = MakeEndpoints(5);
  endpoints[0].leaving = true;
  endpoints[1].set_aside = true;
  endpoints[2].service = "other";
  RouteRequest request = MakeRequest();
  request.excluded = {"e3"};
  request.prefix_hashes = {7};
  for (Router* router : std::vector<Router*>{&random, &two_choice, &least_load, &affinity}) {
    for (int i = 0; i < 50; ++i) {
      CHECK(router->Choose(request, endpoints, kNow) == 4);
    }
  }
  request.excluded = {"e3", "e4"};
  for (Router* router : std::vector<Router*>{&random, &two_choice, &least_load, &affinity}) {
    CHECK(router->Choose(request, endpoints, kNow) == -1);
  }
}

// Guards against a full endpoint being chosen beside an idle one, and against a choice that ignores own dispatches.
TEST_CASE("two choices avoid the endpoint with the highest estimated load") {
  TwoChoiceRouter router(kSeed);
  std::vector<EndpointState> endpoints = MakeEndpoints(4);
  endpoints[1].own_since_report = 3;
  endpoints[1].own_in_flight = 3;
  for (int i = 0; i < 200; ++i) {
    CHECK(router.Choose(MakeRequest(), endpoints, kNow) != 1);
  }
}

// Guards against a report from before this instance's requests hiding them.
TEST_CASE("the estimated load is at least the own requests in flight") {
  EndpointState endpoint;
  endpoint.own_in_flight = 5;
  CHECK(EstimatedLoad(endpoint) == 5);
  endpoint.reported_running = 8;
  endpoint.own_since_report = 2;
  CHECK(EstimatedLoad(endpoint) == 10);
}

RouteRequest MakePromptRequest(const std::string& prompt) {
  RouteRequest request = MakeRequest();
  request.prefix_hashes = PrefixHashes(prompt);
  return request;
}

// Guards against equal blocks after different beginnings, and against an incomplete block, counting as one prefix.
TEST_CASE("prefix hashes cover all blocks before them, longest first") {
  const std::string block(kPrefixBlockBytes, 'a');
  const std::string other(kPrefixBlockBytes, 'b');
  const std::vector<uint64_t> hashes = PrefixHashes(block + block + "tail");
  REQUIRE(hashes.size() == 2);
  CHECK(hashes[1] == PrefixHashes(block)[0]);
  CHECK(hashes[0] != PrefixHashes(other + block)[0]);
  CHECK(PrefixHashes("short").empty());
  CHECK(PrefixHashes(std::string(kPrefixBlockBytes * (kMaxPrefixBlocks + 5), 'x')).size() == kMaxPrefixBlocks);
}

// Guards against a popular prefix overloading its holder: the load stays within 1.25 times the mean, rounded up.
TEST_CASE("prefix affinity keeps a popular prefix within the load bound") {
  PrefixAffinityRouter router(kSeed);
  std::vector<EndpointState> endpoints = MakeEndpoints(4);
  const RouteRequest request = MakePromptRequest(std::string(kPrefixBlockBytes * 3, 'p'));
  for (int sent = 1; sent <= 64; ++sent) {
    const int chosen = router.Choose(request, endpoints, kNow);
    REQUIRE(chosen >= 0);
    ++endpoints[chosen].own_in_flight;
    ++endpoints[chosen].own_since_report;
    router.OnDispatched(endpoints[chosen].id, request.prefix_hashes);
    CHECK(endpoints[chosen].own_in_flight <= static_cast<int>(1.25 * sent / 4) + 1);
  }
}

// Guards against instances that spread a new prefix over many endpoints before the first cache event arrives.
TEST_CASE("instances send a new prefix to the same endpoint without cache events") {
  std::vector<EndpointState> endpoints = MakeEndpoints(12);
  std::vector<EndpointState> reversed(endpoints.rbegin(), endpoints.rend());
  for (int p = 0; p < 20; ++p) {
    const RouteRequest request = MakePromptRequest(std::string(kPrefixBlockBytes, static_cast<char>('a' + p)));
    PrefixAffinityRouter one(kSeed);
    PrefixAffinityRouter two(kSeed + 1);
    CHECK(endpoints[one.Choose(request, endpoints, kNow)].id == reversed[two.Choose(request, reversed, kNow)].id);
  }
}

// Guards against lost eviction events: after a gap an endpoint whose events arrived is preferred, and after a second
// gap the entry is not used.
TEST_CASE("prefix affinity prefers holders whose cache events are complete") {
  PrefixAffinityRouter router(kSeed);
  std::vector<EndpointState> endpoints = MakeEndpoints(12);
  RouteRequest request = MakeRequest();
  request.prefix_hashes = {5};
  const int home = router.Choose(request, endpoints, kNow);
  const int a = (home + 1) % 12;
  const int b = (home + 2) % 12;
  router.OnCacheStored(endpoints[a].id, 5);
  CHECK(router.Choose(request, endpoints, kNow) == a);
  router.OnCacheGap(endpoints[a].id);
  CHECK(router.Choose(request, endpoints, kNow) == a);
  router.OnCacheStored(endpoints[b].id, 5);
  CHECK(router.Choose(request, endpoints, kNow) == b);
  router.OnCacheEvicted(endpoints[b].id, 5);
  CHECK(router.Choose(request, endpoints, kNow) == a);
  router.OnCacheGap(endpoints[a].id);
  CHECK(router.Choose(request, endpoints, kNow) == home);
}

// Guards against a new endpoint, with its empty cache, receiving all traffic because it reports no load.
TEST_CASE("a new endpoint gets little load during its slow start") {
  PrefixAffinityRouter router(kSeed);
  std::vector<EndpointState> endpoints = MakeEndpoints(4);
  for (EndpointState& endpoint : endpoints) {
    endpoint.reported_running = 4;
  }
  endpoints[2].reported_running = 0;
  endpoints[2].first_seen = kNow;
  const auto share_of_new = [&](TimePoint now) {
    std::vector<EndpointState> view = endpoints;
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      const int chosen = router.Choose(MakeRequest(), view, now);
      ++view[chosen].own_since_report;
      sent += chosen == 2 ? 1 : 0;
    }
    return sent;
  };
  CHECK(share_of_new(kNow) < 10);
  CHECK(share_of_new(kNow + Duration::Seconds(10)) > 20);
}

// Guards against an index that grows without bound while endpoints never report evictions.
TEST_CASE("the prefix index is bounded") {
  PrefixAffinityRouter router(kSeed);
  for (uint64_t hash = 1; hash <= 300'000; ++hash) {
    router.OnDispatched("e0", {hash});
  }
  CHECK(router.indexed_prefixes() <= 100'000);
}

}  // namespace
}  // namespace quetzalridge
