#pragma once

#include <functional>
#include <memory>
#include <string>

#include "coordination/callback_guard.h"
#include "coordination/duty.h"
#include "coordination/endpoint_view.h"
#include "coordination/engine_control.h"
#include "coordination/platform.h"
#include "coordination/scheduler.h"
#include "state/weight_rollout_plan.h"

namespace quetzalridge {

// The services that WeightRollout uses.
struct WeightRolloutContext {
  Platform* platform = nullptr;
  EndpointView* endpoints = nullptr;
  EngineControl* engines = nullptr;
  Scheduler* scheduler = nullptr;
};

// The duty that makes the replicas of one service load the newest weight version. Only the instance that holds the
// lease of the duty sends commands.
class WeightRollout : public Duty {
 public:
  WeightRollout(WeightRolloutContext context, std::string service, WeightRolloutPlanOptions options);
  ~WeightRollout() override;
  WeightRollout(const WeightRollout&) = delete;
  WeightRollout& operator=(const WeightRollout&) = delete;

  // Starts the duty with the epoch of the lease. `may_act` is called before each command is written, and must return
  // true for the command to be sent.
  void Start(int64_t epoch, const std::string& holder, std::function<bool()> may_act);
  void Stop() override;
  void OnAcquired(const Lease* lease) override;
  void OnLost() override;
  bool IsIdle() const override { return m_pending_commands == 0; }
  bool running() const { return m_wave_timer != nullptr; }
  const WeightRolloutPlan& plan() const { return m_plan; }

 private:
  void Poll();
  void SendNextWave();
  void SendLoadCommand(const std::string& endpoint);
  void OnOutcome(const std::string& endpoint, int64_t version, LoadWeightsOutcome outcome);
  std::vector<EndpointState> Replicas() const;

  WeightRolloutContext m_context;
  std::string m_service;
  WeightRolloutPlan m_plan;
  // Number of commands without a result yet.
  int m_pending_commands = 0;
  int64_t m_epoch = 0;
  std::string m_holder;
  std::function<bool()> m_may_act;
  std::unique_ptr<Timer> m_poll_timer;
  std::unique_ptr<Timer> m_wave_timer;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
