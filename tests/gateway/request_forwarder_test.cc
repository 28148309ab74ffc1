#include "gateway/request_forwarder.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "coordination/rate_limiter.h"
#include "state/request_fingerprint.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {
namespace {

constexpr char kService[] = "lookup";

// What the caller of a request has received.
struct CallerView {
  int status = 0;
  std::string body;
  bool ended = false;
  bool aborted = false;
  HttpHeaders headers;
};

class FakeResponder : public HttpResponder {
 public:
  explicit FakeResponder(CallerView* view) : m_view(view) {}
  void Send(int status, HttpHeaders headers, std::string body) override {
    *m_view = {status, std::move(body), true, false, std::move(headers)};
  }
  void Start(int status, HttpHeaders) override { m_view->status = status; }
  void Write(std::string_view data) override { m_view->body.append(data); }
  void End() override { m_view->ended = true; }
  void Abort() override { m_view->aborted = true; }
  bool closed() const override { return false; }
  bool started() const override { return m_view->status != 0; }
  size_t pending_bytes() const override { return 0; }
  void SetCloseCallback(std::function<void()>) override {}

 private:
  CallerView* m_view;
};

// Gives the test each call, with the observer that receives the parts of the response.
class ScriptedEndpoints : public EndpointCaller {
 public:
  struct Attempt {
    EndpointCall call;
    EndpointCallObserver* observer = nullptr;
    bool open = true;
  };

  std::unique_ptr<EndpointExchange> Start(EndpointCall call, EndpointCallObserver* observer) override {
    attempts.push_back(std::make_unique<Attempt>());
    attempts.back()->call = std::move(call);
    attempts.back()->observer = observer;
    return std::make_unique<Exchange>(attempts.back().get());
  }

  std::vector<std::unique_ptr<Attempt>> attempts;

 private:
  class Exchange : public EndpointExchange {
   public:
    explicit Exchange(Attempt* attempt) : m_attempt(attempt) {}
    ~Exchange() override { m_attempt->open = false; }

   private:
    Attempt* m_attempt;
  };
};

class NoUsage : public UsageSink {
 public:
  void Add(const std::string&, const UsageCounters&) override { ++requests; }
  int requests = 0;
};

class NoMetrics : public RequestMetrics {
 public:
  void OnRequestEnd(const RequestRecord&) override {}
};

class TestPermits : public SendPermits {
 public:
  bool MaySend(const std::string& endpoint) const override { return limited.count(endpoint) == 0; }
  void Request(const std::string& endpoint) override { requested.insert(endpoint); }
  Duration WaitFor(const std::string&) const override { return wait; }

  // Endpoints with a rate limit for which there is no permit.
  std::set<std::string> limited;
  std::set<std::string> requested;
  Duration wait;
};

struct ForwarderFixture {
  ForwarderFixture() {
    std::vector<EndpointEntry> entries(2);
    for (size_t i = 0; i < entries.size(); ++i) {
      entries[i].id = "e" + std::to_string(i);
      entries[i].service = kService;
      entries[i].slots = 6;
      entries[i].software_version = "v" + std::to_string(i);
    }
    directory.Update(entries, false);
  }

  // Sends a request for a stream that may be continued, or for the rest of the stream `continued`.
  void SendStream(const std::string& id, const std::string& continued = "") {
    view = CallerView();
    ServiceRoute route;
    route.name = "stream";
    route.kind = RouteKind::kStream;
    route.resumable = true;
    route.services = services;
    route.max_attempts = 2;
    route.timeout = Duration::Seconds(5);
    IncomingRequest request;
    request.id = id;
    request.method = "POST";
    request.target = "/stream";
    request.continues_stream = !continued.empty();
    request.stream_id = continued;
    forwarder.Forward(std::move(request), route, "w", std::make_shared<FakeResponder>(&view));
    scheduler.Advance(Duration::Milliseconds(10));
  }
  // Lets only these endpoints serve.
  void Serve(const std::set<size_t>& served) {
    std::vector<EndpointEntry> entries;
    for (const size_t i : served) {
      EndpointEntry entry;
      entry.id = "e" + std::to_string(i);
      entry.service = kService;
      entry.slots = 6;
      entry.software_version = "v" + std::to_string(i);
      entries.push_back(entry);
    }
    directory.Update(entries, false);
  }

  // Lets only these endpoints serve, by id, each for a service.
  void ServeServices(const std::map<std::string, std::string>& served) {
    std::vector<EndpointEntry> entries;
    for (const auto& [id, service] : served) {
      EndpointEntry entry;
      entry.id = id;
      entry.service = service;
      entry.slots = 6;
      entry.software_version = "v1";
      entries.push_back(entry);
    }
    directory.Update(entries, false);
  }

