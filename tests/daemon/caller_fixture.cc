#include "tests/daemon/caller_fixture.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "protocol/sse_writer.h"

namespace quetzalridge {

void FakeConfigView::Change(ConfigKind kind, const std::string& name, std::optional<std::string> value) {
  ConfigChange change;
  change.version = m_document.version() + 1;
  change.kind = kind;
  change.name = name;
  change.value = std::move(value);
  m_document.Apply(change);
  for (const Listener& listener : m_listeners) {
    listener(change);
  }
}

void FakePlatform::ListInstances(std::function<void(const InstanceListResult&)> callback) {
  m_loop->Post([this, callback = std::move(callback)] { callback(list); });
}

AdmissionResult LimitPolicy::Decide(const AdmissionRequest& request, TimePoint) {
  AdmissionResult result;
  if (shed) {
    result.verdict = AdmissionVerdict::kShed;
    result.retry_after = Duration::Milliseconds(700);
  } else if (running >= limit) {
    result.verdict = AdmissionVerdict::kQueue;
    queue.push_back(request.id);
  } else {
    ++running;
    result.engine_priority = request.work_class == WorkClass::kRollout ? kEnginePriorityRollout : priority;
  }
  return result;
}

std::vector<QueueOutcome> LimitPolicy::NextQueued(TimePoint) {
  std::vector<QueueOutcome> outcomes;
  while (!queue.empty() && running < limit) {
    outcomes.push_back({queue.front(), {}});
    queue.erase(queue.begin());
    ++running;
  }
  return outcomes;
}

void LimitPolicy::CancelQueued(uint64_t id) {
  queue.erase(std::remove(queue.begin(), queue.end(), id), queue.end());
}

int LeastOwnRouter::Choose(const RouteRequest& request, const std::vector<EndpointState>& endpoints, TimePoint) {
  int best = -1;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    if (IsEligible(request, endpoints[i]) && (best < 0 || endpoints[i].own_in_flight < endpoints[best].own_in_flight)) {
      best = static_cast<int>(i);
    }
  }
  return best;
}

TableRow FakeLoopTable::Row(const std::string& key) const {
  const auto it = rows.find(key);
  return it == rows.end() ? TableRow{key, 0, "", ""} : it->second;
}

TransactResult FakeLoopTable::Apply(const TableTransaction& transaction) {
  TransactResult result;
  for (const TableCheck& check : transaction.checks) {
    if (Row(check.key).version != check.version) {
      result.rows.push_back(Row(check.key));
    }
  }
  if (!result.rows.empty()) {
    result.outcome = TransactOutcome::kConflict;
    return result;
  }
  result.outcome = TransactOutcome::kCommitted;
  result.revision = ++m_revision;
  for (const TableWrite& write : transaction.writes) {
    rows[write.key] = {write.key, m_revision, write.value.value_or(""), transaction.id};
  }
  return result;
}

void FakeLoopTable::Transact(TableTransaction transaction, TransactCallback callback) {
  TransactResult result;
  if (!unavailable) {
    result = Apply(transaction);
    if (lose_responses > 0) {
      --lose_responses;
      result = {TransactOutcome::kUnknown, 0, {}};
    }
  }
  m_loop->Post([result, callback = std::move(callback)] { callback(result); });
}

void FakeLoopTable::Read(std::vector<std::string> keys, ReadCallback callback) {
  ReadResult result;
  result.ok = !unavailable;
  for (const std::string& key : keys) {
    result.rows.push_back(Row(key));
  }
  m_loop->Post([result, callback = std::move(callback)] { callback(result); });
}

void FakeLoopTable::Scan(std::string, std::string, int, ReadCallback callback) {
  m_loop->Post([callback = std::move(callback)] { callback({}); });
}

FakeEndpoint::FakeEndpoint(EventLoop* loop) : m_server(std::make_unique<HttpServer>(loop, HttpServerOptions{}, this)) {}

HttpHeaders FakeEndpoint::EchoHeaders(const HttpRequest& request, const std::string& content_type) {
  const std::string* id = FindHeader(request.headers, "x-request-id");
  return {{"content-type", content_type}, {"x-request-id", id == nullptr ? "" : *id}};
}

std::string FakeEndpoint::TokenEvent(const std::string& text, int index) {
  return EncodeSseEvent(
      nlohmann::json{{"choices", {{{"index", 0}, {"text", text}}}}, {"weight_version", 7}, {"token_index", index}}
          .dump());
}

void FakeEndpoint::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  if (request.path == "/load") {
    responder->Send(200, {}, R"({"running":0,"queued":0,"weight_version":7,"age_ms":0})");
    return;
  }
  if (request.path == "/cache_events") {
    responder->Send(200, {}, R"({"first":0,"next":0,"events":[]})");
    return;
  }
  if (request.path == "/cancel") {
    responder->Send(200, {}, "{}");
    return;
  }
  requests.push_back(request);
  if (on_request) {
    open.push_back(responder);
    on_request(request, responder);
    return;
  }
  const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder->Send(200, EchoHeaders(request, "text/plain"), request.method + " " + request.path);
    return;
  }
  const std::string prompt = body.value("prompt", "");
  if (body.value("stream", false)) {
    responder->Start(200, EchoHeaders(request, "text/event-stream"));
    responder->Write(TokenEvent("echo ", 0));
    responder->Write(TokenEvent(prompt, 1));
    responder->Write(EncodeSseEvent(kSseDone));
    responder->End();
    return;
  }
  const nlohmann::json completion = {{"choices", {{{"index", 0}, {"text", "echo " + prompt}}}},
                                     {"usage", {{"prompt_tokens", 3}, {"completion_tokens", 2}, {"cached_tokens", 0}}}};
  responder->Send(200, EchoHeaders(request, "application/json"), completion.dump());
}

