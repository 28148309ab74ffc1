#include "daemon/client_limit_monitor.h"

#include <utility>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

constexpr Duration kReportInterval = Duration::Seconds(1);

}  // namespace

ClientLimitMonitor::ClientLimitMonitor(EventLoop* loop, ClientLimits limits, const MemoryBudget* memory,
                                       std::vector<const HttpServer*> servers)
    : m_loop(loop), m_limits(limits), m_memory(memory), m_servers(std::move(servers)) {}

void ClientLimitMonitor::Start() {
  m_timer = m_loop->After(kReportInterval, [this] { Report(); });
}

void ClientLimitMonitor::SetCounters(Counters* counters) const {
  const HttpServerCounts sum = Sum();
  counters->Set("client_memory_bytes", static_cast<int64_t>(m_memory->used()));
  counters->Set("client_memory_jobs_bytes", static_cast<int64_t>(m_memory->used(HolderKind::kJob)));
  counters->Set("client_memory_peak_bytes", static_cast<int64_t>(m_memory->peak()));
  counters->Set("client_memory_limit_bytes", static_cast<int64_t>(m_memory->limit()));
  counters->Set("client_connections", m_servers.front()->open_connections());
  counters->Set("client_connections_limit", m_limits.caller_connections);
  counters->Set("clients_closed_for_memory", sum.closed_for_memory);
  counters->Set("requests_refused_for_memory", sum.refused_for_memory);
  counters->Set("clients_closed_for_connections", sum.closed_for_connections);
  counters->Set("clients_not_accepted", sum.not_accepted);
  counters->Set("requests_too_large", sum.too_large);
  counters->Set("requests_late", sum.late_requests);
  counters->Set("responses_read_late", sum.late_readers);
}

HttpServerCounts ClientLimitMonitor::Sum() const {
  HttpServerCounts sum;
  for (const HttpServer* server : m_servers) {
    sum += server->counts();
  }
  return sum;
}

void ClientLimitMonitor::Report() {
  Start();
  const HttpServerCounts now = Sum();
  const HttpServerCounts before = std::exchange(m_reported, now);
  const int64_t closed_for_memory = now.closed_for_memory - before.closed_for_memory;
  const int64_t refused = now.refused_for_memory - before.refused_for_memory;
  if (closed_for_memory + refused > 0) {
    Log(LogEvent::kClientMemoryFull, {{"closed", std::to_string(closed_for_memory)},
                                      {"refused", std::to_string(refused)},
                                      {"used", std::to_string(m_memory->used())},
                                      {"limit", std::to_string(m_memory->limit())}});
  }
  const int64_t closed_for_connections = now.closed_for_connections - before.closed_for_connections;
  const int64_t not_accepted = now.not_accepted - before.not_accepted;
  if (closed_for_connections + not_accepted > 0) {
    Log(LogEvent::kConnectionsFull, {{"closed", std::to_string(closed_for_connections)},
                                     {"not_accepted", std::to_string(not_accepted)},
                                     {"callers", std::to_string(m_servers.front()->open_connections())},
                                     {"limit", std::to_string(m_limits.caller_connections)}});
  }
  const int64_t late_requests = now.late_requests - before.late_requests;
  const int64_t late_readers = now.late_readers - before.late_readers;
  if (late_requests + late_readers > 0) {
    Log(LogEvent::kSlowClients,
        {{"requests", std::to_string(late_requests)}, {"readers", std::to_string(late_readers)}});
  }
  m_trimmer.OnUsed(m_memory->used());
}

}  // namespace quetzalridge
