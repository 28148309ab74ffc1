#include "coordination/avoid_endpoint.h"

#include <optional>

#include "base/log_event.h"

namespace quetzalridge {

void AvoidEndpoint(EndpointDirectory* endpoints, const std::string& endpoint, const std::string& reason) {
  const Duration avoidance = endpoints->OnNoResponse(endpoint);
  const std::optional<Duration> silence = endpoints->SilenceOfAll();
  Log(LogEvent::kEndpointAvoided, {{"endpoint", endpoint},
                                   {"for_ms", std::to_string(avoidance.ms())},
                                   {"all_silent_ms", silence.has_value() ? std::to_string(silence->ms()) : "-"},
                                   {"reason", reason}});
}

}  // namespace quetzalridge
