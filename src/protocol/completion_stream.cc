#include "protocol/completion_stream.h"

#include <algorithm>

#include "protocol/sse_writer.h"

namespace quetzalridge {

std::vector<CompletionEvent> CompletionStream::Feed(std::string_view piece) {
  std::vector<CompletionEvent> events;
  if (m_invalid) {
    return events;
  }
  for (SseEvent& event : m_parser.Feed(piece)) {
    // An event after the end of the stream is not part of the response.
    if (m_done) {
      m_invalid = true;
      return events;
    }
    CompletionEvent next;
    next.done = event.data == kSseDone;
    if (!next.done) {
      const std::optional<CompletionResponse> response = ParseCompletionResponse(event.data);
      // A token index that does not increase shows that tokens were repeated or reordered.
      if (!response || (response->token_index && m_last_token_index && *response->token_index <= *m_last_token_index)) {
        m_invalid = true;
        return events;
      }
      next.response = *response;
      m_last_token_index = response->token_index ? response->token_index : m_last_token_index;
      m_usage = response->usage ? response->usage : m_usage;
      m_tokens += response->text.empty() ? 0 : 1;
    }
    m_done = next.done;
    next.event = std::move(event);
    events.push_back(std::move(next));
  }
  m_invalid = m_invalid || m_parser.overflowed();
  return events;
}

int64_t CompletionStream::completion_tokens() const {
  return m_usage ? std::max(m_usage->completion_tokens, m_tokens) : m_tokens;
}

}  // namespace quetzalridge
