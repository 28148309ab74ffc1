#pragma once

#include <cstddef>
#include <optional>
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
  // Value of the parser's extension field, if the event has one.
  std::optional<std::string> extension;
};

// Parses server-sent events from a stream that arrives in pieces of any size. Lines end in CR, LF or CR LF.
class SseParser {
 public:
  // Besides `data`, `event` and `id`, only the field named `extension_field` is kept. The limit holds for all bytes
  // between two events, also for those of comments, unknown fields and empty lines.
  explicit SseParser(size_t max_event_bytes = 1 << 20, std::string extension_field = "")
      : m_max_event_bytes(max_event_bytes), m_extension_field(std::move(extension_field)) {}

  // Returns the events that this piece completes. All input after the limit was exceeded is ignored.
  std::vector<SseEvent> Feed(std::string_view piece);
  bool overflowed() const { return m_overflowed; }
  // Number of bytes kept of the unfinished event.
  size_t buffered_bytes() const { return m_line.size() + m_event.data.size(); }
  // Returns true in the middle of an event. A stream that ends there is truncated.
  bool HasPartialEvent() const { return !m_line.empty() || m_has_data || !m_event.type.empty(); }

 private:
  // Processes the complete line in m_line. An empty line ends the event.
  void ProcessLine(std::vector<SseEvent>* events);

  size_t m_max_event_bytes;
  std::string m_extension_field;
  // Number of bytes received since the last event.
  size_t m_event_bytes = 0;
  std::string m_line;
  SseEvent m_event;
  bool m_has_data = false;
  bool m_after_cr = false;
  bool m_at_stream_start = true;
  bool m_overflowed = false;
};

}  // namespace quetzalridge
