#pragma once

#include <memory>
#include <utility>

namespace quetzalridge {

// Silences callbacks after their owner is destroyed. A member of the owner.
class CallbackGuard {
 public:
  template <typename Function>
  auto Wrap(Function function) const {
    return [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)](auto&&... arguments) mutable {
      if (!alive.expired()) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge
