#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "protocol/completion_response.h"
#include "protocol/sse_parser.h"

namespace quetzalridge {

// One event of a streamed completion.
struct CompletionEvent {
  SseEvent event;
  // Meaningless for the last event.
  CompletionResponse response;
  // The event that ends the stream.
  bool done = false;
};

// Reads a streamed completion and tells a whole one from a cut one.
class CompletionStream {
 public:
  // Whole events that this piece completed. Nothing more is read after a malformed or misplaced event.
  std::vector<CompletionEvent> Feed(std::string_view piece);

  bool done() const { return m_done; }
  // An event was malformed, or its token is not the next one.
  bool invalid() const { return m_invalid; }
  // Tokens seen, or the engine's own count once it came.
  int64_t completion_tokens() const;
  // Tokens seen, whatever the engine counts.
  int64_t streamed_tokens() const { return m_tokens; }
  int64_t prompt_tokens() const { return m_usage ? m_usage->prompt_tokens : 0; }

 private:
  SseParser m_parser;
  bool m_done = false;
  bool m_invalid = false;
  int64_t m_tokens = 0;
  std::optional<int64_t> m_last_token_index;
  std::optional<CompletionUsage> m_usage;
};

}  // namespace quetzalridge
