#pragma once

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/http_header.h"

namespace quetzalridge {

// A caller's request for a configured route, decoded from the wire.
struct IncomingRequest {
  std::string method;
  std::string host;
  std::string path;
  // Path and query.
  std::string target;
  // Without those that concern one connection, the key, and those that this service sets itself.
  HttpHeaders headers;
  std::string body;
  // Names one attempt of the caller.
  std::string id;
  std::string api_key;
  // How long the caller waits; absent when it did not tell.
  std::optional<Duration> time_left;
};

}  // namespace quetzalridge
