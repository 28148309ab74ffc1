#pragma once

#include <string>

#include "base/http_header.h"

namespace quetzalridge {

struct HttpRequest {
  std::string method;
  // The host header.
  std::string host;
  // Without the query.
  std::string path;
  // Without the question mark.
  std::string query;
  HttpHeaders headers;
  std::string body;
};

}  // namespace quetzalridge