  void Send(RouteKind kind, const std::string& id = "r") {
    view = CallerView();
    ServiceRoute route;
    route.name = "route";
    route.kind = kind;
    route.services = services;
    route.max_attempts = 2;
    route.timeout = Duration::Seconds(5);
    IncomingRequest request;
    request.id = id;
    request.method = "POST";
    forwarder.Forward(std::move(request), route, "w", std::make_shared<FakeResponder>(&view));
  }
  EndpointCallObserver* Observer(size_t attempt) { return endpoints.attempts.at(attempt)->observer; }
  static EndpointResponseHead Head(int status, bool not_run) {
    EndpointResponseHead head;
    head.status = status;
    head.not_run = not_run;
    return head;
  }
  static EndpointCallResult Result(EndpointCallOutcome outcome) {
    EndpointCallResult result;
    result.outcome = outcome;
    return result;
  }

  ManualScheduler scheduler;
  RouteTable routes;
  EndpointDirectory directory{&scheduler.clock()};
  ScriptedEndpoints endpoints;
  TestPermits permits;
  FakeTable table{&scheduler, 1};
  FakeTableStore store{&table, &scheduler};
  StreamOrigins origins{&store, &scheduler, &directory, [this] { return scheduler.Now().ms(); }};
  NoUsage usage;
  NoMetrics metrics;
  Quarantine quarantine;
  RequestForwarder forwarder{
      {&scheduler, &routes, &directory, &endpoints, &permits, &usage, &metrics, &origins, "a", nullptr, &quarantine},
      1};
  CallerView view;
  // The services of the routes.
  std::vector<ServiceShare> services = {{kService, 1}};
};

// Guards against callers that wait until their deadline, and against memory without bound, while an endpoint does not
// end its refusal: the request has not run, so it goes to another endpoint.
TEST_CASE("a request goes to another endpoint when its refusal is too long or does not end") {
  for (const bool too_long : {true, false}) {
    INFO("too long: " << too_long);
    ForwarderFixture fixture;
    fixture.Send(RouteKind::kNonIdempotent);
    fixture.Observer(0)->OnHead(ForwarderFixture::Head(503, true));
    if (too_long) {
      const std::string piece(32 << 10, 'a');
      for (int i = 0; i < 3 && fixture.endpoints.attempts[0]->open; ++i) {
        fixture.Observer(0)->OnBody(piece);
      }
    } else {
      // A byte now and then does not extend the time.
      for (int i = 0; i < 10 && fixture.endpoints.attempts[0]->open; ++i) {
        fixture.Observer(0)->OnBody("a");
        fixture.scheduler.Advance(Duration::Milliseconds(50));
      }
    }
    CHECK_FALSE(fixture.endpoints.attempts[0]->open);
    REQUIRE(fixture.endpoints.attempts.size() == 2);
    fixture.Observer(1)->OnHead(ForwarderFixture::Head(200, false));
    fixture.Observer(1)->OnBody("whole");
    fixture.Observer(1)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
    CHECK(fixture.view.status == 200);
    CHECK(fixture.view.body == "whole");
    CHECK(fixture.usage.requests == 1);
  }
}

// Guards against requests that run twice, or whose refusal falsely says that they have not run.
TEST_CASE("a non-idempotent request without a response is neither repeated nor refused as not run") {
  ForwarderFixture fixture;
  fixture.Send(RouteKind::kNonIdempotent);
  fixture.Observer(0)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kNoResponse));
  CHECK(fixture.endpoints.attempts.size() == 1);
  CHECK(fixture.view.status == 502);
}

// Guards against the retries of an idempotent request beyond its route's limit.
TEST_CASE("an idempotent request is repeated as often as its route allows") {
  ForwarderFixture fixture;
  fixture.Send(RouteKind::kIdempotent);
  fixture.Observer(0)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kNoResponse));
  REQUIRE(fixture.endpoints.attempts.size() == 2);
  CHECK(fixture.endpoints.attempts[1]->call.endpoint_id != fixture.endpoints.attempts[0]->call.endpoint_id);
  fixture.Observer(1)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kTruncated));
  CHECK(fixture.endpoints.attempts.size() == 2);
  CHECK(fixture.view.status == 502);
}

// Guards against a truncated response that passes for a whole one.
TEST_CASE("a response that ends early after its first part was forwarded is aborted") {
  ForwarderFixture fixture;
  fixture.Send(RouteKind::kStream);
  fixture.Observer(0)->OnHead(ForwarderFixture::Head(200, false));
  fixture.Observer(0)->OnBody("part");
  fixture.Observer(0)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kTruncated));
  CHECK(fixture.view.aborted);
  CHECK_FALSE(fixture.view.ended);
}

