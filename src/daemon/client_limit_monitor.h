#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/counters.h"
#include "base/process_memory.h"
#include "state/client_limits.h"
#include "state/memory_budget.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace quetzalridge {

// Reports what the servers of a process do to stay within the limits for clients, as metrics and as log events of which
// there is at most one of each kind per second.
class ClientLimitMonitor {
 public:
  // All pointers must outlive the monitor. The first server is the one for callers.
  ClientLimitMonitor(EventLoop* loop, ClientLimits limits, const MemoryBudget* memory,
                     std::vector<const HttpServer*> servers);

  void Start();
  // Sets the metrics: the sums over all servers.
  void SetCounters(Counters* counters) const;

 private:
  HttpServerCounts Sum() const;
  void Report();

  EventLoop* m_loop;
  ClientLimits m_limits;
  const MemoryBudget* m_memory;
  std::vector<const HttpServer*> m_servers;
  // The counts at the last report.
  HttpServerCounts m_reported;
  MemoryTrimmer m_trimmer;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace quetzalridge
