#pragma once

#include <list>
#include <map>
#include <memory>
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

// The data of one event of an item, and the item's whole output.
std::string EventData(const std::string& item, int event);
int EventsOf(const std::string& item);
std::string WholeOutput(const std::string& item);
// The answer to a plain request.
std::string PlainAnswer(const std::string& request, const std::string& body);

// Stands in for a replica: runs plain requests, and items event by event; takes orders to load a version. Callers reach
// it through a relay.
class Replica : public HttpHandler {
 public:
  Replica(EventLoop* loop, SoakLog* log, UsersPlatform* platform, std::string service, int number);

  // Ends all runs without an answer and starts again under a new id.
  void Crash();
  history::TcpRelay* relay() { return &m_relay; }
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

  EventLoop* m_loop;
  SoakLog* m_log;
  UsersPlatform* m_platform;
  std::string m_service;
  std::string m_name;
  int m_starts = 0;
  std::string m_id;
  int64_t m_renewals = 0;
  int64_t m_version = 1;
  int64_t m_orders = 0;
  int64_t m_plain_runs = 0;
  std::list<Run> m_runs;
  std::list<std::unique_ptr<Timer>> m_timers;
  HttpServer m_server;
  history::TcpRelay m_relay;
};

}  // namespace quetzalridge::soak
