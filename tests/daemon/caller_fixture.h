#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/config_view.h"
#include "coordination/idempotency_store.h"
#include "coordination/platform.h"
#include "coordination/table_store.h"
#include "daemon/caller_api.h"
#include "daemon/dispatcher.h"
#include "daemon/endpoint_registry.h"
#include "state/quarantine.h"
#include "transport/engine_client.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace quetzalridge {

// A configuration that tests change directly.
class FakeConfigView : public ConfigView {
 public:
  const ConfigDocument& document() const override { return m_document; }
  bool MayServeKeyedRoutes(TimePoint) const override { return may_serve; }
  void AddListener(Listener listener) override { m_listeners.push_back(std::move(listener)); }

  void Change(ConfigKind kind, const std::string& name, std::optional<std::string> value);

  bool may_serve = true;

 private:
  ConfigDocument m_document;
  std::vector<Listener> m_listeners;
};

// A platform that only lists instances, from `list`.
class FakePlatform : public Platform {
 public:
  explicit FakePlatform(EventLoop* loop) : m_loop(loop) {}
  void ListInstances(std::function<void(const InstanceListResult&)> callback) override;
  void OrderEndpoints(const EndpointOrder&, BeforeWrite, std::function<void(const OrderResult&)>) override {}
  void ReportUsage(const UsageReport&, BeforeWrite, std::function<void(ReportOutcome)>) override {}
  void LatestWeightVersion(const std::string&, std::function<void(const WeightVersionResult&)>) override {}

  InstanceListResult list;

 private:
  EventLoop* m_loop;
};

// Admits requests up to a limit of running requests, and queues the others. Sheds all requests if `shed` is set.
class LimitPolicy : public AdmissionPolicy {
 public:
  AdmissionResult Decide(const AdmissionRequest&, TimePoint) override;
  void OnFinished(const AdmissionRequest&, TimePoint) override { --running; }
  std::vector<QueueOutcome> NextQueued(TimePoint now) override;
  void CancelQueued(uint64_t id) override;

  int limit = 1'000'000;
  int running = 0;
  // The engine priority of admitted interactive requests.
  int priority = kEnginePriorityWithinShare;
  bool shed = false;
  std::vector<uint64_t> queue;
};

// Chooses the eligible endpoint on which this instance has the fewest calls in flight.
class LeastOwnRouter : public Router {
 public:
  int Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint now) override;
  void OnDispatched(const std::string& endpoint_id, const std::vector<uint64_t>&) override {
    if (on_dispatched) {
      on_dispatched(endpoint_id);
    }
  }

  std::function<void(const std::string&)> on_dispatched;
};

// Sums up the usage of each workspace.
class RecordingUsage : public UsageSink {
 public:
  void Add(const std::string& workspace, const UsageCounters& figures) override { by_workspace[workspace] += figures; }
  std::map<std::string, UsageCounters> by_workspace;
};

// Keeps the record of each request.
class RecordingMetrics : public RequestMetrics {
 public:
  void OnRequestEnd(const RequestRecord& record) override { records.push_back(record); }
  std::vector<RequestRecord> records;
};

// An endpoint in the test process. If the test sets `on_request`, this function responds to the requests. Otherwise the
// endpoint returns the prompt as the text of a streamed or complete response.
class FakeEndpoint : public HttpHandler {
 public:
  explicit FakeEndpoint(EventLoop* loop);
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

  std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }
  // Closes every connection on which on_request received a request.
  void Crash();
  static HttpHeaders EchoHeaders(const HttpRequest& request, const std::string& content_type);
  static std::string TokenEvent(const std::string& text, int index);

  std::function<void(const HttpRequest&, const std::shared_ptr<HttpResponder>&)> on_request;
  // The requests received, without polls and cancel requests.
  std::vector<HttpRequest> requests;
  // The responders that on_request received.
  std::vector<std::shared_ptr<HttpResponder>> open;

 private:
  std::unique_ptr<HttpServer> m_server;
};

// The platform's table in memory. Its callbacks run on the event loop.
class FakeLoopTable : public TableStore {
 public:
  explicit FakeLoopTable(EventLoop* loop) : m_loop(loop) {}
  void Transact(TableTransaction transaction, TransactCallback callback) override;
  void Read(std::vector<std::string> keys, ReadCallback callback) override;
  void Scan(std::string prefix, std::string after, int limit, ReadCallback callback) override;
  // No test reads partitions.
  void ListPartitions(std::string, PartitionsCallback) override {}

  bool unavailable = false;
  // Number of transactions that are applied but whose outcome is returned as unknown.
  int lose_responses = 0;
  std::map<std::string, TableRow> rows;

 private:
  TransactResult Apply(const TableTransaction& transaction);
  TableRow Row(const std::string& key) const;

  EventLoop* m_loop;
  int64_t m_revision = 0;
};

// The response that a caller received. `done` is set when it is complete.
struct CallerResponse {
  bool done = false;
  HttpResponse response;
  int status() const { return response.status; }
  const std::string& body() const { return response.body; }
};

// The complete request path in one process: an HTTP client as the caller, the caller API, the dispatcher, the endpoint
// registry and fake endpoints. There is an inference service `sort` with the model `m`, and a plain service `desk` with
// the routes `desk`, `orders` (not idempotent) and `public` (open). Workspace `a` has the key `key-a`, `b` has `key-b`.
class CallerFixture {
 public:
  explicit CallerFixture(int endpoints = 1, DispatcherOptions options = {});

  // Sends a request and returns without waiting for its response.
  std::shared_ptr<CallerResponse> Send(HttpCall call);
  HttpCall Completion(const std::string& prompt, bool stream, const std::string& key = "key-a");
  HttpCall Plain(const std::string& path, const std::string& method = "GET", const std::string& key = "key-a");
  // Sends a request and waits for its response.
  CallerResponse Run(HttpCall call);
  // Runs the event loop until the condition holds. Returns false if it does not hold within 30 s.
  bool RunUntil(const std::function<bool()>& condition);
  // Runs the event loop for this number of turns of at most 5 ms each.
  void RunTurns(int turns);
  std::string AddEndpoint(const std::string& id, const std::string& service, bool cheap = false);

  EventLoop loop;
  HttpClient client{&loop};
  EngineClient engines{&client};
  FakeConfigView config;
  FakePlatform platform{&loop};
  LeastOwnRouter router;
  LimitPolicy admission;
  Quarantine quarantine;
  FakeLoopTable table{&loop};
  IdempotencyStore idempotency_store{&table, &loop, "i1"};
  RecordingUsage usage;
  RecordingMetrics metrics;
  std::map<std::string, std::unique_ptr<FakeEndpoint>> endpoints;
  std::unique_ptr<EndpointRegistry> registry;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<CallerApi> api;
  std::unique_ptr<HttpServer> server;
};

}  // namespace quetzalridge
