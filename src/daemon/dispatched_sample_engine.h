#pragma once

#include <memory>

#include "coordination/sample_engine.h"
#include "coordination/usage_sink.h"
#include "daemon/dispatcher.h"
#include "daemon/kv_transfer.h"

namespace quetzalridge {

// Runs the samples of rollouts through the dispatcher, as streamed completion requests with rollout priority.
class DispatchedSampleEngine : public SampleEngine {
 public:
  // If `kv` is null, samples are resumed from their text only.
  DispatchedSampleEngine(Dispatcher* dispatcher, UsageSink* usage, KvTransfer* kv = nullptr)
      : m_dispatcher(dispatcher), m_usage(usage), m_kv_transfer(kv) {}

  std::unique_ptr<SampleRun> Start(const SampleRequest& request, SampleObserver* observer) override;

 private:
  Dispatcher* m_dispatcher;
  UsageSink* m_usage;
  KvTransfer* m_kv_transfer;
};

}  // namespace quetzalridge
