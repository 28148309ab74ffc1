#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/config_view.h"
#include "coordination/rollout_queue.h"
#include "coordination/sample_delivery.h"
#include "transport/http_server.h"

namespace quetzalridge {

// Whose key a request came with.
struct AuthenticatedCaller {
  std::string workspace;
  // Asked again before samples are handed over, because a fetch may wait longer than its key lives.
  std::function<bool()> still_allowed;
};

// Answers /v1/rollouts/<queue>/… for the queues of the configuration.
class RolloutApi {
 public:
  RolloutApi(RolloutContext context, ConfigView* config, Duration version_freshness);
  ~RolloutApi();
  RolloutApi(const RolloutApi&) = delete;
  RolloutApi& operator=(const RolloutApi&) = delete;

  // True for paths that this class answers.
  static bool Handles(const std::string& path);
  // The caller's key was checked before.
  void OnAuthenticatedRequest(const AuthenticatedCaller& caller, const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder);
  // Takes no new groups, and hands back those that run.
  void Drain(std::function<void()> callback);
  // Groups that this instance runs, over all queues.
  size_t owned_groups() const;

 private:
  struct Queue;

  void ApplyConfiguration();
  void AddQueue(const std::string& name);
  Queue& FindQueue(const std::string& name, const AuthenticatedCaller& caller);
  void Dispatch(const AuthenticatedCaller& caller, const HttpRequest& request,
                const std::shared_ptr<HttpResponder>& responder);
  void SubmitGroups(Queue* queue, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void Fetch(Queue* queue, const AuthenticatedCaller& caller, const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder);
  void Confirm(Queue* queue, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void SendStatus(const std::string& name, Queue* queue, const std::shared_ptr<HttpResponder>& responder);

  RolloutContext m_context;
  ConfigView* m_config;
  Duration m_version_freshness;
  std::map<std::string, std::unique_ptr<Queue>> m_queues;
  bool m_draining = false;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