// Guards against the text of another endpoint's error in the middle of a stream.
TEST_CASE("a stream that has begun and breaks off gets nothing from another endpoint, and does not end as complete") {
  for (const bool resumable : {false, true}) {
    ForwarderFixture fixture;
    if (resumable) {
      fixture.SendStream("r");
    } else {
      fixture.Send(RouteKind::kStream);
    }
    EndpointResponseHead head = ForwarderFixture::Head(200, false);
    fixture.Observer(0)->OnHead(head);
    fixture.Observer(0)->OnBody("id: 1\ndata: a\n\n");
    fixture.scheduler.Advance(Duration::Milliseconds(50));
    REQUIRE(fixture.view.body == "id: 1\ndata: a\n\n");
    fixture.Observer(0)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kTruncated));
    fixture.scheduler.Advance(Duration::Seconds(1));
    CHECK(fixture.endpoints.attempts.size() == 1);
    CHECK(fixture.view.body == "id: 1\ndata: a\n\n");
    CHECK(fixture.view.aborted);
    CHECK_FALSE(fixture.view.ended);
  }
}

// Guards against the start of a first endpoint's stream in front of the response of a second one.
TEST_CASE("a stream that breaks off while its origin is recorded leaves nothing in the response of the next endpoint") {
  ForwarderFixture fixture;
  fixture.SendStream("r");
  fixture.Observer(0)->OnHead(ForwarderFixture::Head(200, false));
  fixture.Observer(0)->OnBody("id: 1\nda");
  fixture.Observer(0)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kTruncated));
  fixture.scheduler.Advance(Duration::Milliseconds(50));
  for (size_t attempt = 1; attempt < fixture.endpoints.attempts.size(); ++attempt) {
    fixture.Observer(attempt)->OnHead(ForwarderFixture::Head(500, false));
    fixture.Observer(attempt)->OnBody("error text");
    fixture.Observer(attempt)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
  }
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK(fixture.view.body.find("id: 1\ndaerror") == std::string::npos);
  CHECK((fixture.view.status != 200 || fixture.view.aborted));
}

TEST_CASE("a request that no instance can send to any endpoint is refused at once as not run, without other attempts") {
  ForwarderFixture fixture;
  fixture.Send(RouteKind::kNonIdempotent);
  EndpointCallResult result = ForwarderFixture::Result(EndpointCallOutcome::kNotSent);
  result.path_failed = true;
  fixture.Observer(0)->OnEnd(result);
  CHECK(fixture.endpoints.attempts.size() == 1);
  CHECK(fixture.view.status == 503);
  // The endpoint is not at fault.
  CHECK(fixture.directory.IsUsable(*fixture.directory.Find(fixture.endpoints.attempts[0]->call.endpoint_id)));
}

TEST_CASE("a non-idempotent request whose answer is lost at the instance that passed it on is not called not run") {
  ForwarderFixture fixture;
  fixture.Send(RouteKind::kNonIdempotent);
  EndpointCallResult result = ForwarderFixture::Result(EndpointCallOutcome::kNoResponse);
  result.peer_failed = true;
  fixture.Observer(0)->OnEnd(result);
  CHECK(fixture.endpoints.attempts.size() == 1);
  CHECK(fixture.view.status == 502);
}

TEST_CASE("a request goes to an endpoint without a rate limit while there is no permit for the other") {
  ForwarderFixture fixture;
  fixture.permits.limited = {"e0"};
  fixture.Send(RouteKind::kNonIdempotent);
  REQUIRE(fixture.endpoints.attempts.size() == 1);
  CHECK(fixture.endpoints.attempts[0]->call.endpoint_id == "e1");
}

TEST_CASE("a request waits for a permit and is sent when there is one") {
  ForwarderFixture fixture;
  fixture.permits.limited = {"e0", "e1"};
  fixture.Send(RouteKind::kNonIdempotent);
  CHECK(fixture.endpoints.attempts.empty());
  CHECK(!fixture.permits.requested.empty());
  fixture.permits.limited = {"e1"};
  fixture.forwarder.OnPermits();
  REQUIRE(fixture.endpoints.attempts.size() == 1);
  CHECK(fixture.endpoints.attempts[0]->call.endpoint_id == "e0");
}

// Guards against requests that are held until their deadline although no endpoint may take them.
TEST_CASE("a request is refused as not run when no permit can be had soon") {
  ForwarderFixture fixture;
  fixture.permits.limited = {"e0", "e1"};
  fixture.Send(RouteKind::kNonIdempotent);
  CHECK(fixture.view.status == 0);
  fixture.scheduler.Advance(Duration::Milliseconds(400));
  CHECK(fixture.view.status == 503);
  CHECK(fixture.endpoints.attempts.empty());
}

TEST_CASE("a request is refused at once when the next permit comes too late for it") {
  ForwarderFixture fixture;
  fixture.permits.limited = {"e0", "e1"};
  fixture.permits.wait = Duration::Seconds(2);
  fixture.Send(RouteKind::kNonIdempotent);
  CHECK(fixture.view.status == 503);
}

