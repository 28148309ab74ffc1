#pragma once

#include <memory>
#include <string>

#include "tests/history/deployment.h"

namespace quetzalridge::history {

// Observes which configuration version is in force on each instance, and whether the instance serves.
class Monitor {
 public:
  explicit Monitor(Deployment* deployment);

 private:
  void ObserveAll();
  void Observe(const DaemonProcess& daemon);

  Deployment* m_deployment;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace quetzalridge::history
