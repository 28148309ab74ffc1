#pragma once

#include <memory>
#include <string>

#include "daemon/mechanisms.h"
#include "daemon/settings.h"
#include "transport/event_loop.h"

namespace quetzalridge {

// Composes the process: transport, coordination, state and the request handlers, by one settings file.
class Daemon {
 public:
  // Listens on all addresses. Throws Error(kInvalidSettings) when one cannot be used.
  Daemon(EventLoop* loop, Settings settings, const Mechanisms& mechanisms = {});
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Begins a planned stop; the event loop is stopped when it is complete.
  void BeginDrain();
  void ReloadTls();
  bool drained() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace quetzalridge