void FakeEndpoint::Crash() {
  std::vector<std::shared_ptr<HttpResponder>> crashed;
  crashed.swap(open);
  for (const auto& responder : crashed) {
    responder->Abort();
  }
}

CallerFixture::CallerFixture(int endpoint_count, DispatcherOptions options) {
  config.Change(ConfigKind::kWorkspace, "a", "{}");
  config.Change(ConfigKind::kWorkspace, "b", "{}");
  config.Change(ConfigKind::kProfile, "p", "{}");
  config.Change(ConfigKind::kService, "sort", R"({"profile":"p"})");
  config.Change(ConfigKind::kService, "desk", R"({"profile":"p","kind":"plain"})");
  config.Change(ConfigKind::kRoute, "m", R"({"service":"sort"})");
  config.Change(ConfigKind::kRoute, "desk", R"({"service":"desk"})");
  config.Change(ConfigKind::kRoute, "orders", R"({"service":"desk","idempotent":false})");
  config.Change(ConfigKind::kRoute, "public", R"({"service":"desk","open":true})");
  config.Change(ConfigKind::kKey, Sha256Hex("key-a"), R"({"workspace":"a"})");
  config.Change(ConfigKind::kKey, Sha256Hex("key-b"), R"({"workspace":"b"})");
  registry = std::make_unique<EndpointRegistry>(
      &loop, &config, &platform, &engines, &router,
      EndpointRegistryOptions{Duration::Milliseconds(20), Duration::Milliseconds(20)});
  for (int i = 0; i < endpoint_count; ++i) {
    AddEndpoint("e" + std::to_string(i), "sort");
    AddEndpoint("d" + std::to_string(i), "desk");
  }
  dispatcher = std::make_unique<Dispatcher>(
      Dispatcher::Collaborators{&loop, &config, registry.get(), &engines, &router, &admission, &quarantine}, options);
  CallerApi::Collaborators collaborators;
  collaborators.scheduler = &loop;
  collaborators.config = &config;
  collaborators.dispatcher = dispatcher.get();
  collaborators.idempotency_store = &idempotency_store;
  collaborators.usage = &usage;
  collaborators.metrics = &metrics;
  api = std::make_unique<CallerApi>(collaborators, CallerApiOptions{});
  server = std::make_unique<HttpServer>(&loop, HttpServerOptions{}, api.get());
}

std::string CallerFixture::AddEndpoint(const std::string& id, const std::string& service, bool cheap) {
  endpoints[id] = std::make_unique<FakeEndpoint>(&loop);
  const nlohmann::json value = {
      {"service", service}, {"address", endpoints[id]->address()}, {"zone", "z1"}, {"cheap", cheap}};
  config.Change(ConfigKind::kEndpoint, id, value.dump());
  return endpoints[id]->address();
}

HttpCall CallerFixture::Completion(const std::string& prompt, bool stream, const std::string& key) {
  HttpCall call;
  call.address = "127.0.0.1:" + std::to_string(server->port());
  call.method = "POST";
  call.target = "/v1/completions";
  if (!key.empty()) {
    call.headers = {{"authorization", "Bearer " + key}};
  }
  call.body = nlohmann::json{{"model", "m"}, {"prompt", prompt}, {"stream", stream}}.dump();
  return call;
}

HttpCall CallerFixture::Plain(const std::string& path, const std::string& method, const std::string& key) {
  HttpCall call;
  call.address = "127.0.0.1:" + std::to_string(server->port());
  call.method = method;
  call.target = path;
  if (!key.empty()) {
    call.headers = {{"x-api-key", key}};
  }
  return call;
}

std::shared_ptr<CallerResponse> CallerFixture::Send(HttpCall call) {
  auto caller_response = std::make_shared<CallerResponse>();
  client.Fetch(std::move(call), [caller_response](const HttpResponse& response) {
    caller_response->response = response;
    caller_response->done = true;
  });
  return caller_response;
}

CallerResponse CallerFixture::Run(HttpCall call) {
  const std::shared_ptr<CallerResponse> caller_response = Send(std::move(call));
  RunUntil([&] { return caller_response->done; });
  return *caller_response;
}

bool CallerFixture::RunUntil(const std::function<bool()>& condition) {
  const TimePoint limit = loop.clock().Now() + Duration::Seconds(30);
  while (!condition() && loop.clock().Now() < limit) {
    loop.RunOnce(Duration::Milliseconds(20));
  }
  return condition();
}

void CallerFixture::RunTurns(int turns) {
  for (int i = 0; i < turns; ++i) {
    loop.RunOnce(Duration::Milliseconds(5));
  }
}

}  // namespace quetzalridge
