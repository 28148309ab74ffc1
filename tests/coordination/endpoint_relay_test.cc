#include "coordination/endpoint_relay.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

constexpr Duration kStep = Duration::Milliseconds(5);

// A call over an own connection or through another instance, as the test sees it.
struct FakeCall {
  EndpointCall call;
  // Empty for a call over an own connection.
  std::string instance;
  EndpointCallObserver* observer = nullptr;
  RelayObserver* relay_observer = nullptr;
  bool open = true;
};

class FakeExchange : public EndpointExchange {
 public:
  explicit FakeExchange(std::shared_ptr<FakeCall> call) : m_call(std::move(call)) {}
  ~FakeExchange() override { m_call->open = false; }

 private:
  std::shared_ptr<FakeCall> m_call;
};

// What the caller of the relay received.
struct Outcome : public EndpointCallObserver {
  void OnHead(const EndpointResponseHead& head) override {
    status = head.status;
    relayed = head.relayed;
  }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnEvent(const StreamEvent&) override {}
  void OnEnd(const EndpointCallResult& end) override { result = end; }

  int status = 0;
  bool relayed = false;
  std::string body;
  std::optional<EndpointCallResult> result;
};

struct RelayFixture : public EndpointCaller, public EndpointProber, public RelayClient {
  RelayFixture() {
    std::vector<EndpointEntry> entries(3);
    for (size_t i = 0; i < entries.size(); ++i) {
      entries[i].id = "e" + std::to_string(i);
      entries[i].address = "10.0.0." + std::to_string(i) + ":80";
    }
    directory.Update(entries, false);
    EndpointRelayContext context;
    context.scheduler = &scheduler;
    context.direct = this;
    context.prober = this;
    context.peers = this;
    context.endpoints = &directory;
    context.other_instances = [this] { return others; };
    context.drop_connections = [this](const std::string& address) { dropped.insert(address); };
    context.crashes = &crashes;
    context.region_of = [this](const std::string& instance) { return regions[instance]; };
    relay = std::make_unique<EndpointRelay>(std::move(context), 1);
  }

  // EndpointCaller: calls over own connections.
  std::unique_ptr<EndpointExchange> Start(EndpointCall call, EndpointCallObserver* observer) override {
    direct.push_back(std::make_shared<FakeCall>());
    direct.back()->call = std::move(call);
    direct.back()->observer = observer;
    const std::shared_ptr<FakeCall> started = direct.back();
    if (reaches_none && refuses) {
      scheduler.Post(Duration(), [this, started, since = scheduler.Now()] { FailToConnect(started, since); });
    }
    return std::make_unique<FakeExchange>(started);
  }

  void FailToConnect(const std::shared_ptr<FakeCall>& call, TimePoint since) {
    if (!call->open) {
      return;
    }
    relay->OnNoConnection(call->call.endpoint_id, since);
    EndpointCallResult result;
    result.connection_failed = true;
    result.detail = "refused";
    call->observer->OnEnd(result);
  }

  void Probe(const std::string& endpoint, const std::string&, std::function<void(bool)> callback) override {
    ++probes;
    scheduler.Post(kStep, [this, endpoint, callback = std::move(callback)] {
      const bool responds = !reaches_none && stopped.count(endpoint) == 0;
      if (responds) {
        relay->OnContact(endpoint);
      }
      callback(responds);
    });
  }

  // RelayClient.
  std::unique_ptr<EndpointExchange> Start(const std::string& instance, const EndpointCall& call,
                                          RelayObserver* observer) override {
    relayed.push_back(std::make_shared<FakeCall>());
    const std::shared_ptr<FakeCall> started = relayed.back();
    started->call = call;
    started->instance = instance;
    started->observer = observer;
    started->relay_observer = observer;
    scheduler.Post(Duration::Milliseconds(1), [this, started] {
      if (!started->open) {
        return;
      }
      const auto refusal = refusals.find(started->instance);
      if (refusal != refusals.end()) {
        started->relay_observer->OnRefused(refusal->second);
        return;
      }
      started->relay_observer->OnAccepted();
      if (stopped.count(started->call.endpoint_id) > 0) {
        EndpointCallResult result;
        result.connection_failed = true;
        started->observer->OnEnd(result);
      }
    });
    return std::make_unique<FakeExchange>(started);
  }

