#pragma once

#include <memory>
#include <string>

#include "daemon/mechanisms.h"
#include "daemon/settings.h"
#include "transport/event_loop.h"

namespace quetzalridge {

// Creates, connects and starts all components of the service process: the request handlers, the components that
// coordinate with other instances, and the transports. Also performs the graceful shutdown.
class Daemon {
 public:
  // Listens on all addresses of the settings. Throws Error(kInvalidSettings) if one of them cannot be used.
  Daemon(EventLoop* loop, Settings settings, const Mechanisms& mechanisms = {});
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Begins a graceful shutdown, and stops the event loop when the shutdown is complete.
  void BeginDrain();
  // Reads the TLS certificate and key again from their files.
  void ReloadTls();
  // True when the graceful shutdown is complete.
  bool drained() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace quetzalridge