// Begins a stream on the endpoint and sends its first event.
void BeginStream(ForwarderFixture* fixture, const std::string& id, size_t endpoint) {
  fixture->Serve({endpoint});
  fixture->SendStream(id);
  EndpointCallObserver* observer = fixture->endpoints.attempts.back()->observer;
  observer->OnHead(ForwarderFixture::Head(200, false));
  observer->OnBody("id: 1\ndata: a\n\n");
  fixture->scheduler.Advance(Duration::Milliseconds(10));
  REQUIRE(fixture->view.body == "id: 1\ndata: a\n\n");
}

TEST_CASE("a continued stream goes only to the software version that began it") {
  for (const size_t first : {size_t{0}, size_t{1}}) {
    ForwarderFixture fixture;
    // The first stream sets the common version.
    BeginStream(&fixture, "other", 0);
    BeginStream(&fixture, "r", first);
    fixture.Serve({0, 1});
    for (int attempt = 0; attempt < 8; ++attempt) {
      fixture.SendStream("r" + std::to_string(attempt), "r");
      CHECK(fixture.endpoints.attempts.back()->call.endpoint_id == "e" + std::to_string(first));
    }
  }
}

TEST_CASE("another instance continues a stream on the software version that began it after all were restarted") {
  ForwarderFixture fixture;
  BeginStream(&fixture, "other", 0);
  BeginStream(&fixture, "r", 1);
  fixture.Serve({0, 1});
  StreamOrigins origins(&fixture.store, &fixture.scheduler, &fixture.directory,
                        [&fixture] { return fixture.scheduler.Now().ms(); });
  std::optional<StreamOrigin> found;
  origins.Find("w/r", kService, [&found](const std::optional<StreamOrigin>& origin) { found = origin; });
  fixture.scheduler.Advance(Duration::Milliseconds(10));
  REQUIRE(found.has_value());
  CHECK(found->software_version == "v1");
}

// Guards against a stream that is joined from two versions because the first one has left.
TEST_CASE("a stream is refused as not run when no endpoint has the software version that began it") {
  ForwarderFixture fixture;
  BeginStream(&fixture, "r", 0);
  fixture.Serve({1});
  const size_t before = fixture.endpoints.attempts.size();
  fixture.SendStream("r2", "r");
  CHECK(fixture.view.status == 503);
  CHECK(fixture.endpoints.attempts.size() == before);
}

TEST_CASE("a continued stream is refused as not run while the table does not answer after a restart") {
  ForwarderFixture fixture;
  fixture.table.unavailable = true;
  fixture.SendStream("r2", "r");
  fixture.scheduler.Advance(Duration::Seconds(4));
  CHECK(fixture.view.status == 503);
  CHECK(fixture.endpoints.attempts.empty());
}

// Guards against streams without a row that count as begun by another version than theirs.
TEST_CASE("a stream begins on the common software version when its origin cannot be recorded") {
  ForwarderFixture fixture;
  BeginStream(&fixture, "other", 0);
  fixture.Serve({1});
  fixture.SendStream("r");
  ScriptedEndpoints::Attempt* attempt = fixture.endpoints.attempts.back().get();
  REQUIRE(attempt->call.endpoint_id == "e1");
  fixture.Serve({0, 1});
  fixture.table.unavailable = true;
  attempt->observer->OnHead(ForwarderFixture::Head(200, false));
  attempt->observer->OnBody("id: 1\ndata: a\n\n");
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK(fixture.view.body.empty());
  CHECK(!attempt->open);
  CHECK(fixture.endpoints.attempts.back()->call.endpoint_id == "e0");
}

// Guards against a stream that is continued on the version that becomes the common one later.
TEST_CASE("a stream does not begin while its version can be found nowhere and endpoints of others may continue it") {
  for (const bool several_versions : {true, false}) {
    ForwarderFixture fixture;
    if (!several_versions) {
      fixture.Serve({0});
    }
    // Neither a row nor a common version can be stored from the start.
    fixture.table.unavailable = true;
    fixture.SendStream("r");
    fixture.Observer(0)->OnHead(ForwarderFixture::Head(200, false));
    fixture.Observer(0)->OnBody("id: 1\ndata: a\n\n");
    fixture.scheduler.Advance(Duration::Seconds(2));
    CHECK(fixture.view.body.find("data: a") == (several_versions ? std::string::npos : size_t{6}));
    CHECK(fixture.view.status == (several_versions ? 502 : 200));
  }
}

TEST_CASE("a stream that ends while its origin is recorded reaches its caller whole") {
  ForwarderFixture fixture;
  BeginStream(&fixture, "other", 0);
  fixture.Serve({1});
  fixture.SendStream("r");
  EndpointCallObserver* observer = fixture.endpoints.attempts.back()->observer;
  observer->OnHead(ForwarderFixture::Head(200, false));
  observer->OnBody("id: 1\ndata: a\n\n");
  observer->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
  CHECK(!fixture.view.ended);
  fixture.scheduler.Advance(Duration::Milliseconds(10));
  CHECK(fixture.view.ended);
  CHECK(fixture.view.body == "id: 1\ndata: a\n\n");
}

