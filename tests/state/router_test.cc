#include "state/router.h"

#include <catch2/catch.hpp>
#include <vector>

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
  std::vector<EndpointState> endpoints = MakeEndpoints(5);
  endpoints[0].leaving = true;
  endpoints[1].set_aside = true;
  endpoints[2].service = "other";
  RouteRequest request = MakeRequest();
  request.excluded = {"e3"};
  for (Router* router : std::vector<Router*>{&random, &two_choice}) {
    for (int i = 0; i < 50; ++i) {
      CHECK(router->Choose(request, endpoints, kNow) == 4);
    }
  }
  request.excluded = {"e3", "e4"};
  for (Router* router : std::vector<Router*>{&random, &two_choice}) {
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

}  // namespace
}  // namespace quetzalridge
