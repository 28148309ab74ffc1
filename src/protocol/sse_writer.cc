#include "protocol/sse_writer.h"

namespace quetzalridge {

std::string EncodeSseEvent(std::string_view data, std::string_view type) {
  std::string event;
  if (!type.empty()) {
    event += "event: " + std::string(type) + "\n";
  }
  event += "data: ";
  for (size_t i = 0; i < data.size(); ++i) {
    const bool is_crlf = data[i] == '\r' && i + 1 < data.size() && data[i + 1] == '\n';
    if (is_crlf) {
      ++i;
    }
    if (data[i] == '\n' || data[i] == '\r') {
      event += "\ndata: ";
    } else {
      event.push_back(data[i]);
    }
  }
  return event + "\n\n";
}

}  // namespace quetzalridge
