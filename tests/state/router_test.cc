#include "state/router.h"

#include <catch2/catch.hpp>
#include <vector>

#include "state/admission.h"
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

// Guards against requests on an endpoint that is draining, out of use, already tried, or of another service.
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

// Guards against the choice of a loaded endpoint while an idle one exists, and against an estimate that ignores the
// requests that this instance has sent since the last report.
TEST_CASE("two choices avoid the endpoint with the highest estimated load") {
  TwoChoiceRouter router(kSeed);
  std::vector<EndpointState> endpoints = MakeEndpoints(4);
  endpoints[1].own_since_report = 3;
  endpoints[1].own_in_flight = 3;
  for (int i = 0; i < 200; ++i) {
    CHECK(router.Choose(MakeRequest(), endpoints, kNow) != 1);
  }
}

// Guards against an estimate that omits this instance's requests because they were sent after the last load report.
TEST_CASE("the estimated load is at least the instance's own requests in flight") {
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

// Guards against equal hashes for equal blocks after different beginnings, and against a hash for an incomplete block.
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

// Guards against an overload of the endpoint that holds a popular prefix. The load must stay within 1.25 times the
// mean, rounded up.
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

// Guards against instances that send the requests with a new prefix to many endpoints before the first cache event
// arrives.
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

// Guards against entries that are outdated because eviction events were lost. After a loss, an endpoint without lost
// events is preferred; after a second loss, the entry is not used.
TEST_CASE("prefix affinity prefers holders whose cache events are complete") {
  PrefixAffinityRouter router(kSeed);
  std::vector<EndpointState> endpoints = MakeEndpoints(12);
  RouteRequest request = MakeRequest();
  request.prefix_hashes = {5};
  const int by_hash = router.Choose(request, endpoints, kNow);
  const int a = (by_hash + 1) % 12;
  const int b = (by_hash + 2) % 12;
  router.OnCacheStored(endpoints[a].id, 5);
  CHECK(router.Choose(request, endpoints, kNow) == a);
  router.OnCacheEventsLost(endpoints[a].id);
  CHECK(router.Choose(request, endpoints, kNow) == a);
  router.OnCacheStored(endpoints[b].id, 5);
  CHECK(router.Choose(request, endpoints, kNow) == b);
  router.OnCacheEvicted(endpoints[b].id, 5);
  CHECK(router.Choose(request, endpoints, kNow) == a);
  router.OnCacheEventsLost(endpoints[a].id);
  CHECK(router.Choose(request, endpoints, kNow) == by_hash);
}

// Guards against a new endpoint, whose cache is empty, that gets all traffic because it reports no load.
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

// Guards against an index that grows without limit while endpoints never report evictions.
TEST_CASE("the size of the prefix index is bounded") {
  PrefixAffinityRouter router(kSeed);
  for (uint64_t hash = 1; hash <= 300'000; ++hash) {
    router.OnDispatched("e0", {hash});
  }
  CHECK(router.indexed_prefixes() <= 100'000);
}

// Guards against requests that are sent according to an old report to endpoints that peers have filled since then.
TEST_CASE("the counts of peers replace the load report if all peers have reported") {
  EndpointState endpoint = MakeEndpoints(1)[0];
  endpoint.reported_running = 10;
  endpoint.reported_queued = 2;
  endpoint.own_in_flight = 3;
  endpoint.own_since_report = 1;
  CHECK(EstimatedLoad(endpoint) == 13);
  endpoint.peer_in_flight = 12;
  CHECK(EstimatedLoad(endpoint) == 15);
  endpoint.peer_in_flight = 4;
  CHECK(EstimatedLoad(endpoint) == 13);
  endpoint.all_peers_counted = true;
  CHECK(EstimatedLoad(endpoint) == 7);
}

// Guards against rollouts and requests on borrowed slots that take the last slots, so that requests within the share
// wait.
TEST_CASE("requests outside the share leave slots of each endpoint free") {
  std::vector<EndpointState> endpoints = MakeEndpoints(1);
  endpoints[0].all_peers_counted = true;
  const auto max_load = [&](int priority) {
    int load = 0;
    for (endpoints[0].own_in_flight = 0; HasFreeSlot(endpoints[0], priority); ++endpoints[0].own_in_flight) {
      ++load;
    }
    return load;
  };
  CHECK(max_load(kEnginePriorityWithinShare) == 16);
  CHECK(max_load(kEnginePriorityBorrowed) == 14);
  CHECK(max_load(kEnginePriorityRollout) == 12);
  endpoints[0].slots = 1;
  CHECK(max_load(kEnginePriorityRollout) == 1);
}

// Guards against routers that fill the queue of an endpoint while the request could wait on the instance, and against a
// request that waits although no endpoint could ever serve it.
TEST_CASE("no router sends a request that needs a free slot to a full endpoint") {
  RandomRouter random(kSeed);
  TwoChoiceRouter two_choice(kSeed);
  LeastLoadRouter least_load(kSeed);
  PrefixAffinityRouter affinity(kSeed);
  affinity.OnDispatched("e0", {7});
  std::vector<EndpointState> endpoints = MakeEndpoints(3);
  endpoints[0].own_in_flight = 16;
  endpoints[1].own_in_flight = 16;
  RouteRequest request = MakeRequest();
  request.needs_free_slot = true;
  request.prefix_hashes = {7};
  for (Router* router : std::vector<Router*>{&random, &two_choice, &least_load, &affinity}) {
    for (int i = 0; i < 20; ++i) {
      CHECK(router->Choose(request, endpoints, kNow) == 2);
    }
  }
  endpoints[2].own_in_flight = 16;
  for (Router* router : std::vector<Router*>{&random, &two_choice, &least_load, &affinity}) {
    CHECK(router->Choose(request, endpoints, kNow) == -1);
  }
  CHECK(ShouldWaitForFreeSlot(request, endpoints));
  for (EndpointState& endpoint : endpoints) {
    endpoint.leaving = true;
  }
  CHECK_FALSE(ShouldWaitForFreeSlot(request, endpoints));
}

// Guards against requests on borrowed slots that copy their prefix to more endpoints, where it evicts prefixes of
// others, and against requests within the share that wait for the holder of their prefix.
TEST_CASE("requests outside the share wait for a limited time for the endpoint that holds their prefix") {
  PrefixAffinityRouter router(kSeed);
  router.OnDispatched("e0", {7});
  std::vector<EndpointState> endpoints = MakeEndpoints(2);
  endpoints[0].own_in_flight = 16;
  RouteRequest request = MakeRequest();
  request.needs_free_slot = true;
  request.prefix_hashes = {7};
  CHECK(router.Choose(request, endpoints, kNow) == 1);
  request.engine_priority = kEnginePriorityBorrowed;
  CHECK(router.Choose(request, endpoints, kNow) == -1);
  CHECK(ShouldWaitForFreeSlot(request, endpoints));
  request.waited = Duration::Milliseconds(300);
  CHECK(router.Choose(request, endpoints, kNow) == 1);
  request.engine_priority = kEnginePriorityRollout;
  CHECK(router.Choose(request, endpoints, kNow) == -1);
  request.waited = Duration::Seconds(2);
  CHECK(router.Choose(request, endpoints, kNow) == 1);
}

// Guards against two long prompts that one engine processes one after the other while another engine processes none.
TEST_CASE("a prompt without a known prefix goes to the endpoint that is processing the fewest prompts") {
  PrefixAffinityRouter router(kSeed);
  std::vector<EndpointState> endpoints = MakeEndpoints(4);
  for (EndpointState& endpoint : endpoints) {
    endpoint.own_in_flight = 2;
    endpoint.awaiting_first_token = 1;
  }
  endpoints[3].awaiting_first_token = 0;
  RouteRequest request = MakeRequest();
  for (uint64_t prefix = 1; prefix <= 30; ++prefix) {
    request.prefix_hashes = {prefix};
    CHECK(router.Choose(request, endpoints, kNow) == 3);
  }
}

}  // namespace
}  // namespace quetzalridge
