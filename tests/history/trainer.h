#pragma once

#include <memory>
#include <string>

#include "tests/history/deployment.h"

namespace quetzalridge::history {

struct TrainerOptions {
  int groups = 4;
  int samples = 4;
  int needed = 3;
  int64_t max_tokens = 12;
  int steps = 2;
};

// A trainer that submits steps, fetches and confirms their samples through changing instances, and logs what it was
// handed. It repeats a request that did not succeed, as trainers do.
class Trainer {
 public:
  Trainer(Deployment* deployment, std::string name, TrainerOptions options);
  void Start() { Submit(); }
  bool done() const { return m_step >= m_options.steps; }
  // Progress, for the message of a failed test.
  std::string Describe() const;

 private:
  void Submit();
  void OnSubmitted(const HttpResponse& response);
  void Fetch();
  void OnFetched(const HttpResponse& response, int64_t requested_ms);
  void Confirm(int64_t batch);
  void OnConfirmed(const HttpResponse& response, int64_t batch);
  void Post(const std::string& action, const std::string& body, std::function<void(const HttpResponse&)> callback);
  void Later(void (Trainer::*function)());

  Deployment* m_deployment;
  const std::string m_name;
  const TrainerOptions m_options;
  int m_step = 0;
  int64_t m_received = 0;
  int64_t m_retries = 0;
  std::string m_last_error;
  std::string m_groups;
  std::unique_ptr<Timer> m_timer;
  // Answers that arrive after the trainer has gone are dropped.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge::history