// Guards against requests that crash endpoint after endpoint, or that are called not run after they may have run.
TEST_CASE("a request that crashes two endpoints makes no third attempt, and is refused as not run afterwards") {
  for (const RouteKind kind : {RouteKind::kIdempotent, RouteKind::kNonIdempotent, RouteKind::kStream}) {
    ForwarderFixture fixture;
    const uint64_t fingerprint = RequestFingerprint("w", "", "");
    fixture.Send(kind);
    fixture.quarantine.OnCrash({{fingerprint, false}}, fixture.scheduler.Now());
    fixture.Observer(0)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kNoResponse));
    const bool repeats = kind == RouteKind::kIdempotent;
    REQUIRE(fixture.endpoints.attempts.size() == (repeats ? 2 : 1));
    if (repeats) {
      CHECK(fixture.endpoints.attempts[1]->call.is_suspect);
      CHECK(fixture.endpoints.attempts[1]->call.runs_alone);
      fixture.quarantine.OnCrash({{fingerprint, true}}, fixture.scheduler.Now());
      fixture.Observer(1)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kNoResponse));
    }
    CHECK(fixture.view.status == 502);
    fixture.quarantine.OnCrash({{fingerprint, true}}, fixture.scheduler.Now());
    const size_t attempts = fixture.endpoints.attempts.size();
    fixture.Send(kind);
    CHECK(fixture.endpoints.attempts.size() == attempts);
    CHECK(fixture.view.status == 429);
    CHECK(fixture.view.body.find("crashed_endpoints") != std::string::npos);
  }
}

// Guards against sound requests that go down with a suspect, and against suspects whose crash is blamed on others.
TEST_CASE("a suspect runs on an endpoint without other requests, others avoid it, and a sound run clears it") {
  ForwarderFixture fixture;
  const uint64_t fingerprint = RequestFingerprint("w", "", "");
  fixture.Send(RouteKind::kNonIdempotent);
  const std::string busy = fixture.endpoints.attempts[0]->call.endpoint_id;
  fixture.quarantine.OnCrash({{fingerprint, false}}, fixture.scheduler.Now());
  fixture.Send(RouteKind::kNonIdempotent);
  REQUIRE(fixture.endpoints.attempts.size() == 2);
  CHECK(fixture.endpoints.attempts[1]->call.endpoint_id != busy);
  CHECK(fixture.endpoints.attempts[1]->call.runs_alone);
  fixture.SendStream("other");
  REQUIRE(fixture.endpoints.attempts.size() == 3);
  CHECK(fixture.endpoints.attempts[2]->call.endpoint_id == busy);
  fixture.Observer(1)->OnHead(ForwarderFixture::Head(200, false));
  fixture.Observer(1)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
  CHECK(fixture.quarantine.Check(fingerprint, fixture.scheduler.Now()) == FingerprintVerdict::kClear);
}

// Guards against sound requests that wait for their deadline, or are refused, because every endpoint is in use.
TEST_CASE("a suspect that finds no endpoint without other requests runs together with them after a short time") {
  ForwarderFixture fixture;
  const uint64_t fingerprint = RequestFingerprint("w", "", "");
  fixture.Serve({0});
  fixture.Send(RouteKind::kNonIdempotent);
  fixture.quarantine.OnCrash({{fingerprint, false}}, fixture.scheduler.Now());
  fixture.Send(RouteKind::kNonIdempotent);
  CHECK(fixture.endpoints.attempts.size() == 1);
  fixture.scheduler.Advance(Duration::Milliseconds(300));
  REQUIRE(fixture.endpoints.attempts.size() == 2);
  CHECK_FALSE(fixture.endpoints.attempts[1]->call.runs_alone);
}

// Answers each call a few milliseconds later.
class QuickEndpoints : public EndpointCaller {
 public:
  explicit QuickEndpoints(ManualScheduler* scheduler) : m_scheduler(scheduler) {}
  std::unique_ptr<EndpointExchange> Start(EndpointCall call, EndpointCallObserver* observer) override {
    ++calls[call.endpoint_id];
    m_scheduler->Post(Duration::Milliseconds(5), [observer] {
      observer->OnHead(ForwarderFixture::Head(200, false));
      observer->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
    });
    return nullptr;
  }
  std::map<std::string, int> calls;

 private:
  ManualScheduler* m_scheduler;
};

class NoPermitClient : public PermitClient {
 public:
  void Ask(const std::string&, const PermitRequest&, std::function<void(std::optional<PermitReply>)>) override {}
};