  void AskReachability(const std::string& instance, const std::string& endpoint, Duration,
                       std::function<void(Reachability)> callback) override {
    ++questions;
    const auto refusal = refusals.find(instance);
    Reachability answer = stopped.count(endpoint) > 0 ? Reachability::kNotReached : Reachability::kReached;
    if (refusal != refusals.end()) {
      answer = Reachability::kUnknown;
    }
    scheduler.Post(Duration::Milliseconds(1), [answer, callback = std::move(callback)] { callback(answer); });
  }

  static EndpointCall Call(const std::string& endpoint, bool is_repeatable = true) {
    EndpointCall call;
    call.endpoint_id = endpoint;
    call.request_id = "r";
    call.time_left = Duration::Seconds(2);
    call.head_timeout = call.time_left;
    call.idle_timeout = call.time_left;
    call.is_repeatable = is_repeatable;
    return call;
  }

  std::unique_ptr<EndpointExchange> Send(const std::string& endpoint, Outcome* outcome, bool is_repeatable = true) {
    return relay->Start(Call(endpoint, is_repeatable), outcome);
  }

  static void Respond(const std::shared_ptr<FakeCall>& call, const std::string& body) {
    EndpointResponseHead head;
    head.status = 200;
    call->observer->OnHead(head);
    call->observer->OnBody(body);
    EndpointCallResult result;
    result.outcome = EndpointCallOutcome::kComplete;
    call->observer->OnEnd(result);
  }

  ManualScheduler scheduler;
  EndpointDirectory directory{&scheduler.clock()};
  Quarantine quarantine;
  CrashRecorder crashes{&quarantine, &scheduler.clock()};
  std::vector<std::string> others = {"a", "b", "c"};
  // The regions of instances, as far as they are known.
  std::map<std::string, std::string> regions;
  // Own connections are refused, or hang.
  bool reaches_none = false;
  bool refuses = true;
  // Endpoints that nobody reaches.
  std::set<std::string> stopped;
  std::map<std::string, RelayRefusal> refusals;
  std::vector<std::shared_ptr<FakeCall>> direct;
  std::vector<std::shared_ptr<FakeCall>> relayed;
  std::set<std::string> dropped;
  int probes = 0;
  int questions = 0;
  std::unique_ptr<EndpointRelay> relay;
};

TEST_CASE("a call whose connection is refused goes through another instance, and the next one does so at once") {
  RelayFixture f;
  f.reaches_none = true;
  Outcome first;
  const auto one = f.Send("e0", &first);
  f.scheduler.Advance(Duration::Milliseconds(20));
  REQUIRE(f.relayed.size() == 1);
  RelayFixture::Respond(f.relayed[0], "answer");
  CHECK(first.body == "answer");
  CHECK(first.relayed);
  CHECK(first.result->outcome == EndpointCallOutcome::kComplete);
  CHECK(f.relay->lost_paths() == 3);
  Outcome second;
  const auto two = f.Send("e1", &second);
  CHECK(f.direct.size() == 1);
  REQUIRE(f.relayed.size() == 2);
  CHECK(f.relayed[1]->call.endpoint_id == "e1");
  // Idle connections that survived may be known to one side only.
  CHECK(f.dropped.size() == 3);
}

TEST_CASE("an endpoint that nobody reaches counts as failed, not the paths") {
  RelayFixture f;
  f.stopped = {"e0"};
  Outcome outcome;
  const auto call = f.Send("e0", &outcome);
  REQUIRE(f.direct.size() == 1);
  f.FailToConnect(f.direct[0], f.scheduler.Now());
  f.scheduler.Advance(Duration::Milliseconds(50));
  REQUIRE(outcome.result.has_value());
  CHECK(outcome.result->outcome == EndpointCallOutcome::kNotSent);
  CHECK(outcome.result->blames_endpoint());
  CHECK(f.relay->lost_paths() == 0);
}

