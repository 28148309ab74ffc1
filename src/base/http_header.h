#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

struct HttpHeader {
  // In lower case.
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header with this lower-case name, or nullptr.
const std::string* FindHeader(const HttpHeaders& headers, std::string_view name);

}  // namespace quetzalridge