// A forwarder before `cold` cold and `warm` warm endpoints, on the instance that grants all permits.
struct ColdFixture {
  ColdFixture(int cold, int warm) {
    std::vector<EndpointEntry> entries(static_cast<size_t>(cold + warm));
    for (size_t i = 0; i < entries.size(); ++i) {
      entries[i].id = (static_cast<int>(i) < cold ? "cold-" : "warm-") + std::to_string(i);
      entries[i].service = kService;
      entries[i].slots = 6;
      entries[i].read_at = scheduler.Now();
      entries[i].cold_remaining = static_cast<int>(i) < cold ? Duration::Seconds(600) : Duration();
    }
    directory.SetColdLimits({{kService, kColdPerS}});
    directory.Update(entries, false);
    limiter.AddListener([this] { forwarder.OnPermits(); });
  }
  // Sends requests at a steady rate. Returns the share that was served.
  double Serve(double requests_per_s, Duration time) {
    const int count = static_cast<int>(requests_per_s * static_cast<double>(time.ms()) / 1000.0);
    std::vector<CallerView> views(static_cast<size_t>(count));
    for (CallerView& view : views) {
      ServiceRoute route;
      route.kind = RouteKind::kIdempotent;
      route.services = {{kService, 1}};
      IncomingRequest request;
      request.id = "r";
      request.time_left = Duration::Milliseconds(800);
      forwarder.Forward(std::move(request), route, "w", std::make_shared<FakeResponder>(&view));
      scheduler.Advance(Duration::Milliseconds(time.ms() / count));
    }
    scheduler.Advance(Duration::Seconds(1));
    const auto served =
        std::count_if(views.begin(), views.end(), [](const CallerView& view) { return view.status == 200; });
    return static_cast<double>(served) / count;
  }

  static constexpr double kColdPerS = 2.0;
  ManualScheduler scheduler;
  RouteTable routes;
  EndpointDirectory directory{&scheduler.clock()};
  QuickEndpoints endpoints{&scheduler};
  NoPermitClient client;
  RateLimiter limiter{
      {&scheduler, &endpoints, &directory, &client, "own", [] { return std::vector<std::string>{"own"}; }}};
  FakeTable table{&scheduler, 1};
  FakeTableStore store{&table, &scheduler};
  StreamOrigins origins{&store, &scheduler, &directory, [this] { return scheduler.Now().ms(); }};
  NoUsage usage;
  NoMetrics metrics;
  RequestForwarder forwarder{
      {&scheduler, &routes, &directory, &limiter, &limiter, &usage, &metrics, &origins, "a", nullptr, nullptr}, 1};
};

// Guards against callers that wait for permits, or that a slow endpoint serves, while warm endpoints have room.
TEST_CASE("requests go to warm endpoints while there are any") {
  ColdFixture fixture(3, 1);
  CHECK(fixture.Serve(20.0, Duration::Seconds(10)) == 1.0);
  CHECK(fixture.endpoints.calls["warm-3"] == 200);
}

// Guards against a service that is not served at all while all its endpoints are cold.
TEST_CASE("a service with cold endpoints only is served at the sum of their paces") {
  ColdFixture fixture(4, 0);
  fixture.Serve(8.0, Duration::Seconds(2));
  const double share = fixture.Serve(8.0, Duration::Seconds(20));
  CHECK(share >= 0.8);
  CHECK(fixture.Serve(5.0, Duration::Seconds(20)) >= 0.95);
}

// Guards against requests that reach an evacuated zone, and against callers that wait in vain.
TEST_CASE("when all endpoints of a service are in evacuated zones, requests are refused at once as not run") {
  ForwarderFixture fixture;
  fixture.Send(RouteKind::kIdempotent);
  REQUIRE(fixture.endpoints.attempts.size() == 1);
  // The endpoints of the fixture have no zone.
  fixture.directory.SetEvacuatedZones({""});
  const CallerView earlier = fixture.view;
  fixture.Observer(0)->OnHead(ForwarderFixture::Head(200, false));
  fixture.Observer(0)->OnBody("whole");
  fixture.Observer(0)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
  CHECK(earlier.status == 0);
  CHECK(fixture.view.status == 200);
  fixture.view = CallerView();
  fixture.Send(RouteKind::kIdempotent);
  CHECK(fixture.endpoints.attempts.size() == 1);
  CHECK(fixture.view.status == 503);
  CHECK(FindHeader(fixture.view.headers, "retry-after") != nullptr);
  fixture.directory.SetEvacuatedZones({});
  fixture.Send(RouteKind::kIdempotent);
  CHECK(fixture.endpoints.attempts.size() == 2);
}

// Guards against retries that reach a zone that was evacuated during the request.
TEST_CASE("a refused request is not retried in a zone that was evacuated meanwhile") {
  ForwarderFixture fixture;
  fixture.Send(RouteKind::kIdempotent);
  fixture.directory.SetEvacuatedZones({""});
  fixture.Observer(0)->OnHead(ForwarderFixture::Head(503, true));
  fixture.Observer(0)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
  CHECK(fixture.endpoints.attempts.size() == 1);
  CHECK(fixture.view.status == 503);
}

