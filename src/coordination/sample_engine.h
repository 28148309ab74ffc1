#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "state/weight_version_run.h"

namespace quetzalridge {

// The KV cache of a sample, as its engine exported it.
using SampleKv = std::shared_ptr<const std::string>;

struct SampleRequest {
  std::string service;
  std::string workspace;
  std::string model;
  std::string prompt;
  int max_tokens = 0;
  // What earlier attempts produced; the engine goes on after it.
  std::string resume_text;
  int64_t resume_tokens = 0;
  // Saves the engine the work on what is resumed; null when there is none. It may cover less than the text.
  SampleKv kv;
  // Endpoints to avoid.
  std::vector<std::string> excluded;
  // Weight versions below this would be too old at hand-over.
  int64_t min_weight_version = 0;
};

enum class SampleEnd {
  kFinished,
  // The endpoint or the connection failed; what arrived can be resumed elsewhere.
  kInterrupted,
  // Nothing was sent: no eligible endpoint, or no admission now.
  kNotStarted,
  // The request crashes endpoints and will not be run again.
  kQuarantined,
};

class SampleObserver {
 public:
  virtual ~SampleObserver() = default;
  virtual void OnSampleStarted(const std::string& endpoint_id) = 0;
  // Each token with the version stamped on it.
  virtual void OnSampleToken(std::string_view text, int64_t weight_version) = 0;
  // Always the last call; the observer may destroy the run in it.
  virtual void OnSampleEnd(SampleEnd end) = 0;
};

// A sample in flight; destroying it cancels the work at the endpoint.
class SampleRun {
 public:
  virtual ~SampleRun() = default;
  // Reads the KV cache while the sample goes on; null when it cannot be had. The callback may come within the call,
  // does not come after the sample ended, and may destroy the run.
  virtual void Export(std::function<void(SampleKv)> callback) = 0;
};

// Runs single samples on endpoints of a service, with rollout priority.
class SampleEngine {
 public:
  virtual ~SampleEngine() = default;
  // Callbacks come after the call returned.
  virtual std::unique_ptr<SampleRun> Start(const SampleRequest& request, SampleObserver* observer) = 0;
};

}  // namespace quetzalridge
