#include "coordination/rate_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr double kLimit = 1.0;
constexpr Duration kWindow = Duration::Seconds(4);
// Instances know of a limit this long after an endpoint first set it.
constexpr Duration kNotice = Duration::Seconds(3);
// Calls in one window that the users' platform allows at most.
constexpr int kMostCalls = static_cast<int>(1.5 * kLimit * 4) + 5;

// The largest number of runs that began on the endpoint within one window, from `begin` on.
int MostRunsInWindow(const std::vector<ItemRunRecord>& runs, const std::string& endpoint, TimePoint begin,
                     Duration window = kWindow) {
  std::vector<TimePoint> times;
  for (const ItemRunRecord& run : runs) {
    if (run.endpoint == endpoint && run.at >= begin) {
      times.push_back(run.at);
    }
  }
  size_t most = 0;
  for (size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

TEST_CASE("endpoints with a rate limit get no more items from all instances than it allows") {
  BatchFixture fixture(1);
  fixture.engines.event_gap = Duration::Milliseconds(100);
  fixture.engines.rate_limits = {{"engine-0", kLimit}, {"engine-1", kLimit}};
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  const TimePoint start = fixture.scheduler.Now();
  for (const char* name : {"one", "two", "three"}) {
    REQUIRE(fixture.Submit(name, BatchFixture::MakeJob(std::string("job-of-") + name, 300)) ==
            SubmitOutcome::kAccepted);
  }
  fixture.scheduler.Advance(Duration::Seconds(15));
  for (const char* endpoint : {"engine-0", "engine-1"}) {
    CHECK(MostRunsInWindow(fixture.engines.runs, endpoint, start + kNotice) <= kMostCalls);
  }
}

// Guards against shares of a limit that instances without work keep from the others: with a fixed share for each of
// four instances, the one that has work would get a quarter.
TEST_CASE("an instance that alone has work uses the whole rate limit of an endpoint") {
  BatchFixture fixture(1);
  fixture.engines.event_gap = Duration::Milliseconds(400);
  fixture.engines.rate_limits = {{"engine-0", kLimit}};
  for (const char* name : {"one", "two", "three", "four"}) {
    fixture.StartInstance(name);
  }
  REQUIRE(fixture.Submit("one", BatchFixture::MakeJob("job", 300)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(5));
  const size_t before = fixture.engines.runs.size();
  constexpr int kSeconds = 20;
  fixture.scheduler.Advance(Duration::Seconds(kSeconds));
  const auto runs =
      std::count_if(fixture.engines.runs.begin() + static_cast<std::ptrdiff_t>(before), fixture.engines.runs.end(),
                    [](const ItemRunRecord& run) { return run.endpoint == "engine-0"; });
  CHECK(runs >= 0.8 * kLimit * kSeconds);
}

// Answers the calls of one instance with a head that names a limit, at once.
class LimitedEndpoint : public EndpointCaller {
 public:
  std::unique_ptr<EndpointExchange> Start(EndpointCall, EndpointCallObserver* observer) override {
    ++calls;
    EndpointResponseHead head;
    head.status = status;
    head.not_run = status == 503;
    head.rate_limit = limit;
    if (!holds_head) {
      observer->OnHead(head);
    }
    held_observer = observer;
    return nullptr;
  }
  int status = 200;
  // The test sends the head.
  bool holds_head = false;
  EndpointCallObserver* held_observer = nullptr;
  std::optional<double> limit = 2.0;
  int calls = 0;
};

class SilentObserver : public EndpointCallObserver {
 public:
  void OnHead(const EndpointResponseHead&) override {}
  void OnBody(std::string_view) override {}
  void OnEvent(const StreamEvent&) override {}
  void OnEnd(const EndpointCallResult& received) override { result = received; }
  std::optional<EndpointCallResult> result;
};

class ScriptedPermitClient : public PermitClient {
 public:
  void Ask(const std::string& instance, const PermitRequest&,
           std::function<void(std::optional<PermitReply>)> callback) override {
    asked.push_back(instance);
    reply = std::move(callback);
  }
  std::vector<std::string> asked;
  std::function<void(std::optional<PermitReply>)> reply;
};

struct LimiterFixture {
  LimiterFixture() {
    EndpointEntry entry;
    entry.id = "e";
    entry.service = "s";
    directory.Update({entry}, false);
  }
  // Returns whether the call was sent.
  bool Call() {
    const int before = endpoint.calls;
    EndpointCall call;
    call.endpoint_id = "e";
    // Time passes between the response to one call and the start of the next.
    scheduler.Advance(Duration::Milliseconds(1));
    exchanges.push_back(limiter.Start(std::move(call), &observer));
    scheduler.Advance(Duration::Milliseconds(1));
    return endpoint.calls > before;
  }

  ManualScheduler scheduler;
  EndpointDirectory directory{&scheduler.clock()};
  LimitedEndpoint endpoint;
  ScriptedPermitClient client;
  std::vector<std::string> live = {"other"};
  RateLimiter limiter{{&scheduler, &endpoint, &directory, &client, "own", [this] { return live; }}};
  SilentObserver observer;
  void GrantPermit() {
    limiter.Request("e");
    client.reply(PermitReply{true, Duration()});
  }
  std::vector<std::unique_ptr<EndpointExchange>> exchanges;
};

// Guards against bursts because a refusal, an error or a response to an earlier call does not name the limit.
TEST_CASE("only a successful response to a later call lifts a rate limit") {
  LimiterFixture fixture;
  fixture.endpoint.holds_head = true;
  REQUIRE(fixture.Call());
  EndpointCallObserver* earlier = fixture.endpoint.held_observer;
  fixture.endpoint.holds_head = false;
  REQUIRE(fixture.Call());
  CHECK(!fixture.limiter.MaySend("e"));
  EndpointResponseHead without_limit;
  without_limit.status = 200;
  earlier->OnHead(without_limit);
  CHECK(!fixture.limiter.MaySend("e"));
  fixture.endpoint.limit.reset();
  for (const int status : {503, 500, 504}) {
    fixture.endpoint.status = status;
    fixture.GrantPermit();
    REQUIRE(fixture.Call());
    CHECK(!fixture.limiter.MaySend("e"));
  }
  fixture.endpoint.status = 200;
  fixture.GrantPermit();
  REQUIRE(fixture.Call());
  CHECK(fixture.limiter.MaySend("e"));
}

// Guards against callers that forget to ask for a permit.
TEST_CASE("a call to an endpoint with a rate limit is not sent without a permit") {
  LimiterFixture fixture;
  REQUIRE(fixture.Call());
  CHECK(!fixture.limiter.MaySend("e"));
  CHECK(!fixture.Call());
  REQUIRE(fixture.observer.result.has_value());
  CHECK(fixture.observer.result->outcome == EndpointCallOutcome::kNotSent);
}

TEST_CASE("a permit allows one call and is lost when it is not used") {
  LimiterFixture fixture;
  REQUIRE(fixture.Call());
  fixture.limiter.Request("e");
  REQUIRE(fixture.client.asked == std::vector<std::string>{"other"});
  fixture.client.reply(PermitReply{true, Duration()});
  CHECK(fixture.Call());
  CHECK(!fixture.Call());
  fixture.limiter.Request("e");
  fixture.client.reply(PermitReply{true, Duration()});
  fixture.scheduler.Advance(Duration::Seconds(5));
  CHECK(!fixture.Call());
}

TEST_CASE("an instance that does not answer is asked again after a while, and no call is sent meanwhile") {
  LimiterFixture fixture;
  REQUIRE(fixture.Call());
  fixture.limiter.Request("e");
  fixture.client.reply(std::nullopt);
  fixture.limiter.Request("e");
  CHECK(fixture.client.asked.size() == 1);
  CHECK(!fixture.Call());
  fixture.scheduler.Advance(Duration::Milliseconds(300));
  fixture.limiter.Request("e");
  CHECK(fixture.client.asked.size() == 2);
}

TEST_CASE("calls need no permit once the endpoint has lifted its limit or has restarted") {
  LimiterFixture fixture;
  REQUIRE(fixture.Call());
  EndpointEntry restarted;
  restarted.id = "e";
  restarted.service = "s";
  restarted.started_at_ms = 7;
  fixture.directory.Update({restarted}, false);
  CHECK(fixture.Call());
  CHECK(!fixture.Call());
  fixture.endpoint.limit.reset();
  fixture.limiter.Request("e");
  fixture.client.reply(PermitReply{true, Duration()});
  CHECK(fixture.Call());
  CHECK(fixture.Call());
}

TEST_CASE("the newest limit that any instance has received decides") {
  LimiterFixture fixture;
  fixture.limiter.Grant({"e", 1.0, Duration()});
  fixture.scheduler.Advance(Duration::Seconds(10));
  // An older limit does not replace the newer one.
  CHECK(fixture.limiter.Grant({"e", 1000.0, Duration::Seconds(30)}).granted);
  CHECK(fixture.limiter.Grant({"e", 1.0, Duration::Seconds(10)}).granted);
  CHECK(!fixture.limiter.Grant({"e", 1000.0, Duration::Seconds(30)}).granted);
}

// Guards against an excess while instances do not agree on who grants the permits, and after a restart.
TEST_CASE("a rate limit holds while instances restart and pause") {
  BatchFixture fixture(1);
  fixture.engines.event_gap = Duration::Milliseconds(100);
  fixture.engines.rate_limits = {{"engine-0", kLimit}, {"engine-1", kLimit}, {"engine-2", kLimit}};
  for (const char* name : {"one", "two", "three", "four"}) {
    fixture.StartInstance(name);
  }
  const TimePoint start = fixture.scheduler.Now();
  for (const char* name : {"one", "two", "three"}) {
    REQUIRE(fixture.Submit(name, BatchFixture::MakeJob(std::string("job-of-") + name, 300)) ==
            SubmitOutcome::kAccepted);
  }
  fixture.scheduler.Advance(Duration::Seconds(4));
  fixture.KillInstance("two");
  fixture.scheduler.Advance(Duration::Seconds(2));
  fixture.StartInstance("two");
  fixture.PauseInstance("four");
  fixture.scheduler.Advance(Duration::Seconds(5));
  fixture.ResumeInstance("four");
  fixture.scheduler.Advance(Duration::Seconds(10));
  for (const char* endpoint : {"engine-0", "engine-1", "engine-2"}) {
    CHECK(MostRunsInWindow(fixture.engines.runs, endpoint, start + kNotice) <= kMostCalls);
  }
}

// Guards against cold endpoints that crash under the items of several jobs, and against items that wait for nothing
// while a service has only cold endpoints.
TEST_CASE("items of batch jobs warm up cold endpoints at their pace") {
  constexpr double kColdPerS = 2.0;
  constexpr int kMostCold = static_cast<int>(kColdPerS * 1.5) + 5;
  BatchFixture fixture(1);
  fixture.engines.event_gap = Duration::Milliseconds(100);
  fixture.engines.cold_limits = {{kBatchService, kColdPerS}};
  for (const char* engine : {"engine-0", "engine-1", "engine-2", "engine-3"}) {
    fixture.engines.cold_times[engine] = Duration::Seconds(60);
  }
  for (const char* name : {"one", "two", "three"}) {
    fixture.StartInstance(name);
  }
  for (const char* name : {"one", "two", "three"}) {
    REQUIRE(fixture.Submit(name, BatchFixture::MakeJob(std::string("job-of-") + name, 300)) ==
            SubmitOutcome::kAccepted);
  }
  constexpr int kSeconds = 15;
  fixture.scheduler.Advance(Duration::Seconds(kSeconds));
  for (const char* engine : {"engine-0", "engine-1", "engine-2", "engine-3"}) {
    INFO(engine);
    CHECK(MostRunsInWindow(fixture.engines.runs, engine, TimePoint(), Duration::Seconds(1)) <= kMostCold);
    const auto runs = std::count_if(fixture.engines.runs.begin(), fixture.engines.runs.end(),
                                    [engine](const ItemRunRecord& run) { return run.endpoint == engine; });
    CHECK(runs >= 0.7 * ColdPace(kColdPerS, ColdBounds(), GrantAuthority::kSettled) * (kSeconds - 1));
  }
}

// Guards against callers that chose an endpoint before its zone was evacuated.
TEST_CASE("a call to an endpoint of an evacuated zone is not sent") {
  LimiterFixture fixture;
  fixture.endpoint.limit.reset();
  REQUIRE(fixture.Call());
  fixture.directory.SetEvacuatedZones({""});
  CHECK_FALSE(fixture.Call());
  REQUIRE(fixture.observer.result.has_value());
  CHECK(fixture.observer.result->outcome == EndpointCallOutcome::kNotSent);
  fixture.directory.SetEvacuatedZones({});
  CHECK(fixture.Call());
}

}  // namespace
}  // namespace quetzalridge
