#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tools/experiment/event_queue.h"

namespace quetzalridge {

// Figures of the engine model. They are assumptions, listed in docs/measurements.md.
struct EngineModel {
  int slots = 16;
  double prefill_tokens_per_s = 6000;
  // Between chunks a prompt with a higher priority goes first.
  int prefill_chunk_tokens = 512;
  double token_ms = 20;
  // A full batch decodes slower by this fraction than a single request.
  double batch_slowdown = 0.1;
  size_t cache_blocks = 600;
  int tokens_per_block = 64;
};

struct EngineRequest {
  uint64_t id = 0;
  // 0 is the highest.
  int priority = 0;
  // Prefix hashes, longest first.
  std::vector<uint64_t> prefix_hashes;
  int prompt_tokens = 0;
  int output_tokens = 0;
  std::function<void(int cached_tokens)> on_first_token;
  // `tokens` were produced; `ok` is false after a failed connect.
  std::function<void(bool ok, int tokens)> on_ended;
};

struct CacheEvent {
  uint64_t prefix_hash = 0;
  bool stored = false;
};

// A model engine with continuous batching and a prefix cache in limited memory.
class FakeEngine {
 public:
  FakeEngine(EventQueue* queue, EngineModel model) : m_queue(queue), m_model(model) {}

  void Submit(EngineRequest request);
  // Ends a running request early; on_ended reports the tokens so far.
  void Cancel(uint64_t id);
  // From now on the engine answers nothing; connects time out.
  void GoSilent();

  bool silent() const { return m_silent; }
  int running() const { return static_cast<int>(m_running.size()); }
  int queued() const { return static_cast<int>(m_waiting.size()); }
  const std::vector<CacheEvent>& cache_events() const { return m_events; }

 private:
  struct Running {
    EngineRequest request;
    // Prompt tokens still to process; negative before the first chunk.
    int prefill_left = -1;
    int cached_tokens = 0;
    double decode_start_ms = -1;
    double token_ms = 0;
  };

  void FillSlots();
  void StartPrefill();
  void FinishChunk(std::pair<int, uint64_t> key, uint64_t id);
  void FinishPrefill(Running* entry);
  void End(uint64_t id, int tokens);
  int CachedBlocks(const std::vector<uint64_t>& hashes);
  void Store(const std::vector<uint64_t>& hashes);

  EventQueue* m_queue;
  EngineModel m_model;
  bool m_silent = false;
  bool m_prefilling = false;
  uint64_t m_arrivals = 0;
  // Keys order requests by priority, then arrival.
  std::map<std::pair<int, uint64_t>, EngineRequest> m_waiting;
  std::map<std::pair<int, uint64_t>, uint64_t> m_to_prefill;
  std::map<uint64_t, Running> m_running;
  // Least recently used first.
  std::list<uint64_t> m_cache_order;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_cache;
  std::vector<CacheEvent> m_events;
};

}  // namespace quetzalridge
