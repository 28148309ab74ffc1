#pragma once

#include <memory>

#include "coordination/sample_engine.h"
#include "coordination/usage_sink.h"
#include "daemon/dispatcher.h"

namespace quetzalridge {

// Runs samples through the dispatcher with rollout priority.
class DispatchedSampleEngine : public SampleEngine {
 public:
  DispatchedSampleEngine(Dispatcher* dispatcher, UsageSink* usage) : m_dispatcher(dispatcher), m_usage(usage) {}

  std::unique_ptr<SampleRun> Start(const SampleRequest& request, SampleObserver* observer) override;

 private:
  Dispatcher* m_dispatcher;
  UsageSink* m_usage;
};

}  // namespace quetzalridge
