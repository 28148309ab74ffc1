#pragma once

#include <functional>

#include "base/clock.h"
#include "state/config_document.h"

namespace quetzalridge {

// Read access to the configuration that this instance has applied.
class ConfigView {
 public:
  // Called after each change that is applied.
  using Listener = std::function<void(const ConfigChange&)>;

  virtual ~ConfigView() = default;
  virtual const ConfigDocument& document() const = 0;
  // Whether the applied configuration is known to be current enough to serve keyed routes, the routes that need an API
  // key. With an outdated configuration, an instance might accept a key that was withdrawn.
  virtual bool MayServeKeyedRoutes(TimePoint now) const = 0;
  virtual void AddListener(Listener listener) = 0;
};

}  // namespace quetzalridge
