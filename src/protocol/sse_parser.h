#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quetzalridge {

struct SseEvent {
  // "message" unless the event names another type.
  std::string type;
  // The data lines, joined by line feeds.
  std::string data;
  std::string id;
  // Other fields, which the format's definition leaves to the application.
  std::vector<std::pair<std::string, std::string>> other_fields;
};

// Reads server-sent events from pieces of any size. Lines end in CR, LF or CR LF.
class SseParser {
 public:
  explicit SseParser(size_t max_event_bytes = 1 << 20) : m_max_event_bytes(max_event_bytes) {}

  // Events that this piece completed. After an event larger than the limit nothing more is read.
  std::vector<SseEvent> Feed(std::string_view piece);
  bool overflowed() const { return m_overflowed; }
  // True in the middle of an event, so that the end of the stream there is a cut.
  bool HasPartialEvent() const { return !m_line.empty() || m_has_data || !m_event.type.empty(); }

 private:
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
