#pragma once

#include <functional>

#include "base/clock.h"
#include "state/config_document.h"

namespace quetzalridge {

// The configuration that this instance has applied, and whether it may serve keyed routes with it.
class ConfigView {
 public:
  // Runs after each applied change.
  using Listener = std::function<void(const ConfigChange&)>;

  virtual ~ConfigView() = default;
  virtual const ConfigDocument& document() const = 0;
  virtual bool MayServeKeyedRoutes(TimePoint now) const = 0;
  virtual void AddListener(Listener listener) = 0;
};

}  // namespace quetzalridge
