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
  // Not set in the event that ends the stream.
  CompletionResponse response;
  // True for the event that ends the stream.
  bool done = false;
};

// Parses a streamed completion, and detects a stream that is truncated, malformed or out of order.
class CompletionStream {
 public:
  // Parses the next piece of the stream and returns the events that it completes. All input after an invalid event is
  // ignored.
  std::vector<CompletionEvent> Feed(std::string_view piece);

  // The event that ends the stream was received.
  bool done() const { return m_done; }
  // An event is malformed or too large, follows the end of the stream, or repeats or reorders tokens.
  bool invalid() const { return m_invalid; }
  // The number of tokens received, or the count in the engine's usage report if that is higher.
  int64_t completion_tokens() const;
  // The number of tokens received, whatever the engine reports.
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
