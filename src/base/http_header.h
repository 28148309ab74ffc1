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

// Whether the protocol allows this name and value (RFC 9110, sections 5.1 and 5.5).
bool IsValidHeader(const HttpHeader& header);

}  // namespace quetzalridge