TEST_CASE("when all instances are cut off, a call ends at once as not sent, and no endpoint is blamed") {
  RelayFixture f;
  f.reaches_none = true;
  Outcome first;
  const auto one = f.Send("e0", &first);
  f.scheduler.Advance(Duration::Milliseconds(20));
  REQUIRE(f.relay->lost_paths() == 3);
  for (const std::string& other : f.others) {
    f.refusals[other] = RelayRefusal::kNoPath;
  }
  Outcome second;
  const auto two = f.Send("e1", &second);
  f.scheduler.Advance(Duration::Milliseconds(20));
  REQUIRE(second.result.has_value());
  CHECK(second.result->outcome == EndpointCallOutcome::kNotSent);
  CHECK(second.result->path_failed);
  CHECK(f.direct.size() == 1);
}

TEST_CASE("an instance that refuses is followed by the next one") {
  RelayFixture f;
  f.reaches_none = true;
  f.refusals = {{"a", RelayRefusal::kNoPath}, {"b", RelayRefusal::kBusy}};
  Outcome outcome;
  const auto call = f.Send("e0", &outcome);
  f.scheduler.Advance(Duration::Milliseconds(30));
  REQUIRE(!f.relayed.empty());
  CHECK(f.relayed.back()->instance == "c");
  RelayFixture::Respond(f.relayed.back(), "answer");
  CHECK(outcome.body == "answer");
}

TEST_CASE("a call whose answer is lost at the other instance is not called not run") {
  RelayFixture f;
  f.reaches_none = true;
  Outcome outcome;
  const auto call = f.Send("e0", &outcome, false);
  f.scheduler.Advance(Duration::Milliseconds(20));
  REQUIRE(f.relayed.size() == 1);
  EndpointCallResult lost;
  lost.outcome = EndpointCallOutcome::kNoResponse;
  lost.peer_failed = true;
  f.relayed[0]->observer->OnEnd(lost);
  f.scheduler.Advance(Duration::Seconds(1));
  REQUIRE(outcome.result.has_value());
  CHECK(outcome.result->outcome == EndpointCallOutcome::kNoResponse);
  CHECK(!outcome.result->blames_endpoint());
  CHECK(f.relayed.size() == 1);
}

TEST_CASE("the time left shrinks by the time that the own attempt took") {
  RelayFixture f;
  f.reaches_none = true;
  f.refuses = false;
  Outcome outcome;
  const auto call = f.Send("e0", &outcome);
  f.scheduler.Advance(Duration::Milliseconds(100));
  CHECK(f.direct[0]->call.connect_timeout > Duration());
  f.FailToConnect(f.direct[0], f.scheduler.Now() - Duration::Milliseconds(100));
  REQUIRE(f.relayed.size() == 1);
  CHECK(f.relayed[0]->call.time_left <= Duration::Milliseconds(1900));
  CHECK(f.relayed[0]->call.head_timeout <= Duration::Milliseconds(1900));
}

TEST_CASE("calls that hang when the paths fail end if they may be repeated, and go on if not") {
  RelayFixture f;
  f.refuses = false;
  Outcome repeatable;
  Outcome other;
  const auto one = f.Send("e0", &repeatable);
  const auto two = f.Send("e0", &other, false);
  f.reaches_none = true;
  f.scheduler.Advance(Duration::Seconds(1));
  REQUIRE(repeatable.result.has_value());
  CHECK(repeatable.result->outcome == EndpointCallOutcome::kNoResponse);
  CHECK(repeatable.result->path_failed);
  CHECK(!other.result.has_value());
}

TEST_CASE("an endpoint that takes long is probed ever less often, and its calls go on") {
  RelayFixture f;
  f.refuses = false;
  Outcome outcome;
  const auto call = f.Send("e0", &outcome);
  f.scheduler.Advance(Duration::Seconds(20));
  CHECK(!outcome.result.has_value());
  CHECK(f.probes > 0);
  CHECK(f.probes <= 12);
  CHECK(f.relay->lost_paths() == 0);
}

