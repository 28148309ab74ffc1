#pragma once

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/node.h"
#include "platform/wire_names.h"
#include "tests/soak/replica.h"
#include "tests/soak/users_platform.h"
#include "transport/http_client.h"

namespace quetzalridge::platform {

inline constexpr int kCallerPort = 18'700;
inline constexpr int kReadinessPort = 18'701;
inline constexpr int kPeerPort = 18'702;
inline constexpr int kMetricsPort = 18'703;
inline constexpr int kEndpoints = 4;
inline constexpr int kEngines = 2;
inline constexpr double kColdPerS = 2.0;
inline constexpr char kHost[] = "agency.example";

// An instance, and its own way to each endpoint.
struct TestInstance {
  std::string ip;
  std::vector<std::unique_ptr<history::TcpRelay>> paths;
  std::unique_ptr<Node> node;
};

// Three instances in this process, before four endpoints of a plain service and two engines.
class Cluster {
 public:
  Cluster() : m_log(&m_loop.clock()), m_platform(&m_loop, &m_log, 1), m_client(&m_loop) {
    const nlohmann::json route = {{"Name", "plain"},      {"Host", kHost},     {"Prefix", "/lookup/"},
                                  {"Kind", "idempotent"}, {"TimeoutMs", 2000}, {"Service", soak::kPlainService},
                                  {"MaxAttempts", 3},     {"Public", false}};
    nlohmann::json stream = route;
    stream["Name"] = "stream";
    stream["Prefix"] = "/stream/";
    stream["Kind"] = "stream";
    stream["TimeoutMs"] = 9000;
    stream["Service"] = soak::kEngineService;
    nlohmann::json once = route;
    once["Name"] = "once";
    once["Prefix"] = "/once/";
    once["Kind"] = "non_idempotent";
    m_config = {
        {"Version", 1},
        {"Routes", {route, stream, once}},
        {"Services",
         {{{"Name", soak::kPlainService}, {"ColdStartS", 8}, {"ColdPerS", kColdPerS}},
          {{"Name", soak::kEngineService}, {"Engine", {{"Slots", 8}, {"Models", {{{"Name", soak::kModel}}}}}}}}},
        {"Tenants", {{{"Name", soak::kWorkspace}, {"ApiKeys", {"key"}}}}}};
    m_platform.Put("op", "config", m_config);
    for (int i = 0; i < kEndpoints; ++i) {
      m_replicas.push_back(std::make_unique<soak::Replica>(&m_loop, &m_log, &m_platform, soak::kPlainService, i, "v1"));
    }
    for (int i = 0; i < kEngines; ++i) {
      m_replicas.push_back(
          std::make_unique<soak::Replica>(&m_loop, &m_log, &m_platform, soak::kEngineService, i, "v1"));
    }
    for (int i = 0; i < 3; ++i) {
      AddInstance("node-" + std::to_string(i), i);
    }
    // The instances know each other and the endpoints after this time.
    RunFor(Duration::Seconds(3));
  }

  TestInstance& instance(size_t i) { return *m_instances[i]; }
  soak::SoakLog& log() { return m_log; }

  // An engine. Its address is that of its first start.
  const soak::Replica& engine(int i) const { return *m_replicas[static_cast<size_t>(kEndpoints + i)]; }
  void RemoveFromRegistry(const std::string& id) { m_platform.Remove("servers", id); }
  // Adds an endpoint that the test runs itself.
  void AddToRegistry(const std::string& id, const std::string& address,
                     const std::string& service = soak::kPlainService) {
    m_platform.Put("servers", id,
                   {{"Service", service},
                    {"Addr", address},
                    {"Zone", "a"},
                    {"Slots", 8},
                    {"State", "ready"},
                    {"Seq", 1},
                    {"born", 1},
                    {"Version", "v1"}});
  }
  // The store answers nothing to any instance, or works again.
  void SetStoreAway(bool away) { m_platform.refuses = away; }
  // Number of requests that an endpoint has begun to run.
  int RunsAt(const std::string& id) const {
    return static_cast<int>(std::count_if(m_log.runs().begin(), m_log.runs().end(),
                                          [&id](const soak::ReplicaRun& run) { return run.replica == id; }));
  }
  soak::Replica& endpoint(int i) { return *m_replicas[static_cast<size_t>(i)]; }
  // Asks for the evacuation of a zone, or ends it. All endpoints are in zone "a".
  void SetEvacuated(const std::string& zone, bool evacuated) {
    if (evacuated) {
      m_platform.Put("op", "evacuate/" + zone, nlohmann::json::object());
    } else {
      m_platform.Remove("op", "evacuate/" + zone);
    }
  }
  void NameVersion(int64_t version) {
    m_platform.Put("op", std::string("version/") + soak::kModel, {{"Model", soak::kModel}, {"Version", version}});
  }

