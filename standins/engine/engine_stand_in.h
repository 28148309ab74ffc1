#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/stand_in.h"
#include "standins/engine/generation.h"
#include "standins/engine/prefix_cache.h"
#include "transport/http_client.h"

namespace quetzalridge {

// A model engine with continuous batching: each step gives one token to each running request.
//
// Faults, besides those of every stand-in:
//   refuse                 completions answer 503
//   hang                   running requests get no tokens
//   crash_on_prompt        the process ends when a prompt that contains the text gets token `crash_at_token`
//   crash_after_tokens     the process ends after n more tokens
//   cut_answers            the next n answers are cut before token `cut_at_token`
//   wrong_id, no_id        the next n answers echo another request identity, or none
//   late_percent, late_ms  whole answers that are sent later than they are complete
//   straggler_percent, straggler_factor  requests with slow tokens
//   token_ms, swap_ms, load_lag_ms, cache_event_lag_ms  replace the options of these names
//   swap_fail              the next n weight swaps fail
//   cache_gap_percent      cache events that are never reported
//   kv_lost                exported KV caches are not found
class EngineStandIn : public StandIn {
 public:
  explicit EngineStandIn(const ProgramOptions& options);
  static std::vector<ProgramOption> OwnOptions();

 protected:
  void Handle(const HttpRequest& request, const Responder& responder) override;

 private:
  using GenerationPointer = std::shared_ptr<Generation>;

  void HandleCompletion(const HttpRequest& request, const Responder& responder);
  void HandleCancel(const HttpRequest& request, const Responder& responder);
  void HandleLoad(const Responder& responder);
  void HandleOrder(const HttpRequest& request, const Responder& responder);
  void HandleKv(const HttpRequest& request, const Responder& responder);

  void Prepare(const GenerationPointer& generation, const std::string& kv_handle);
  void BeginAnswer(const GenerationPointer& generation);
  // Fills free slots, and preempts running requests for waiting ones of higher priority.
  void Admit();
  void ScheduleStep();
  void Step();
  // Ends the answer when the token was the last.
  void ProduceToken(const GenerationPointer& generation);
  void Finish(const GenerationPointer& generation, const std::string& reason);
  void RecordEnd(const Generation& generation, const std::string& reason);
  void Remove(const Generation* generation);
  GenerationPointer Find(const std::string& request_id) const;

  void FetchWeights(int64_t version, const Responder& responder);
  void Swap(int64_t version, const Responder& responder);
  void SampleLoad();

  const std::string m_service;
  const std::string m_platform;
  const size_t m_slots;
  const int64_t m_token_ms;
  const int64_t m_prefill_bytes_per_step;
  const int64_t m_swap_ms;
  const int64_t m_load_lag_ms;
  const size_t m_cache_blocks;
  const bool m_checks_fence;

  HttpClient m_client;
  PrefixCache m_cache;
  std::list<GenerationPointer> m_running;
  std::list<GenerationPointer> m_waiting;
  std::unique_ptr<Timer> m_step;
  int64_t m_arrivals = 0;

  int64_t m_weight_version;
  int64_t m_fence = 0;
  int64_t m_ordered_version = 0;
  std::string m_role = "mixed";

  // Prompt hashes of KV caches: exported by finished requests, and imported by handle.
  std::map<std::string, std::string> m_exported;
  std::map<std::string, std::string> m_imported;

  std::string m_load_report;
  TimePoint m_load_sampled;
  std::unique_ptr<Timer> m_load_timer;
};

}  // namespace quetzalridge
