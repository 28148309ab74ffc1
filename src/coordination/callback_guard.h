#pragma once

#include <memory>
#include <utility>

namespace quetzalridge {

// Makes wrapped callbacks do nothing once the object that owns this guard has been destroyed. Declare the guard as a
// member of the object that the callbacks use.
class CallbackGuard {
 public:
  // Returns a callable that forwards to `function` as long as this guard exists.
  template <typename Function>
  auto Wrap(Function function) const {
    return [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)](auto&&... arguments) mutable {
      if (!alive.expired()) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  // Wrapped callbacks hold weak references to this object and check that it still exists.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
