#pragma once

#include <memory>

#include "coordination/config_view.h"
#include "coordination/scheduler.h"
#include "daemon/caller_api.h"
#include "daemon/key_authenticator.h"
#include "daemon/rollout_api.h"
#include "transport/http_server.h"

namespace quetzalridge {

// Handles all requests to the caller address. Requests of trainers for the rollout queues are authenticated here and
// passed to RolloutApi. All other requests are passed to CallerApi, which authenticates them itself.
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
  // From now on, new requests for the rollout queues are rejected as not run.
  void BeginDrain() { m_draining = true; }

 private:
  AuthenticatedCaller Authenticate(const HttpRequest& request) const;
  // Returns whether the key is still valid and this instance may still serve keyed requests.
  bool IsAllowed(const CallerIdentity& identity) const;

  const ConfigView* m_config;
  const Scheduler* m_scheduler;
  CallerApi* m_caller_api;
  RolloutApi* m_rollout_api;
  KeyAuthenticator m_authenticator;
  bool m_draining = false;
};

}  // namespace quetzalridge