  // Writes a changed configuration, and waits until it is in force.
  void ChangeConfig(const std::function<void(nlohmann::json* config)>& change) {
    change(&m_config);
    m_config["Version"] = m_config["Version"].get<int>() + 1;
    m_platform.Put("op", "config", m_config);
    RunFor(Duration::Milliseconds(1500));
  }

  void SetPaths(size_t i, history::TcpRelay::Mode mode) {
    for (const auto& path : m_instances[i]->paths) {
      path->SetMode(mode);
    }
  }

  void RunFor(Duration duration) {
    const TimePoint end = m_loop.clock().Now() + duration;
    while (m_loop.clock().Now() < end) {
      m_loop.RunOnce(Duration::Milliseconds(5));
    }
  }

  // Sends a request to one instance. The callback receives the status, 0 if no whole response came, and whether the
  // body is that of an endpoint.
  void Send(size_t i, std::function<void(int status, bool whole)> callback) {
    const std::string id = "request-" + std::to_string(++m_requests);
    HttpCall call;
    call.address = m_instances[i]->ip + ":" + std::to_string(kCallerPort);
    call.method = "POST";
    call.target = "/lookup/" + id;
    call.headers = {{"host", kHost}, {kRequestIdHeader, id}, {kDeadlineHeader, "1500"}, {kApiKeyHeader, "key"}};
    call.body = "body of " + id;
    call.total_timeout = Duration::Seconds(3);
    call.fresh_connection = true;
    m_client.Fetch(std::move(call), [id, callback = std::move(callback)](const HttpResponse& response) {
      callback(response.result.outcome == CallOutcome::kWhole ? response.status : 0,
               response.body == soak::PlainAnswer(id, "body of " + id));
    });
  }

  // Sends a request to one instance and returns the response.
  HttpResponse Fetch(size_t i, const std::string& method, const std::string& target, HttpHeaders headers,
                     const std::string& body) {
    HttpCall call;
    call.address = m_instances[i]->ip + ":" + std::to_string(kCallerPort);
    call.method = method;
    call.target = target;
    call.headers = std::move(headers);
    call.headers.push_back({"host", kHost});
    call.body = body;
    call.total_timeout = Duration::Seconds(5);
    call.fresh_connection = true;
    std::optional<HttpResponse> received;
    m_client.Fetch(std::move(call), [&received](const HttpResponse& response) { received = response; });
    while (!received.has_value()) {
      m_loop.RunOnce(Duration::Milliseconds(5));
    }
    return *received;
  }

  // Sends a request with this body to one instance.
  void SendBody(size_t i, const std::string& path, std::string body,
                std::function<void(const HttpResponse&)> callback) {
    const std::string id = "request-" + std::to_string(++m_requests);
    HttpCall call;
    call.address = m_instances[i]->ip + ":" + std::to_string(kCallerPort);
    call.method = "POST";
    call.target = path;
    call.headers = {{"host", kHost}, {kRequestIdHeader, id}, {kDeadlineHeader, "1500"}, {kApiKeyHeader, "key"}};
    call.body = std::move(body);
    call.total_timeout = Duration::Seconds(3);
    call.fresh_connection = true;
    m_client.Fetch(std::move(call), std::move(callback));
  }

