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

// Admits everything up to a limit; beyond it, requests wait.
class LimitPolicy : public AdmissionPolicy {
 public:
  AdmissionResult Decide(const AdmissionRequest&, TimePoint) override;
  void OnFinished(const AdmissionRequest&, TimePoint) override { --running; }
  std::vector<QueueOutcome> NextQueued(TimePoint now) override;
  void CancelQueued(uint64_t id) override;

  int limit = 1'000'000;
  int running = 0;
  // Of admitted interactive requests.
  int priority = kEnginePriorityWithinShare;
  bool shed = false;
  std::vector<uint64_t> queue;
};

// The eligible endpoint with the fewest own calls.
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

class RecordingUsage : public UsageSink {
 public:
  void Add(const std::string& workspace, const UsageFigures& figures) override { by_workspace[workspace] += figures; }
  std::map<std::string, UsageFigures> by_workspace;
};

class RecordingMetrics : public RequestMetrics {
 public:
  void OnRequestEnd(const RequestRecord& record) override { records.push_back(record); }
  std::vector<RequestRecord> records;
};

// An endpoint in the test process. Requests that the test does not answer by `on_request` are streamed or answered
// whole with the prompt as text.
class FakeEndpoint : public HttpHandler {
 public:
  explicit FakeEndpoint(EventLoop* loop);
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

  std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }
  // Every connection with a request in progress breaks.
  void Crash();
  static HttpHeaders EchoHeaders(const HttpRequest& request, const std::string& content_type);
  static std::string TokenEvent(const std::string& text, int index);

  std::function<void(const HttpRequest&, const std::shared_ptr<HttpResponder>&)> on_request;
  std::vector<HttpRequest> requests;
  std::vector<std::shared_ptr<HttpResponder>> open;

 private:
  std::unique_ptr<HttpServer> m_server;
};

// The platform's table on the event loop.
class FakeLoopTable : public TableStore {
 public:
  explicit FakeLoopTable(EventLoop* loop) : m_loop(loop) {}
  void Transact(TableTransaction transaction, TransactCallback callback) override;
  void Read(std::vector<std::string> keys, ReadCallback callback) override;
  void Scan(std::string prefix, std::string after, int limit, ReadCallback callback) override;
  // No test reads partitions.
  void ListPartitions(std::string, PartitionsCallback) override {}

  bool unavailable = false;
  // Transactions that are applied and then answered as unknown.
  int lose_responses = 0;
  std::map<std::string, TableRow> rows;

 private:
  TransactResult Apply(const TableTransaction& transaction);
  TableRow Row(const std::string& key) const;

  EventLoop* m_loop;
  int64_t m_revision = 0;
};

// What a caller received.
struct CallerResponse {
  bool done = false;
  HttpResponse response;
  int status() const { return response.status; }
  const std::string& body() const { return response.body; }
};

// The whole request path in one process: caller, caller API, dispatcher, registry, endpoints.
class CallerFixture {
 public:
  explicit CallerFixture(int endpoints = 1, DispatcherOptions options = {});

  std::shared_ptr<CallerResponse> Send(HttpCall call);
  HttpCall Completion(const std::string& prompt, bool stream, const std::string& key = "key-a");
  HttpCall Plain(const std::string& path, const std::string& method = "GET", const std::string& key = "key-a");
  CallerResponse Run(HttpCall call);
  // Turns the loop until the condition holds; false when it does not hold within a generous time.
  bool RunUntil(const std::function<bool()>& condition);
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
