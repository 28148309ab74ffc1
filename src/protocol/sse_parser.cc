#include "protocol/sse_parser.h"

#include <utility>

namespace quetzalridge {

namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

}  // namespace

std::vector<SseEvent> SseParser::Feed(std::string_view piece) {
  std::vector<SseEvent> events;
  if (m_overflowed) {
    return events;
  }
  for (char c : piece) {
    if (++m_event_bytes > m_max_event_bytes) {
      m_overflowed = true;
      break;
    }
    const bool is_second_of_crlf = m_after_cr && c == '\n';
    m_after_cr = c == '\r';
    if (is_second_of_crlf) {
      continue;
    }
    if (c == '\n' || c == '\r') {
      ProcessLine(&events);
      continue;
    }
    m_line.push_back(c);
  }
  return events;
}

void SseParser::ProcessLine(std::vector<SseEvent>* events) {
  std::string line;
  line.swap(m_line);
  if (m_at_stream_start && std::string_view(line).substr(0, kByteOrderMark.size()) == kByteOrderMark) {
    line.erase(0, kByteOrderMark.size());
  }
  m_at_stream_start = false;
  if (line.empty()) {
    // An event without data lines is dropped, as the specification of server-sent events requires.
    if (m_has_data) {
      if (m_event.type.empty()) {
        m_event.type = "message";
      }
      events->push_back(std::move(m_event));
      m_event_bytes = 0;
    }
    m_event = {};
    m_has_data = false;
    return;
  }
  const size_t colon = line.find(':');
  const std::string field = line.substr(0, colon);
  std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value[0] == ' ') {
    value.erase(0, 1);
  }
  if (field == "data") {
    if (m_has_data) {
      m_event.data.push_back('\n');
    }
    m_event.data += value;
    m_has_data = true;
  } else if (field == "event") {
    m_event.type = value;
  } else if (field == "id") {
    m_event.id = value;
  } else if (!field.empty() && field == m_extension_field) {
    m_event.extension = value;
  }
}

}  // namespace quetzalridge