// Guards against requests that run outside their home regions, also when they are retried.
TEST_CASE("a request with home regions goes only to endpoints there, and is refused as not run without any") {
  ForwarderFixture fixture;
  std::vector<EndpointEntry> entries(2);
  for (size_t i = 0; i < entries.size(); ++i) {
    entries[i].id = "e" + std::to_string(i);
    entries[i].service = kService;
    entries[i].slots = 6;
    entries[i].region = i == 0 ? "east" : "west";
  }
  fixture.directory.Update(entries, false);
  const auto send = [&fixture](const std::set<std::string>& regions) {
    fixture.view = CallerView();
    ServiceRoute route;
    route.kind = RouteKind::kIdempotent;
    route.services = {{kService, 1}};
    route.max_attempts = 3;
    route.home_regions = HomeRegions(regions);
    IncomingRequest request;
    request.id = "r";
    fixture.forwarder.Forward(std::move(request), route, "w", std::make_shared<FakeResponder>(&fixture.view));
  };
  for (int i = 0; i < 10; ++i) {
    send({"west"});
    REQUIRE(fixture.endpoints.attempts.size() == static_cast<size_t>(i + 1));
    CHECK(fixture.endpoints.attempts.back()->call.endpoint_id == "e1");
    CHECK_FALSE(fixture.endpoints.attempts.back()->call.home_regions.Allows("east"));
  }
  fixture.Observer(9)->OnHead(ForwarderFixture::Head(500, false));
  fixture.Observer(9)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
  for (size_t i = 10; i < fixture.endpoints.attempts.size(); ++i) {
    CHECK(fixture.endpoints.attempts[i]->call.endpoint_id == "e1");
  }
  const size_t attempts = fixture.endpoints.attempts.size();
  send({"north"});
  CHECK(fixture.endpoints.attempts.size() == attempts);
  CHECK(fixture.view.status == 503);
  CHECK(FindHeader(fixture.view.headers, "retry-after") != nullptr);
}

constexpr char kOtherService[] = "other";

// The id of a request that the weights of two equal shares give to a service.
std::string IdFor(const std::string& service, const std::string& name) {
  ServiceRoute route;
  route.services = {{kService, 50}, {kOtherService, 50}};
  int number = 0;
  while (ChooseService(route, Hash64(name + std::to_string(number))) != service) {
    ++number;
  }
  return name + std::to_string(number);
}

// Guards against errors for a share of the callers while the endpoints of another service of the split are free.
TEST_CASE("a request goes to another service of its split while its own has no working endpoint, and back again") {
  for (const RouteKind kind : {RouteKind::kIdempotent, RouteKind::kNonIdempotent, RouteKind::kStream}) {
    ForwarderFixture fixture;
    fixture.services = {{kService, 50}, {kOtherService, 50}};
    fixture.ServeServices({{"b0", kOtherService}});
    fixture.Send(kind, IdFor(kService, "lost"));
    REQUIRE(fixture.endpoints.attempts.size() == 1);
    CHECK(fixture.endpoints.attempts[0]->call.endpoint_id == "b0");
    fixture.ServeServices({{"a0", kService}, {"b0", kOtherService}});
    fixture.Send(kind, IdFor(kService, "back"));
    CHECK(fixture.endpoints.attempts.back()->call.endpoint_id == "a0");
    fixture.ServeServices({});
    fixture.Send(kind, IdFor(kService, "none"));
    CHECK(fixture.view.status == 503);
    CHECK(fixture.endpoints.attempts.size() == 2);
  }
}

TEST_CASE("a retry goes to another service of the split when the endpoints of the own one do not respond") {
  for (const RouteKind kind : {RouteKind::kIdempotent, RouteKind::kNonIdempotent}) {
    for (const EndpointCallOutcome outcome : {EndpointCallOutcome::kNotSent, EndpointCallOutcome::kNoResponse}) {
      ForwarderFixture fixture;
      fixture.services = {{kService, 50}, {kOtherService, 50}};
      fixture.ServeServices({{"a0", kService}, {"b0", kOtherService}});
      fixture.Send(kind, IdFor(kService, "r"));
      REQUIRE(fixture.endpoints.attempts[0]->call.endpoint_id == "a0");
      fixture.Observer(0)->OnEnd(ForwarderFixture::Result(outcome));
      // Only a request that has certainly not run, or that may run twice, is sent again.
      const bool may_retry = kind == RouteKind::kIdempotent || outcome == EndpointCallOutcome::kNotSent;
      REQUIRE(fixture.endpoints.attempts.size() == (may_retry ? 2 : 1));
      CHECK((!may_retry || fixture.endpoints.attempts[1]->call.endpoint_id == "b0"));
    }
  }
}

