#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "tests/history/tcp_relay.h"
#include "tests/soak/soak_log.h"
#include "tests/soak/users_platform.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace quetzalridge::soak {

constexpr char kModel[] = "sorting";
constexpr char kEngineService[] = "engines";
constexpr char kPlainService[] = "catalogue";
constexpr char kWorkspace[] = "buyers";
// The ids of reward calls begin with this.
constexpr char kRewardCallPrefix[] = "score-";

// The data of one event of an item or stream, as a software version writes it.
std::string EventData(const std::string& item, int event, const std::string& software);
int EventsOf(const std::string& item);
// Whether the text is the whole output of the item, written by one software version.
bool IsWholeOutput(const std::string& item, const std::string& text);
// The answer to a plain request.
std::string PlainAnswer(const std::string& request, const std::string& body);

// Stands in for a replica: runs plain requests, and items event by event; takes orders to load a version. Callers reach
// it through a relay.
class Replica : public HttpHandler {
 public:
  Replica(EventLoop* loop, SoakLog* log, UsersPlatform* platform, std::string service, int number,
          std::string software);

  // Ends all runs without an answer and starts again under a new id, with this software version.
  void Crash(const std::string& software);
  // Ends all runs without an answer.
  void EndRuns();
  // Names this limit of requests per second in its answers from now on; none if it is 0.
  void SetRateLimit(double limit);
  // Its registry entry says from now on that it stays cold for this time.
  void SetCold(Duration time) {
    m_cold_until = m_log->Now() + time;
    Renew();
  }
  // Says in all answers from now on that it will stop, until it starts again. The registry says that it is ready.
  void Leave() { m_leaving = true; }
  bool leaving() const { return m_leaving; }
  // Requests with this path end without an answer from now on, and the callback runs at each of them.
  void SetPoison(std::string path, std::function<void()> on_poison) {
    m_poison_path = std::move(path);
    m_on_poison = std::move(on_poison);
  }
  const std::string& id() const { return m_id; }
  // How long plain requests take from now on.
  void SetPlainWork(Duration time) { m_plain_work = time; }
  history::TcpRelay* relay() { return &m_relay; }
  // Number of items and streams that run.
  int running() const { return static_cast<int>(m_runs.size()); }
  // The version of the model that is loaded.
  int64_t version() const { return m_version; }
  // The machine that sent the last order; empty before the first one.
  const std::string& last_holder() const { return m_last_holder; }
  // Renews the entry in the registry.
  void Renew();

  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

 private:
  struct Run {
    std::string item;
    int next_event = 1;
    int64_t version = 0;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<Timer> timer;
  };

  void RunPlain(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void RunItem(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void SendEvent(std::list<Run>::iterator run);
  void TakeOrder(const HttpRequest& request, HttpResponder* responder);
  void Report(HttpResponder* responder) const;
  // Checks that all nodes together keep to the rate limit.
  void CheckRateLimit();
  HttpHeaders WithLeaving(HttpHeaders headers) const;

  EventLoop* m_loop;
  SoakLog* m_log;
  UsersPlatform* m_platform;
  std::string m_service;
  std::string m_name;
  int m_starts = 0;
  std::string m_id;
  std::string m_software;
  std::optional<TimePoint> m_cold_until;
  double m_rate_limit = 0.0;
  TimePoint m_limited_since;
  // When items and streams began to run in the last few seconds.
  std::deque<TimePoint> m_begun;
  Duration m_plain_work = Duration::Milliseconds(15);
  bool m_leaving = false;
  // Empty if no request is poison.
  std::string m_poison_path;
  std::function<void()> m_on_poison;
  int64_t m_renewals = 0;
  int64_t m_version = 1;
  int64_t m_orders = 0;
  std::string m_last_holder;
  int64_t m_plain_runs = 0;
  std::list<Run> m_runs;
  std::list<std::unique_ptr<Timer>> m_timers;
  HttpServer m_server;
  history::TcpRelay m_relay;
};

}  // namespace quetzalridge::soak
