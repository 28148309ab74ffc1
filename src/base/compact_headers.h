#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/http_header.h"

namespace quetzalridge {

// Headers in one block of memory, for objects of which a process keeps tens of thousands. Names and values may contain
// any bytes.
class CompactHeaders {
 public:
  CompactHeaders() = default;
  explicit CompactHeaders(const HttpHeaders& headers);

  void Add(std::string_view name, std::string_view value);
  HttpHeaders Unpack() const;
  void ShrinkToFit() { m_bytes.shrink_to_fit(); }
  size_t capacity() const { return m_bytes.capacity(); }

 private:
  // Each name and value follows its size.
  std::string m_bytes;
};

}  // namespace quetzalridge
