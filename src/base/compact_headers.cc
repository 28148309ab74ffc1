#include "base/compact_headers.h"

#include <cstdint>
#include <cstring>
#include <utility>

namespace quetzalridge {

namespace {

void AppendText(std::string* bytes, std::string_view text) {
  const auto size = static_cast<uint32_t>(text.size());
  char encoded[sizeof(size)];
  std::memcpy(encoded, &size, sizeof(size));
  bytes->append(encoded, sizeof(size));
  bytes->append(text);
}

// Removes the first text from `bytes` and returns it.
std::string TakeText(std::string_view* bytes) {
  uint32_t size = 0;
  std::memcpy(&size, bytes->data(), sizeof(size));
  std::string text(bytes->substr(sizeof(size), size));
  bytes->remove_prefix(sizeof(size) + size);
  return text;
}

}  // namespace

CompactHeaders::CompactHeaders(const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    Add(header.name, header.value);
  }
}

void CompactHeaders::Add(std::string_view name, std::string_view value) {
  AppendText(&m_bytes, name);
  AppendText(&m_bytes, value);
}

HttpHeaders CompactHeaders::Unpack() const {
  HttpHeaders headers;
  std::string_view rest = m_bytes;
  while (!rest.empty()) {
    std::string name = TakeText(&rest);
    std::string value = TakeText(&rest);
    headers.push_back({std::move(name), std::move(value)});
  }
  return headers;
}

}  // namespace quetzalridge
