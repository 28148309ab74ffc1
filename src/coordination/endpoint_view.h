#pragma once

#include <vector>

#include "state/endpoint_state.h"

namespace quetzalridge {

// The endpoints that this instance knows of: those of the configuration and those of the platform's list.
class EndpointView {
 public:
  virtual ~EndpointView() = default;
  virtual const std::vector<EndpointState>& endpoints() const = 0;
  // Takes an endpoint out of use, or back into use.
  virtual void SetAside(const std::string& endpoint_id, bool set_aside) = 0;
};

}  // namespace quetzalridge
