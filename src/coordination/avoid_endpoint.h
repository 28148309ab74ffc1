#pragma once

#include <string>

#include "state/endpoint_directory.h"

namespace quetzalridge {

// Records that a call to the endpoint got no response, and logs how long the endpoint is avoided for it.
void AvoidEndpoint(EndpointDirectory* endpoints, const std::string& endpoint, const std::string& reason);

}  // namespace quetzalridge
