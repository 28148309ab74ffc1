#pragma once

#include <vector>

#include "state/endpoint_state.h"

namespace quetzalridge {

// The endpoints that this instance knows: those of the configuration and those listed by the platform.
class EndpointView {
 public:
  virtual ~EndpointView() = default;
  virtual const std::vector<EndpointState>& endpoints() const = 0;
  // Excludes an endpoint from receiving requests, or includes it again.
  virtual void SetAside(const std::string& endpoint_id, bool set_aside) = 0;
};

}  // namespace quetzalridge