// Guards against refusals while endpoints of another service of the split are free, and against a service that loses
// requests because one of its endpoints is full.
TEST_CASE("a request leaves its service when all endpoints there have refused it, and not before") {
  for (const RouteKind kind : {RouteKind::kIdempotent, RouteKind::kNonIdempotent}) {
    ForwarderFixture fixture;
    fixture.services = {{kService, 50}, {kOtherService, 50}};
    fixture.ServeServices({{"a0", kService}, {"a1", kService}, {"b0", kOtherService}});
    fixture.Send(kind, IdFor(kService, "r"));
    for (size_t attempt = 0; fixture.view.status == 0 && attempt < 20; ++attempt) {
      REQUIRE(attempt < fixture.endpoints.attempts.size());
      const bool is_own = fixture.endpoints.attempts[attempt]->call.endpoint_id != "b0";
      CHECK(is_own == (attempt < 2));
      fixture.Observer(attempt)->OnHead(ForwarderFixture::Head(is_own ? 503 : 200, is_own));
      fixture.Observer(attempt)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
    }
    CHECK(fixture.view.status == 200);
    CHECK(fixture.endpoints.attempts.size() == 3);
  }
}

TEST_CASE("a request goes to another service of its split when the endpoints of its own are not permitted to take it") {
  ForwarderFixture fixture;
  fixture.services = {{kService, 50}, {kOtherService, 50}};
  fixture.ServeServices({{"a0", kService}, {"b0", kOtherService}});
  fixture.permits.limited = {"a0"};
  fixture.permits.wait = Duration::Seconds(2);
  fixture.Send(RouteKind::kNonIdempotent, IdFor(kService, "r"));
  REQUIRE(fixture.endpoints.attempts.size() == 1);
  CHECK(fixture.endpoints.attempts[0]->call.endpoint_id == "b0");
}

TEST_CASE("a request that all services of its split refuse is refused as not run") {
  ForwarderFixture fixture;
  fixture.services = {{kService, 50}, {kOtherService, 50}};
  fixture.ServeServices({{"a0", kService}, {"b0", kOtherService}});
  fixture.Send(RouteKind::kNonIdempotent, IdFor(kService, "r"));
  for (size_t attempt = 0; fixture.view.status == 0 && attempt < 20; ++attempt) {
    REQUIRE(attempt < fixture.endpoints.attempts.size());
    fixture.Observer(attempt)->OnHead(ForwarderFixture::Head(503, true));
    fixture.Observer(attempt)->OnEnd(ForwarderFixture::Result(EndpointCallOutcome::kComplete));
  }
  CHECK(fixture.view.status == 503);
}

// Guards against a stream that is joined from two services: without a row, it counts as begun by its own service, whose
// software version may have the same name.
TEST_CASE("a stream that began on another service of its split is continued there, also when its own is back") {
  ForwarderFixture fixture;
  fixture.services = {{kService, 50}, {kOtherService, 50}};
  // The common version of both services is known.
  fixture.ServeServices({{"a0", kService}, {"b0", kOtherService}});
  for (const char* service : {kService, kOtherService}) {
    fixture.SendStream(IdFor(service, "first"));
    fixture.endpoints.attempts.back()->observer->OnHead(ForwarderFixture::Head(200, false));
    fixture.scheduler.Advance(Duration::Milliseconds(10));
  }
  fixture.ServeServices({{"b0", kOtherService}});
  const std::string id = IdFor(kService, "r");
  fixture.SendStream(id);
  fixture.endpoints.attempts.back()->observer->OnHead(ForwarderFixture::Head(200, false));
  fixture.endpoints.attempts.back()->observer->OnBody("id: 1\ndata: a\n\n");
  fixture.scheduler.Advance(Duration::Milliseconds(10));
  REQUIRE(fixture.view.body == "id: 1\ndata: a\n\n");
  fixture.ServeServices({{"a0", kService}, {"b0", kOtherService}});
  for (const char* service : {kService, kOtherService}) {
    fixture.SendStream(IdFor(service, "continued"), id);
    CHECK(fixture.endpoints.attempts.back()->call.endpoint_id == "b0");
  }
  // Its own service does not get it either when the other one is lost.
  fixture.ServeServices({{"a0", kService}});
  const size_t before = fixture.endpoints.attempts.size();
  fixture.SendStream("late", id);
  CHECK(fixture.view.status == 503);
  CHECK(fixture.endpoints.attempts.size() == before);
}

// Guards against a part of a stream that its own service would continue.
TEST_CASE("a stream on another service of its split is not passed on when its origin cannot be recorded") {
  ForwarderFixture fixture;
  fixture.services = {{kService, 50}, {kOtherService, 50}};
  fixture.ServeServices({{"b0", kOtherService}});
  fixture.table.unavailable = true;
  fixture.SendStream(IdFor(kService, "r"));
  fixture.endpoints.attempts.back()->observer->OnHead(ForwarderFixture::Head(200, false));
  fixture.endpoints.attempts.back()->observer->OnBody("id: 1\ndata: a\n\n");
  fixture.scheduler.Advance(Duration::Seconds(4));
  CHECK(fixture.view.body.find("data: a") == std::string::npos);
  CHECK(fixture.view.status == 502);
}

}  // namespace
}  // namespace quetzalridge
