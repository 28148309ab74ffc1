#include "coordination/owner_monitor.h"

#include <utility>

namespace quetzalridge {

namespace {

// If reads fail for more intervals than this, an unchanged row does not show that its instance has stopped.
constexpr int64_t kMaxIntervalsBetweenReads = 3;

}  // namespace

OwnerMonitor::OwnerMonitor(TableStore* store, Scheduler* scheduler, OwnerMonitorOptions options)
    : m_store(store), m_scheduler(scheduler), m_options(options) {}

void OwnerMonitor::Watch(const std::set<std::string>& instances) {
  for (auto it = m_watched.begin(); it != m_watched.end();) {
    it = instances.count(it->first) > 0 ? std::next(it) : m_watched.erase(it);
  }
  for (const std::string& instance : instances) {
    if (m_watched.try_emplace(instance).second) {
      ReadRow(instance);
    }
  }
  if (m_timer == nullptr && !m_watched.empty()) {
    m_timer = m_scheduler->After(m_options.interval, [this] { Tick(); });
  }
}

void OwnerMonitor::Tick() {
  m_timer.reset();
  if (m_watched.empty()) {
    return;
  }
  m_timer = m_scheduler->After(m_options.interval, [this] { Tick(); });
  for (const auto& [instance, watched] : m_watched) {
    if (!watched.reading) {
      ReadRow(instance);
    }
  }
}

// Each row is read by a call of its own, because a read of several keys covers all rows between them.
void OwnerMonitor::ReadRow(const std::string& instance) {
  m_watched.at(instance).reading = true;
  m_store->Read({RosterKey(instance)}, m_guard.Wrap([this, instance, read_at = Now()](const ReadResult& read) {
    const auto watched = m_watched.find(instance);
    if (watched == m_watched.end()) {
      return;
    }
    watched->second.reading = false;
    if (read.ok) {
      OnRow(instance, read_at, read.rows.front());
    }
  }));
}

void OwnerMonitor::OnRow(const std::string& instance, TimePoint read_at, const TableRow& row) {
  WatchedInstance& watched = m_watched.at(instance);
  const bool after_gap =
      !watched.read_at.has_value() || read_at - *watched.read_at > m_options.interval * kMaxIntervalsBetweenReads;
  if (after_gap || row.version != watched.row_version) {
    watched.unchanged_since = Now();
  }
  const std::string before = watched.record.has_value() ? watched.record->incarnation : "";
  const bool was_known = watched.read_at.has_value();
  watched.read_at = read_at;
  watched.row_version = row.version;
  watched.record = row.version == 0 ? std::nullopt : DecodeRosterRecord(row.value);
  const std::string after = watched.record.has_value() ? watched.record->incarnation : "";
  if (m_on_silent && watched.record.has_value() && IsSilent(watched)) {
    m_on_silent(instance, row.version);
  }
  if (m_on_change && (!was_known || before != after || IsSilent(watched))) {
    m_on_change();
  }
}

bool OwnerMonitor::IsSilent(const WatchedInstance& watched) const {
  return !watched.record.has_value() || watched.record->state != RosterState::kLive ||
         Now() - watched.unchanged_since >= m_options.silence_timeout;
}

bool OwnerMonitor::HasStopped(const std::string& instance, const std::string& incarnation, TimePoint since) const {
  const auto found = m_watched.find(instance);
  if (found == m_watched.end() || !found->second.read_at.has_value() || *found->second.read_at < since) {
    return false;
  }
  const WatchedInstance& watched = found->second;
  // Without recent reads, the current state of the instance is unknown.
  const bool is_current = Now() - *watched.read_at <= m_options.interval * kMaxIntervalsBetweenReads;
  return is_current && (IsSilent(watched) || watched.record->incarnation != incarnation);
}

}  // namespace quetzalridge
