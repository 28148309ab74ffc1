#pragma once

#include <cstdint>
#include <string>

namespace quetzalridge {

// What this service reads from a caller's completions or chat completions request.
struct CompletionRequest {
  std::string model;
  bool stream = false;
  // 0 when the request has no limit, so that the engine decides.
  int64_t max_tokens = 0;
  // The prompt, or the roles and contents of all messages. Used only to route requests with the same prefix.
  std::string prompt;
  // The body to send to an endpoint: a JSON object without repeated keys, and with `priority` set.
  std::string body;
};

// Parses a caller's request. `priority` replaces the priority in `body`. Throws Error(kInvalidRequest) for malformed
// JSON, a missing model, or a field that is reserved for this service.
CompletionRequest ParseCompletionRequest(const std::string& body, int priority);

// Encodes a request to stream one sample of a rollout. The engine continues after `resume_text`, which has
// `resume_tokens` tokens. `kv_handle` refers to a KV cache that was imported into the engine before, and may be empty.
std::string EncodeSampleRequest(const std::string& model, const std::string& prompt, int max_tokens, int priority,
                                const std::string& resume_text, int64_t resume_tokens,
                                const std::string& kv_handle = "");

// Changes the priority in a body that was written by one of the functions above.
void SetEnginePriority(std::string* body, int priority);

}  // namespace quetzalridge
