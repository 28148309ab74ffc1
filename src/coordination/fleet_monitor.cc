#include "coordination/fleet_monitor.h"

#include <optional>
#include <set>
#include <utility>

#include "base/hash.h"

namespace quetzalridge {

namespace {

constexpr Duration kNeighborReadInterval = Duration::Seconds(1);
// How long the roster is read often after a lost instance was reported.
constexpr Duration kAlarmTime = Duration::Seconds(8);
// How long an instance that has found a lost one looks for others.
constexpr Duration kSearchTime = Duration::Seconds(4);
// Smaller fleets read the whole roster every few seconds in any case.
constexpr size_t kMinFleetSize = 16;
// After this time, what a read of the roster showed is outdated. Longer than a read of several pages may take while the
// store is slow, so that what one read showed holds until the next one has ended.
constexpr Duration kMaxScanAge = Duration::Seconds(5);
// Two reads that are further apart than the silence timeout by this much show whether a row is renewed.
constexpr Duration kSpanMargin = Duration::Milliseconds(500);
// Half a second less than the time after which others may count this instance as stopped.
constexpr Duration kMaxRenewalAge = Duration::Seconds(2);

}  // namespace

FleetMonitor::FleetMonitor(TableStore* store, Scheduler* scheduler, Roster* roster, std::string instance,
                           Duration silence_timeout, uint64_t seed)
    : m_scheduler(scheduler),
      m_roster(roster),
      m_instance(std::move(instance)),
      m_silence_timeout(silence_timeout),
      m_alarm(store, scheduler, m_instance, seed),
      m_neighbor_monitor(store, scheduler, {kNeighborReadInterval, silence_timeout}) {
  m_roster->SetScannedCallback([this] { OnScanned(); });
  m_alarm.SetRaisedCallback([this] { m_roster->ScanOften(kAlarmTime, m_silence_timeout + kSpanMargin); });
  m_neighbor_monitor.SetSilentCallback(
      [this](const std::string& silent, int64_t row_version) { OnSilent(silent, row_version); });
}

void FleetMonitor::OnSilent(const std::string& instance, int64_t row_version) {
  if (m_alarm.OnLost(instance, row_version) && m_roster->others().size() + 1 >= kMinFleetSize) {
    m_roster->ScanOften(kSearchTime, m_silence_timeout + kSpanMargin);
  }
}

bool FleetMonitor::IsLive(const RosterEntry& entry) const {
  return entry.record.state == RosterState::kLive && m_roster->scanned_at() - entry.unchanged_since < m_silence_timeout;
}

std::vector<std::string> FleetMonitor::LiveInstances() const {
  std::vector<std::string> live;
  if (m_roster->joined()) {
    live.push_back(m_instance);
  }
  for (const auto& [id, entry] : m_roster->others()) {
    if (IsLive(entry)) {
      live.push_back(id);
    }
  }
  return live;
}

std::vector<std::string> FleetMonitor::SettledInstances() const {
  std::vector<std::string> settled;
  if (m_roster->joined() && IsSettled(m_roster->OwnAge())) {
    settled.push_back(m_instance);
  }
  for (const auto& [id, entry] : m_roster->others()) {
    if (IsLive(entry) && IsSettled(m_roster->AgeOf(entry))) {
      settled.push_back(id);
    }
  }
  return settled.empty() ? LiveInstances() : settled;
}

GrantAuthority FleetMonitor::Authority() const {
  const std::optional<TimePoint> renewed_at = m_roster->renewal_began_at();
  if (!m_roster->joined() || !renewed_at.has_value() || Now() - *renewed_at > kMaxRenewalAge) {
    return GrantAuthority::kNone;
  }
  if (IsSettled(m_roster->OwnAge())) {
    return GrantAuthority::kSettled;
  }
  // When a whole fleet starts, the first read of the roster shows the rows of a few instances, and soon a second one
  // follows.
  return IsSettled(m_roster->OwnAge() * 2) ? GrantAuthority::kNew : GrantAuthority::kNone;
}

bool FleetMonitor::HasStopped(const std::string& instance, const std::string& incarnation, TimePoint since) const {
  const bool is_current =
      m_roster->joined() && m_roster->scan_began_at() >= since && Now() - m_roster->scanned_at() <= kMaxScanAge;
  if (!is_current) {
    return false;
  }
  const auto found = m_roster->others().find(instance);
  return found == m_roster->others().end() || found->second.record.state != RosterState::kLive ||
         found->second.record.incarnation != incarnation ||
         m_roster->scan_began_at() - found->second.unchanged_since >= m_silence_timeout;
}

void FleetMonitor::OnScanned() {
  const std::string neighbor = m_roster->others().size() + 1 < kMinFleetSize ? "" : Neighbor();
  m_neighbor_monitor.Watch(neighbor.empty() ? std::set<std::string>() : std::set<std::string>{neighbor});
  if (m_roster->scans_often()) {
    for (const auto& [id, entry] : m_roster->others()) {
      if (entry.record.state == RosterState::kLive && !IsLive(entry)) {
        m_alarm.OnLost(id, entry.row_version);
      }
    }
  }
  if (m_changed) {
    m_changed();
  }
}

std::string FleetMonitor::Neighbor() const {
  const uint64_t own = Hash64(m_instance);
  std::string neighbor;
  uint64_t shortest = 0;
  for (const auto& [id, entry] : m_roster->others()) {
    // Unsigned, so that the order is a ring.
    const uint64_t distance = Hash64(id) - own;
    if (IsLive(entry) && (neighbor.empty() || distance < shortest)) {
      neighbor = id;
      shortest = distance;
    }
  }
  return neighbor;
}

}  // namespace quetzalridge