TEST_CASE("a call for another instance goes over an own connection only") {
  RelayFixture f;
  f.reaches_none = true;
  Outcome outcome;
  const auto call = f.relay->StartForPeer(RelayFixture::Call("e0"), &outcome);
  f.scheduler.Advance(Duration::Milliseconds(20));
  REQUIRE(outcome.result.has_value());
  CHECK(outcome.result->outcome == EndpointCallOutcome::kNotSent);
  CHECK(outcome.result->connection_failed);
  CHECK(f.relayed.empty());
}

TEST_CASE("a caller that leaves ends the call at the other instance") {
  RelayFixture f;
  f.reaches_none = true;
  Outcome outcome;
  auto call = f.Send("e0", &outcome);
  f.scheduler.Advance(Duration::Milliseconds(20));
  REQUIRE(f.relayed.size() == 1);
  REQUIRE(f.relayed[0]->open);
  call.reset();
  CHECK(!f.relayed[0]->open);
}

TEST_CASE("after the cut, calls go over own connections again, and those in flight end where they run") {
  RelayFixture f;
  f.reaches_none = true;
  Outcome first;
  const auto one = f.Send("e0", &first);
  f.scheduler.Advance(Duration::Seconds(2));
  REQUIRE(f.relay->lost_paths() == 3);
  f.reaches_none = false;
  f.scheduler.Advance(Duration::Seconds(2));
  CHECK(f.relay->lost_paths() == 0);
  CHECK(f.relayed[0]->open);
  Outcome second;
  const auto two = f.Send("e0", &second);
  CHECK(f.direct.size() == 2);
}

TEST_CASE("a connection that an endpoint closed, or reset, does not make its calls go through other instances") {
  RelayFixture f;
  Outcome outcome;
  const auto call = f.Send("e0", &outcome);
  f.relay->OnConnectionLost("e0");
  EndpointCallResult lost;
  lost.outcome = EndpointCallOutcome::kNoResponse;
  f.direct[0]->observer->OnEnd(lost);
  f.scheduler.Advance(Duration::Milliseconds(20));
  REQUIRE(outcome.result.has_value());
  CHECK(outcome.result->outcome == EndpointCallOutcome::kNoResponse);
  CHECK(outcome.result->blames_endpoint());
  CHECK(f.questions == 0);
  CHECK(f.relay->lost_paths() == 0);
}

TEST_CASE("connections that are reset after each request count as a failed path, not as failed endpoints") {
  RelayFixture f;
  f.reaches_none = true;
  f.refuses = false;
  Outcome outcome;
  const auto call = f.Send("e0", &outcome);
  f.relay->OnConnectionLost("e0");
  EndpointCallResult lost;
  lost.outcome = EndpointCallOutcome::kNoResponse;
  f.direct[0]->observer->OnEnd(lost);
  CHECK(!outcome.result.has_value());
  f.scheduler.Advance(Duration::Milliseconds(20));
  REQUIRE(outcome.result.has_value());
  CHECK(outcome.result->path_failed);
  CHECK(f.relay->lost_paths() == 3);
}

TEST_CASE("when new connections are refused while old ones live on, one call finds out for all endpoints") {
  RelayFixture f;
  f.refuses = false;
  Outcome stream;
  const auto old_connection = f.Send("e1", &stream);
  f.reaches_none = true;
  f.refuses = true;
  Outcome outcome;
  const auto call = f.Send("e0", &outcome);
  f.relay->OnContact("e1");
  f.scheduler.Advance(kStep * 4);
  CHECK(f.relay->lost_paths() == 3);
  CHECK(!f.relay->ReachesMost());
}

TEST_CASE("an instance without others calls endpoints as before") {
  RelayFixture f;
  f.others.clear();
  f.reaches_none = true;
  Outcome outcome;
  const auto call = f.Send("e0", &outcome);
  f.scheduler.Advance(Duration::Milliseconds(20));
  REQUIRE(outcome.result.has_value());
  CHECK(outcome.result->outcome == EndpointCallOutcome::kNotSent);
  CHECK(f.relay->lost_paths() == 0);
}

