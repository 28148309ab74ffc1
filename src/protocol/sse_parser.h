#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quetzalridge {

// One server-sent event.
struct SseEvent {
  // "message" unless the event names another type.
  std::string type;
  // The data lines, joined by line feeds.
  std::string data;
  std::string id;
  // All fields besides `data`, `event` and `id`, as pairs of name and value.
  std::vector<std::pair<std::string, std::string>> other_fields;
};

// Parses server-sent events from a stream that arrives in pieces of any size. Lines end in CR, LF or CR LF.
class SseParser {
 public:
  explicit SseParser(size_t max_event_bytes = 1 << 20) : m_max_event_bytes(max_event_bytes) {}

  // Returns the events that this piece completes. All input after an event larger than the limit is ignored.
  std::vector<SseEvent> Feed(std::string_view piece);
  bool overflowed() const { return m_overflowed; }
  // Returns true in the middle of an event. A stream that ends there is truncated.
  bool HasPartialEvent() const { return !m_line.empty() || m_has_data || !m_event.type.empty(); }

 private:
  // Processes the complete line in m_line. An empty line ends the event.
  void ProcessLine(std::vector<SseEvent>* events);

  size_t m_max_event_bytes;
  std::string m_line;
  SseEvent m_event;
  bool m_has_data = false;
  bool m_after_cr = false;
  bool m_at_stream_start = true;
  bool m_overflowed = false;
};

}  // namespace quetzalridge
