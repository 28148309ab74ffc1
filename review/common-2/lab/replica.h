#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform.h"

namespace review {

inline constexpr char kModel[] = "daka510000";

// One request that a replica began to run.
struct Run {
  std::string replica;
  std::string id;
  std::string tenant;
  std::string key;
  std::string path;
  std::string body;
  std::string last_event_id;
  int64_t began_ms = 0;
  // 0 while it runs.
  int64_t ended_ms = 0;
  bool finished = false;
};

// A replica of a service (PROTOCOL.md, "Replicas"): a model server streams events, another answers at once.
class Replica {
 public:
  Replica(Platform* platform, Record* record, std::string service, std::string id, bool is_model_server)
      : m_platform(platform),
        m_record(record),
        m_service(std::move(service)),
        m_id(std::move(id)),
        m_is_model_server(is_model_server),
        m_server("127.0.0.1", [this](const Request& request, Responder* responder) { Serve(request, responder); }) {
    std::thread([this] {
      while (!m_crashed) {
        Beat();
        SleepMs(kHeartbeatMs);
      }
    }).detach();
  }

  // Crashes for good: runs end without an answer, connections are refused, and the store removes the entry after three
  // heartbeat intervals of silence.
  void Crash() {
    m_record->Line(m_id + " crashes for good");
    m_crashed = true;
    m_server.Stop();
    std::thread([this] {
      SleepMs(3 * kHeartbeatMs);
      m_platform->Remove("servers", m_id);
      m_record->Line("the store has removed " + m_id);
    }).detach();
  }

  // The data of event `number` of a run with this prompt; names the prompt by its beginning.
  static std::string EventData(const std::string& prompt, int number) {
    constexpr size_t kNameBytes = 64;
    return prompt.substr(0, kNameBytes) + " event " + std::to_string(number);
  }
  // The output of a whole run of `events` events.
  static std::string WholeOutput(const std::string& prompt, int events) {
    std::string output;
    for (int i = 1; i <= events; ++i) {
      output += (i > 1 ? "\n" : "") + EventData(prompt, i);
    }
    return output;
  }

  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
  }

  // Events of a run, and the time between two of them.
  std::atomic<int> events{25};
  std::atomic<int> gap_ms{20};

 private:
  static constexpr int64_t kHeartbeatMs = 1200;

  void Beat() {
    nlohmann::json entry = {
        {"Service", m_service}, {"Addr", m_server.address()}, {"Zone", "derwent-a"}, {"Version", "v1"}, {"Slots", 12},
        {"State", "ready"},     {"ColdRemainingMs", 0},       {"Seq", (++m_beats)},  {"born", m_born}};
    if (m_is_model_server) {
      entry["Stage"] = "both";
      entry["Models"] = Models();
    }
    m_platform->Put("servers", m_id, entry);
  }