// Guards against sound requests that are taken for the cause of a crash: a lost connection or a lost path is none.
TEST_CASE("a lost connection counts as a crash only if neither this instance nor another one reaches the endpoint") {
  for (const std::string what : {"connection", "path", "endpoint"}) {
    INFO(what);
    RelayFixture f;
    const EndpointCall call = RelayFixture::Call("e0");
    Outcome outcome;
    const std::unique_ptr<EndpointExchange> exchange = f.Send("e0", &outcome);
    REQUIRE(f.direct.size() == 1);
    if (what == "endpoint") {
      f.stopped.insert("e0");
    }
    f.reaches_none = what == "path";
    EndpointCallResult lost;
    lost.outcome = EndpointCallOutcome::kNoResponse;
    f.direct[0]->observer->OnEnd(lost);
    f.scheduler.Advance(Duration::Milliseconds(500));
    REQUIRE(outcome.result.has_value());
    const FingerprintVerdict verdict = f.quarantine.Check(FingerprintOf(call), f.scheduler.Now());
    CHECK(verdict == (what == "endpoint" ? FingerprintVerdict::kSuspect : FingerprintVerdict::kClear));
  }
}

// Guards against items of batch jobs that are not placed again because endpoints crashed under them.
TEST_CASE("items of batch jobs are never suspected") {
  RelayFixture f;
  EndpointCall call = RelayFixture::Call("e0");
  call.reads_events = true;
  Outcome outcome;
  const std::unique_ptr<EndpointExchange> exchange = f.relay->Start(call, &outcome);
  f.stopped.insert("e0");
  EndpointCallResult lost;
  lost.outcome = EndpointCallOutcome::kNoResponse;
  f.direct[0]->observer->OnEnd(lost);
  f.scheduler.Advance(Duration::Milliseconds(500));
  CHECK(f.quarantine.size() == 0);
}

// Guards against a second crash that is counted although the endpoint had stopped before the suspect was sent to it.
TEST_CASE("a suspect is not sent to an endpoint that does not respond to a probe") {
  RelayFixture f;
  EndpointCall call = RelayFixture::Call("e0");
  call.is_suspect = true;
  f.stopped.insert("e0");
  Outcome outcome;
  const std::unique_ptr<EndpointExchange> exchange = f.relay->Start(call, &outcome);
  f.scheduler.Advance(Duration::Milliseconds(50));
  CHECK(f.direct.empty());
  REQUIRE(outcome.result.has_value());
  CHECK(outcome.result->outcome == EndpointCallOutcome::kNotSent);
  call.endpoint_id = "e1";
  Outcome second;
  const std::unique_ptr<EndpointExchange> sent = f.relay->Start(call, &second);
  f.scheduler.Advance(Duration::Milliseconds(50));
  CHECK(f.direct.size() == 1);
}

// Guards against probes of many instances under which a cold endpoint crashes. The calls themselves have permits.
TEST_CASE("a cold endpoint gets no probes, and a call that loses its connection ends at once") {
  RelayFixture fixture;
  fixture.directory.SetColdLimits({{"", 2.0}});
  fixture.directory.OnColdReport("e0", Duration::Seconds(8));
  Outcome outcome;
  EndpointCall call = RelayFixture::Call("e0");
  call.is_suspect = true;
  const std::unique_ptr<EndpointExchange> exchange = fixture.relay->Start(std::move(call), &outcome);
  REQUIRE(fixture.direct.size() == 1);
  fixture.relay->OnConnectionLost("e0");
  EndpointCallResult lost;
  lost.outcome = EndpointCallOutcome::kNoResponse;
  fixture.direct[0]->observer->OnEnd(lost);
  REQUIRE(outcome.result.has_value());
  CHECK(outcome.result->outcome == EndpointCallOutcome::kNoResponse);
  std::optional<Reachability> answer;
  fixture.relay->CheckReachability("e0", Duration::Seconds(1), [&answer](Reachability given) { answer = given; });
  CHECK(answer == Reachability::kUnknown);
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK(fixture.probes == 0);
  CHECK(fixture.quarantine.size() == 0);
}

