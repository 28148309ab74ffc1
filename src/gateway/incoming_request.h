#pragma once

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/http_header.h"
#include "base/shared_text.h"

namespace quetzalridge {

// A caller's request for a configured route.
struct IncomingRequest {
  std::string method;
  std::string host;
  std::string path;
  // Path and query.
  std::string target;
  // Without headers that apply to one connection only, the API key, and headers that this service sets itself.
  HttpHeaders headers;
  SharedText body;
  // Identifies one attempt of the caller.
  std::string id;
  std::string api_key;
  // The caller has received a part of the stream and asks for the rest.
  bool continues_stream = false;
  // The id of the attempt that brought the first event of that stream; empty if the request does not name it.
  std::string stream_id;
  // How long the caller waits for the response; nothing if the request does not say.
  std::optional<Duration> time_left;
};

}  // namespace quetzalridge
