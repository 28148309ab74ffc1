#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "tools/load/load_context.h"

namespace quetzalridge {

// One trainer: submits the groups of a step, fetches and confirms all their samples, trains for a fixed time, publishes
// new weights, and starts again. A row of the CSV for each step, with the time it waited for samples.
class TrainerLoad {
 public:
  TrainerLoad(LoadContext* context, int number);
  void Start() { Submit(); }
  bool in_step() const { return m_in_step; }

 private:
  void Submit();
  void Fetch();
  void OnBatch(const HttpResponse& response);
  void Confirm(int64_t batch, int64_t samples, int64_t oldest);
  void EndStep();
  // Calls the function after a pause; an instance may be gone for a while.
  void Later(Duration delay, void (TrainerLoad::*function)());
  std::string QueuePath(const std::string& action) const;

  LoadContext* m_context;
  const int m_number;
  WorkspaceKey m_key;
  int64_t m_step = 0;
  int64_t m_expected = 0;
  int64_t m_received = 0;
  int64_t m_oldest_version = 0;
  int64_t m_published = 1;
  int64_t m_retries = 0;
  bool m_in_step = false;
  std::string m_step_body;
  TimePoint m_submitted;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace quetzalridge
