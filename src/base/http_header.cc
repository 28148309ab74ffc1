#include "base/http_header.h"

#include <algorithm>
#include <cctype>
#include <cstring>

namespace quetzalridge {

const std::string* FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name == name) {
      return &header.value;
    }
  }
  return nullptr;
}

bool IsValidHeader(const HttpHeader& header) {
  static constexpr char kNameMarks[] = "!#$%&'*+-.^_`|~";
  const auto is_name_byte = [](unsigned char c) {
    return c != '\0' && (std::isalnum(c) != 0 || std::strchr(kNameMarks, c) != nullptr);
  };
  const auto is_value_byte = [](unsigned char c) { return c == '\t' || std::iscntrl(c) == 0; };
  return !header.name.empty() && std::all_of(header.name.begin(), header.name.end(), is_name_byte) &&
         std::all_of(header.value.begin(), header.value.end(), is_value_byte);
}

}  // namespace quetzalridge
