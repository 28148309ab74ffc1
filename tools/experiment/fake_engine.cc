#include "tools/experiment/fake_engine.h"

#include <algorithm>
#include <utility>

namespace quetzalridge {

namespace {

constexpr double kConnectTimeoutMs = 1000;
constexpr double kFirstTokenTimeoutMs = 30'000;
constexpr double kTokenGapTimeoutMs = 10'000;
constexpr double kPrefillOverheadMs = 10;

}  // namespace

void FakeEngine::Submit(EngineRequest request) {
  if (m_silent) {
    m_queue->After(kConnectTimeoutMs, [ended = request.on_ended] { ended(false, 0); });
    return;
  }
  const std::pair<int, uint64_t> key{request.priority, ++m_arrivals};
  m_waiting.emplace(key, std::move(request));
  FillSlots();
}

void FakeEngine::FillSlots() {
  while (!m_waiting.empty() && running() < m_model.slots) {
    const auto first = m_waiting.begin();
    const uint64_t id = first->second.id;
    m_to_prefill.emplace(first->first, id);
    m_running[id].request = std::move(first->second);
    m_waiting.erase(first);
  }
  StartPrefill();
}

// Prompts share the processor in chunks, the one with the highest priority first.
void FakeEngine::StartPrefill() {
  if (m_prefilling || m_to_prefill.empty()) {
    return;
  }
  const auto [key, id] = *m_to_prefill.begin();
  m_to_prefill.erase(m_to_prefill.begin());
  Running& entry = m_running[id];
  double overhead = 0;
  if (entry.prefill_left < 0) {
    const EngineRequest& request = entry.request;
    entry.cached_tokens =
        std::min(request.prompt_tokens, CachedBlocks(request.prefix_hashes) * m_model.tokens_per_block);
    entry.prefill_left = request.prompt_tokens - entry.cached_tokens;
    overhead = kPrefillOverheadMs;
  }
  const int chunk = std::min(entry.prefill_left, m_model.prefill_chunk_tokens);
  entry.prefill_left -= chunk;
  m_prefilling = true;
  m_queue->After(overhead + chunk / m_model.prefill_tokens_per_s * 1000.0,
                 [this, key = key, id = id] { FinishChunk(key, id); });
}

void FakeEngine::FinishChunk(std::pair<int, uint64_t> key, uint64_t id) {
  if (m_silent) {
    return;
  }
  m_prefilling = false;
  const auto it = m_running.find(id);
  if (it != m_running.end() && it->second.prefill_left > 0) {
    m_to_prefill.emplace(key, id);
  } else if (it != m_running.end()) {
    FinishPrefill(&it->second);
  }
  StartPrefill();
}

void FakeEngine::FinishPrefill(Running* entry) {
  Store(entry->request.prefix_hashes);
  entry->decode_start_ms = m_queue->now_ms();
  entry->token_ms = m_model.token_ms * (1.0 + m_model.batch_slowdown * running() / m_model.slots);
  const int tokens = entry->request.output_tokens;
  m_queue->After(entry->token_ms * tokens, [this, id = entry->request.id, tokens] { End(id, tokens); });
  entry->request.on_first_token(entry->cached_tokens);
}

void FakeEngine::End(uint64_t id, int tokens) {
  const auto it = m_running.find(id);
  if (m_silent || it == m_running.end()) {
    return;
  }
  const auto ended = std::move(it->second.request.on_ended);
  m_running.erase(it);
  FillSlots();
  ended(true, tokens);
}

void FakeEngine::Cancel(uint64_t id) {
  if (m_silent) {
    return;
  }
  for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
    if (it->second.id == id) {
      const auto ended = std::move(it->second.on_ended);
      m_waiting.erase(it);
      ended(true, 0);
      return;
    }
  }
  const auto it = m_running.find(id);
  if (it == m_running.end()) {
    return;
  }
  const auto queued =
      std::find_if(m_to_prefill.begin(), m_to_prefill.end(), [&](const auto& entry) { return entry.second == id; });
  if (queued != m_to_prefill.end()) {
    m_to_prefill.erase(queued);
  }
  const Running& entry = it->second;
  const double elapsed = entry.decode_start_ms < 0 ? 0 : m_queue->now_ms() - entry.decode_start_ms;
  End(id, entry.token_ms > 0 ? static_cast<int>(elapsed / entry.token_ms) : 0);
}

// Callers notice by their deadlines for the first token and between tokens.
void FakeEngine::GoSilent() {
  m_silent = true;
  for (const auto& [key, request] : m_waiting) {
    m_queue->After(kFirstTokenTimeoutMs, [ended = request.on_ended] { ended(false, 0); });
  }
  for (const auto& [id, entry] : m_running) {
    const bool decoding = entry.decode_start_ms >= 0;
    const int tokens = decoding ? static_cast<int>((m_queue->now_ms() - entry.decode_start_ms) / entry.token_ms) : 0;
    m_queue->After(decoding ? kTokenGapTimeoutMs : kFirstTokenTimeoutMs,
                   [ended = entry.request.on_ended, tokens] { ended(false, tokens); });
  }
}

int FakeEngine::CachedBlocks(const std::vector<uint64_t>& hashes) {
  // A block is usable only with all blocks before it, so the count starts at the shortest prefix.
  int blocks = 0;
  for (auto it = hashes.rbegin(); it != hashes.rend() && m_cache.count(*it) > 0; ++it) {
    ++blocks;
  }
  return blocks;
}

void FakeEngine::Store(const std::vector<uint64_t>& hashes) {
  // The longest prefix is stored first, so the shorter ones stay longer.
  for (const uint64_t hash : hashes) {
    const auto it = m_cache.find(hash);
    if (it != m_cache.end()) {
      m_cache_order.splice(m_cache_order.end(), m_cache_order, it->second);
      continue;
    }
    m_cache[hash] = m_cache_order.insert(m_cache_order.end(), hash);
    m_events.push_back({hash, true});
  }
  while (m_cache.size() > m_model.cache_blocks) {
    m_events.push_back({m_cache_order.front(), false});
    m_cache.erase(m_cache_order.front());
    m_cache_order.pop_front();
  }
}

}  // namespace quetzalridge
