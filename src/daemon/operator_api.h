#pragma once

#include <functional>
#include <memory>
#include <string>

#include "coordination/config_log.h"
#include "coordination/scheduler.h"
#include "transport/http_server.h"

namespace quetzalridge {

// The parts of the process that the operator interface shows or controls.
struct OperatorHooks {
  // Prometheus text.
  std::function<std::string()> metrics;
  // JSON objects; `status` is added to the status of the configuration.
  std::function<std::string()> burn;
  std::function<std::string()> status;
  // Begins a graceful shutdown.
  std::function<void()> drain;
  std::function<bool()> draining;
};

// Handles the requests of the admin address. /healthz and /readyz need no token, since the platform's load balancer
// has none.
class OperatorApi : public HttpHandler {
 public:
  // An empty token accepts everyone who reaches the admin address.
  OperatorApi(ConfigLog* config, Scheduler* scheduler, std::string token, OperatorHooks hooks);

  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  bool IsAuthorized(const HttpRequest& request) const;
  void Dispatch(const HttpRequest& request, const Responder& responder);
  void SendHealth(const Responder& responder) const;
  void SendReadiness(const Responder& responder) const;
  void ProposeChange(const HttpRequest& request, const Responder& responder);
  void SendStatus(const Responder& responder) const;
  void StartDrain(const Responder& responder) const;

  ConfigLog* m_config;
  Scheduler* m_scheduler;
  std::string m_token;
  OperatorHooks m_hooks;
};

}  // namespace quetzalridge
