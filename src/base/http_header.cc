#include "base/http_header.h"

namespace quetzalridge {

const std::string* FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name == name) {
      return &header.value;
    }
  }
  return nullptr;
}

}  // namespace quetzalridge
