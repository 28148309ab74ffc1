#include "coordination/evacuation_tracker.h"

#include "base/log_event.h"

namespace quetzalridge {

namespace {

constexpr Duration kDrainCheckInterval = Duration::Milliseconds(250);

}  // namespace

void EvacuationTracker::OnZones(const std::set<std::string>& zones) {
  const std::set<std::string> before = m_endpoints->evacuated_zones();
  if (zones == before) {
    return;
  }
  m_endpoints->SetEvacuatedZones(zones);
  for (const std::string& zone : zones) {
    if (before.count(zone) == 0) {
      const EndpointDirectory::ZoneLoad load = m_endpoints->LoadOfZone(zone);
      Log(LogEvent::kZoneEvacuated, {{"zone", zone},
                                     {"endpoints", std::to_string(load.endpoints)},
                                     {"own_in_flight", std::to_string(load.in_flight)}});
      m_draining[zone] = m_scheduler->clock().Now();
    }
  }
  for (const std::string& zone : before) {
    if (zones.count(zone) == 0) {
      Log(LogEvent::kZoneInUse,
          {{"zone", zone}, {"endpoints", std::to_string(m_endpoints->LoadOfZone(zone).endpoints)}});
      m_draining.erase(zone);
    }
  }
  m_changed();
  CheckDrained();
}

void EvacuationTracker::CheckDrained() {
  m_timer.reset();
  for (auto it = m_draining.begin(); it != m_draining.end();) {
    if (m_endpoints->LoadOfZone(it->first).in_flight > 0) {
      ++it;
      continue;
    }
    const Duration time = m_scheduler->clock().Now() - it->second;
    Log(LogEvent::kZoneDrained, {{"zone", it->first}, {"after_ms", std::to_string(time.ms())}});
    it = m_draining.erase(it);
  }
  if (!m_draining.empty()) {
    m_timer = m_scheduler->After(kDrainCheckInterval, [this] { CheckDrained(); });
  }
}

int EvacuationTracker::endpoints() const {
  int count = 0;
  for (const std::string& zone : m_endpoints->evacuated_zones()) {
    count += m_endpoints->LoadOfZone(zone).endpoints;
  }
  return count;
}

int EvacuationTracker::in_flight() const {
  int count = 0;
  for (const std::string& zone : m_endpoints->evacuated_zones()) {
    count += m_endpoints->LoadOfZone(zone).in_flight;
  }
  return count;
}

}  // namespace quetzalridge
