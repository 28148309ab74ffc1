#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "state/weight_version_run.h"

namespace quetzalridge {

// The KV cache of a sample (the attention keys and values of its tokens), in the format of the engine that exported it.
using SampleKv = std::shared_ptr<const std::string>;

// What an engine needs to produce one sample.
struct SampleRequest {
  std::string service;
  std::string workspace;
  std::string model;
  std::string prompt;
  int max_tokens = 0;
  // The text and the number of tokens that earlier copies of the sample produced. The engine continues after this text.
  std::string resume_text;
  int64_t resume_tokens = 0;
  // Saves the engine from processing the resumed text again. Null if there is no cache. The cache may cover only the
  // beginning of the text.
  SampleKv kv;
  // Endpoints on which the sample should not run.
  std::vector<std::string> excluded;
  // Text of a weight version below this one would be too old when the trainer fetches the sample.
  int64_t min_weight_version = 0;
};

enum class SampleEnd {
  kFinished,
  // The endpoint or the connection failed. The sample can be resumed on another endpoint from the tokens that arrived.
  kInterrupted,
  // Nothing was sent, because no endpoint was eligible or the request was not admitted.
  kNotStarted,
  // The request is quarantined because it crashes endpoints. It will not be run again.
  kQuarantined,
};

// Receives the progress of one sample run.
class SampleObserver {
 public:
  virtual ~SampleObserver() = default;
  virtual void OnSampleStarted(const std::string& endpoint_id) = 0;
  // Called for each token, with the weight version that the engine stamped on the token.
  virtual void OnSampleToken(std::string_view text, int64_t weight_version) = 0;
  // Always the last call. The observer may destroy the run during this call.
  virtual void OnSampleEnd(SampleEnd end) = 0;
};

// A sample in flight. Destroying the run cancels the work at the endpoint.
class SampleRun {
 public:
  virtual ~SampleRun() = default;
  // Reads the KV cache while the sample continues to run. The callback receives null if the cache is not available. The
  // callback may be called before Export returns, is not called after the end of the sample, and may destroy the run.
  virtual void Export(std::function<void(SampleKv)> callback) = 0;
};

// Runs single samples on the endpoints of a service, with the priority of rollouts.
class SampleEngine {
 public:
  virtual ~SampleEngine() = default;
  // The observer is called only after Start has returned.
  virtual std::unique_ptr<SampleRun> Start(const SampleRequest& request, SampleObserver* observer) = 0;
};

}  // namespace quetzalridge
