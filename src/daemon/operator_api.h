#pragma once

#include <functional>
#include <memory>
#include <string>

#include "coordination/config_log.h"
#include "coordination/scheduler.h"
#include "transport/http_server.h"

namespace quetzalridge {

// The functions of the process that OperatorApi calls.
struct OperatorHooks {
  // Returns the metrics in the Prometheus text format.
  std::function<std::string()> metrics;
  // Returns the burn report as a JSON object.
  std::function<std::string()> burn;
  // Returns a JSON object, to which OperatorApi adds the status of the configuration.
  std::function<std::string()> status;
  // Begins a graceful shutdown.
  std::function<void()> drain;
  // True once the graceful shutdown has begun.
  std::function<bool()> draining;
};

// Handles the requests of operators, which arrive at the admin address. /healthz and /readyz need no token, because the
// load balancer of the platform has none.
class OperatorApi : public HttpHandler {
 public:
  // If the token is empty, all requests at the admin address are accepted.
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
