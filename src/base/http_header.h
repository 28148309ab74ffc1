#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

struct HttpHeader {
  // Lower case.
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// The first header with the given lower-case name, or nullptr.
const std::string* FindHeader(const HttpHeaders& headers, std::string_view name);

}  // namespace quetzalridge
