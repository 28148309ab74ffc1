#include "coordination/table_poller.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

// A configuration must be in force within 2 s after it was stored, and an endpoint that is shutting down must get no
// requests later than 2 s after it registered this. The interval leaves time for one failed read.
constexpr Duration kMinInterval = Duration::Milliseconds(400);
// With this time for each instance, all instances together read two tables at a rate of 200 reads per second.
constexpr Duration kIntervalPerInstance = Duration::Milliseconds(10);
// If the store was unreachable for this time, its tables may lack rows for a while after it is back.
constexpr Duration kOutageThreshold = Duration::Milliseconds(1500);
// A response that comes later than planned by more than this is logged.
constexpr Duration kLateResponse = Duration::Milliseconds(300);

}  // namespace

void TablePoller::Watch(const std::string& table, Receiver receiver) {
  m_tables[table].receiver = std::move(receiver);
}

void TablePoller::Start() {
  for (auto& [name, watched] : m_tables) {
    watched.answered_at = m_scheduler->clock().Now();
  }
  Poll();
}

Duration TablePoller::Age(const std::string& table) const {
  const WatchedTable& watched = m_tables.at(table);
  const bool has_rows = watched.newest_read_at != TimePoint();
  return m_scheduler->clock().Now() - (has_rows ? watched.newest_read_at : watched.answered_at);
}

Duration TablePoller::Interval() const {
  const int instances = m_instance_count ? m_instance_count() : 1;
  return std::max(kMinInterval, kIntervalPerInstance * instances);
}

void TablePoller::Poll() {
  m_timer = m_scheduler->After(Interval(), [this] { Poll(); });
  const TimePoint now = m_scheduler->clock().Now();
  for (const auto& [name, watched] : m_tables) {
    m_store->ReadTable(name, [this, table = name, now](const RawRowsResult& result) { OnRows(table, now, result); });
  }
}

void TablePoller::OnRows(const std::string& name, TimePoint read_at, const RawRowsResult& result) {
  WatchedTable& watched = m_tables.at(name);
  const TimePoint now = m_scheduler->clock().Now();
  if (!result.ok) {
    ++m_failed_reads;
    ++watched.failed_reads;
    return;
  }
  if (read_at < watched.newest_read_at) {
    return;
  }
  const bool after_outage = now - watched.answered_at >= kOutageThreshold;
  if (after_outage || now - watched.answered_at > Interval() + kLateResponse) {
    Log(LogEvent::kTableReadLate, {{"table", name},
                                   {"since_last_ms", std::to_string((now - watched.answered_at).ms())},
                                   {"interval_ms", std::to_string(Interval().ms())},
                                   {"took_ms", std::to_string((now - read_at).ms())},
                                   {"failed_reads", std::to_string(watched.failed_reads)},
                                   {"after_outage", after_outage ? "yes" : "no"}});
  }
  watched.failed_reads = 0;
  watched.newest_read_at = read_at;
  watched.answered_at = now;
  watched.table.rows.clear();
  for (const RawRow& row : result.rows) {
    watched.table.rows[row.key] = row;
  }
  watched.receiver(watched.table, after_outage);
}

}  // namespace quetzalridge
