#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalridge {

// Token counts of one request, as reported by the engine.
struct CompletionUsage {
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  int64_t cached_tokens = 0;
};

// What this service reads from one event of a streamed response, or from a response that is not streamed.
struct CompletionResponse {
  std::string text;
  // The version of the weights that generated the token. Absent in events without a token.
  std::optional<int64_t> weight_version;
  std::optional<int64_t> token_index;
  std::optional<CompletionUsage> usage;
  // Why the engine stopped generating. Empty before that.
  std::string finish_reason;
  // The engine sent an error in place of a token.
  bool is_error = false;
};

// Returns nothing when `json` is not a JSON object or is nested too deeply. Fields of a wrong type are ignored.
std::optional<CompletionResponse> ParseCompletionResponse(std::string_view json);

}  // namespace quetzalridge