  // From now on, a request with this path takes each plain endpoint down that runs it, for this time. The test counts
  // them in `crashes`.
  void MakePoison(const std::string& path, Duration down) {
    for (size_t i = 0; i < kEndpoints; ++i) {
      m_replicas[i]->SetPoison(path, [this, i, down] {
        ++crashes;
        SetEndpoint(i, history::TcpRelay::Mode::kCut);
        m_timers.push_back(m_loop.After(down, [this, i] { SetEndpoint(i, history::TcpRelay::Mode::kPass); }));
      });
    }
  }
  void SetEndpoint(size_t endpoint, history::TcpRelay::Mode mode) {
    for (const auto& instance : m_instances) {
      instance->paths[endpoint]->SetMode(mode);
    }
  }
  // Sends a request with this path and always the same body to one instance. Returns its status, 0 without a response.
  int SendTo(size_t i, const std::string& path) {
    std::optional<int> status;
    SendBody(i, path, "always the same", [&status](const HttpResponse& response) {
      status = response.result.outcome == CallOutcome::kWhole ? response.status : 0;
    });
    while (!status.has_value()) {
      m_loop.RunOnce(Duration::Milliseconds(5));
    }
    return *status;
  }
  int crashes = 0;

  // Begins a stream of many events at one instance. Destroying the result closes the caller's connection.
  std::unique_ptr<HttpExchange> BeginStream(size_t i, HttpCallObserver* observer) {
    const std::string item = "long-item-" + std::to_string(LongItem());
    HttpCall call;
    call.address = m_instances[i]->ip + ":" + std::to_string(kCallerPort);
    call.method = "POST";
    call.target = "/stream/" + item;
    call.headers = {{"host", kHost}, {kRequestIdHeader, item}, {kDeadlineHeader, "9000"}, {kApiKeyHeader, "key"}};
    call.body = "body of " + item;
    call.fresh_connection = true;
    return m_client.Start(std::move(call), observer);
  }
  int RunningStreams() const {
    int running = 0;
    for (int i = 0; i < kEngines; ++i) {
      running += engine(i).running();
    }
    return running;
  }

  // Sends requests to one instance, one after the other. Returns how many were served.
  int Serve(size_t i, int requests) {
    int served = 0;
    for (int n = 0; n < requests; ++n) {
      bool ended = false;
      Send(i, [&](int status, bool whole) {
        ended = true;
        served += status == kStatusOk && whole ? 1 : 0;
      });
      while (!ended) {
        m_loop.RunOnce(Duration::Milliseconds(5));
      }
    }
    return served;
  }

 private:
  // The number of an item with more than 100 events.
  static int LongItem() {
    int number = 0;
    while (soak::EventsOf("long-item-" + std::to_string(number)) < 100) {
      ++number;
    }
    return number;
  }

  void AddInstance(const std::string& name, int index) {
    auto instance = std::make_unique<TestInstance>();
    instance->ip = "127.251." + std::to_string(1 + getpid() % 250) + "." + std::to_string(1 + index);
    std::map<std::string, std::string> addresses;
    for (const auto& replica : m_replicas) {
      instance->paths.push_back(std::make_unique<history::TcpRelay>(replica->relay()->port()));
      addresses[replica->relay()->address()] = instance->paths.back()->address();
    }
    NodeSettings settings;
    settings.instance = name;
    settings.zone = "a";
    settings.ip = instance->ip;
    settings.caller_address = instance->ip + ":" + std::to_string(kCallerPort);
    settings.readiness_address = instance->ip + ":" + std::to_string(kReadinessPort);
    settings.peer_port = kPeerPort;
    settings.metrics_port = kMetricsPort;
    settings.store_address = "127.0.0.1:" + std::to_string(m_platform.AddView(std::move(addresses)));
    instance->node = std::make_unique<Node>(&m_loop, settings);
    m_instances.push_back(std::move(instance));
  }

  EventLoop m_loop;
  soak::SoakLog m_log;
  soak::UsersPlatform m_platform;
  std::vector<std::unique_ptr<soak::Replica>> m_replicas;
  std::vector<std::unique_ptr<TestInstance>> m_instances;
  HttpClient m_client;
  // As the operator wrote it last.
  nlohmann::json m_config;
  int m_requests = 0;
  std::vector<std::unique_ptr<Timer>> m_timers;
};

}  // namespace quetzalridge::platform
