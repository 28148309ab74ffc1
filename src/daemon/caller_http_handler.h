#pragma once

#include <memory>

#include "coordination/config_view.h"
#include "coordination/scheduler.h"
#include "daemon/caller_api.h"
#include "daemon/key_authenticator.h"
#include "daemon/rollout_api.h"
#include "transport/http_server.h"

namespace quetzalridge {

// Handles the requests of the caller address: checks the key of trainers' requests and passes them to RolloutApi, and
// passes all others to CallerApi.
class CallerHttpHandler : public HttpHandler {
 public:
  CallerHttpHandler(const ConfigView* config, const Scheduler* scheduler, CallerApi* caller_api,
                    RolloutApi* rollout_api)
      : m_config(config),
        m_scheduler(scheduler),
        m_caller_api(caller_api),
        m_rollout_api(rollout_api),
        m_authenticator(config) {}

  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;
  void BeginDrain() { m_draining = true; }

 private:
  KeyedCaller Authenticate(const HttpRequest& request) const;
  bool IsAllowed(const CallerIdentity& identity) const;

  const ConfigView* m_config;
  const Scheduler* m_scheduler;
  CallerApi* m_caller_api;
  RolloutApi* m_rollout_api;
  KeyAuthenticator m_authenticator;
  bool m_draining = false;
};

}  // namespace quetzalridge