// Guards against calls that reach a zone through another instance after its evacuation, and against probes.
TEST_CASE("a call that cannot connect is not passed on once the endpoint's zone is evacuated") {
  RelayFixture fixture;
  fixture.reaches_none = true;
  fixture.refusals = {{"a", RelayRefusal::kBusy}, {"b", RelayRefusal::kBusy}, {"c", RelayRefusal::kBusy}};
  Outcome outcome;
  const std::unique_ptr<EndpointExchange> exchange = fixture.Send("e0", &outcome);
  fixture.directory.SetEvacuatedZones({""});
  fixture.scheduler.Advance(Duration::Seconds(2));
  CHECK(fixture.relayed.empty());
  CHECK(fixture.probes == 0);
  REQUIRE(outcome.result.has_value());
  CHECK(outcome.result->outcome == EndpointCallOutcome::kNotSent);
}

// Guards against bodies that leave their home regions when the own path to an endpoint has failed.
TEST_CASE("a call with home regions is passed on only to instances there") {
  for (uint64_t round = 0; round < 20; ++round) {
    RelayFixture fixture;
    fixture.reaches_none = true;
    fixture.regions = {{"a", "west"}, {"b", "east"}};
    fixture.refusals = {{"b", RelayRefusal::kBusy}};
    Outcome outcome;
    EndpointCall call = RelayFixture::Call("e0");
    call.home_regions = HomeRegions({"east"});
    const std::unique_ptr<EndpointExchange> exchange = fixture.relay->Start(std::move(call), &outcome);
    fixture.scheduler.Advance(Duration::Seconds(1));
    REQUIRE(fixture.relayed.size() == 1);
    CHECK(fixture.relayed[0]->instance == "b");
    REQUIRE(outcome.result.has_value());
    CHECK(outcome.result->outcome == EndpointCallOutcome::kNotSent);
  }
}

// Guards against calls with old permits that reach a cold endpoint together.
TEST_CASE("a call to a cold endpoint is not passed on once its permit is old") {
  for (const bool is_cold : {false, true}) {
    INFO("cold: " << is_cold);
    RelayFixture fixture;
    fixture.reaches_none = true;
    fixture.refuses = false;
    if (is_cold) {
      fixture.directory.SetColdLimits({{"", 2.0}});
      fixture.directory.OnColdReport("e0", Duration::Seconds(30));
    }
    Outcome outcome;
    const std::unique_ptr<EndpointExchange> exchange = fixture.Send("e0", &outcome);
    REQUIRE(fixture.direct.size() == 1);
    fixture.scheduler.Advance(kMaxColdCallDelay + Duration::Milliseconds(50));
    EndpointCallResult not_connected;
    not_connected.connection_failed = true;
    fixture.direct[0]->observer->OnEnd(not_connected);
    fixture.scheduler.Advance(Duration::Milliseconds(10));
    CHECK(fixture.relayed.empty() == is_cold);
    CHECK(outcome.result.has_value() == is_cold);
  }
}

// Guards against a call that ends as failed on an endpoint that has just left the registry, before it is known whether
// the path is at fault.
TEST_CASE("the end of a call to an endpoint that is no longer listed is held") {
  RelayFixture fixture;
  Outcome outcome;
  const std::unique_ptr<EndpointExchange> exchange = fixture.Send("e0", &outcome);
  fixture.directory.Update({}, false);
  REQUIRE(fixture.directory.Find("e0") == nullptr);
  EndpointCallResult lost;
  lost.outcome = EndpointCallOutcome::kNoResponse;
  fixture.direct[0]->observer->OnEnd(lost);
  CHECK_FALSE(outcome.result.has_value());
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK(outcome.result.has_value());
}

}  // namespace
}  // namespace quetzalridge
