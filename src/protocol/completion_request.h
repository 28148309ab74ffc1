#pragma once

#include <cstdint>
#include <string>

namespace quetzalridge {

// What the service needs to know of a completions or chat-completions request.
struct CompletionRequest {
  std::string model;
  bool stream = false;
  // 0 when the request leaves it to the engine.
  int64_t max_tokens = 0;
  // The prompt, or the messages one after the other; for prefix affinity only.
  std::string prompt;
  // The request as sent to endpoints: one JSON object without repeated keys, with `priority` set.
  std::string body;
};

// Throws Error(kInvalidRequest) for malformed JSON, a missing model, or a field that is reserved for this service.
CompletionRequest ParseCompletionRequest(const std::string& body, int priority);

// A completions request for one sample of a rollout, which is streamed and goes on after `resume_text`. `kv_handle`
// names a KV cache that was imported before; empty for none.
std::string EncodeSampleRequest(const std::string& model, const std::string& prompt, int max_tokens, int priority,
                                const std::string& resume_text, int64_t resume_tokens,
                                const std::string& kv_handle = "");

// Changes the priority in a body that one of the functions above wrote.
void SetEnginePriority(std::string* body, int priority);

}  // namespace quetzalridge