  void Serve(const Request& request, Responder* responder) {
    const std::string expected = HeaderOf(request.headers, "x-quetzalridge-expect-instance");
    const std::string id = HeaderOf(request.headers, "x-quetzalridge-request-id");
    if (!expected.empty() && expected != m_id) {
      responder->Send(421, {{"X-Quetzalridge-Instance-Id", m_id}, {"X-Quetzalridge-Not-Run", "1"}}, "");
      return;
    }
    if (request.path == "/healthz") {
      responder->Send(200, {{"X-Quetzalridge-Instance-Id", m_id}}, "");
      return;
    }
    if (request.path == "/api/report") {
      const nlohmann::json report = {
          {"Stage", "both"}, {"Models", Models()}, {"Busy", m_busy.load()}, {"Seq", m_orders.load()},
          {"NumWaiting", 0}, {"NumRunning", 0},    {"KvUsed", 0},           {"KvTotal", 90000},
          {"Handles", 0}};
      responder->Send(200, {{"Content-Type", "application/json"}}, report.dump());
      return;
    }
    if (request.path == "/api/order") {
      TakeOrder(nlohmann::json::parse(request.body), responder);
      return;
    }
    const std::string wanted = HeaderOf(request.headers, "x-quetzalridge-expect-version");
    if (!wanted.empty() && wanted != std::to_string(m_version)) {
      m_record->Line("421 at " + m_id + ": id=" + id + " expects version " + wanted);
      responder->Send(421, {{"X-Quetzalridge-Instance-Id", m_id}, {"X-Quetzalridge-Not-Run", "1"}}, "");
      return;
    }
    if (id.empty()) {
      responder->Send(400, {{"X-Quetzalridge-Not-Run", "1"}}, "");
      return;
    }
    Run run;
    run.replica = m_id;
    run.id = id;
    run.tenant = HeaderOf(request.headers, "x-quetzalridge-tenant");
    run.key = HeaderOf(request.headers, "api-key");
    run.path = request.path;
    run.body = request.body;
    run.last_event_id = HeaderOf(request.headers, "last-event-id");
    run.began_ms = NowMs();
    size_t index = 0;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      index = m_runs.size();
      m_runs.push_back(run);
    }
    m_record->Line("run at " + m_id + ": id=" + id + " tenant=" + run.tenant + " path=" + run.path +
                   " last-event-id=" + run.last_event_id + " body=" + run.body.substr(0, 40));
    const Headers headers = {{"X-Quetzalridge-Request-Id", id}, {"X-Quetzalridge-Server-Stamp", m_id + ".1.1.1"}};
    if (!m_is_model_server) {
      constexpr int64_t kWorkMs = 25;
      SleepMs(kWorkMs);
      responder->Send(200, headers, "answer to " + id);
      EndRun(index, true);
      return;
    }
    EndRun(index, Stream(run, headers, responder));
  }

  void EndRun(size_t index, bool finished) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs[index].ended_ms = NowMs();
    m_runs[index].finished = finished;
  }

  nlohmann::json Models() const {
    return {{{"Name", kModel}, {"Version", m_version.load()}, {"Adapters", nlohmann::json::array()}}};
  }

  void TakeOrder(const nlohmann::json& order, Responder* responder) {
    const auto version = order.at("Version").get<int64_t>();
    m_record->Line("order to " + m_id + ": " + order.dump());
    if (version == m_version) {
      responder->Send(200, {}, "");
    } else if (m_busy || order.value("Expect", m_orders.load()) != m_orders) {
      responder->Send(409, {}, "");
    } else {
      ++m_orders;
      m_busy = true;
      responder->Send(202, {}, "");
      std::thread([this, version] {
        constexpr int64_t kLoadMs = 900;
        SleepMs(kLoadMs);
        m_version = version;
        m_busy = false;
        Beat();
      }).detach();
    }
  }

  // Returns whether the run came to its end.
  bool Stream(const Run& run, Headers headers, Responder* responder) {
    headers.emplace_back("Content-Type", "text/event-stream");
    int64_t version = m_version;
    headers.emplace_back("X-Quetzalridge-Weight-Versions", std::to_string(version));
    responder->Start(200, headers);
    const int first = run.last_event_id.empty() ? 1 : std::atoi(run.last_event_id.c_str()) + 1;
    for (int number = first; number <= events; ++number) {
      SleepMs(gap_ms);
      if (m_crashed) {
        responder->Abort();
        return false;
      }
      std::string event;
      if (version != m_version) {
        version = m_version;
        event = "x-quetzalridge-weight-versions: " + std::to_string(version) + "\n";
      }
      if (!responder->Write(event + "id: " + std::to_string(number) + "\ndata: " + EventData(run.body, number) +
                            "\n\n")) {
        m_record->Line("run at " + m_id + ": id=" + run.id + " was dropped by its caller before event " +
                       std::to_string(number));
        return false;
      }
    }
    responder->End();
    return true;
  }

  Platform* m_platform;
  Record* m_record;
  std::string m_service;
  std::string m_id;
  bool m_is_model_server;
  std::atomic<int64_t> m_beats{0};
  std::atomic<int64_t> m_version{1};
  std::atomic<int64_t> m_orders{0};
  std::atomic<bool> m_busy{false};
  std::atomic<bool> m_crashed{false};
  int64_t m_born =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  std::mutex m_mutex;
  std::vector<Run> m_runs;
  Server m_server;
};

}  // namespace review
