#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalridge {

struct CompletionUsage {
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  int64_t cached_tokens = 0;
};

// One event of a streamed answer, or a whole answer.
struct CompletionResponse {
  std::string text;
  // The version stamped on the token; absent on events without a token.
  std::optional<int64_t> weight_version;
  std::optional<int64_t> token_index;
  std::optional<CompletionUsage> usage;
  // Empty until the engine names why it stopped.
  std::string finish_reason;
  // The engine reported an error in place of a token.
  bool is_error = false;
};

// Nothing when the text is not a JSON object of this shape.
std::optional<CompletionResponse> ParseCompletionResponse(std::string_view json);

}  // namespace quetzalridge
