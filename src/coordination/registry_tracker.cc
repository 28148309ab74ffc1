#include "coordination/registry_tracker.h"

#include <string>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

// Time after an outage of the store in which endpoints may be missing from the registry: live endpoints register again
// within 2 s.
constexpr Duration kRegistryGracePeriod = Duration::Milliseconds(2500);

}  // namespace

void RegistryTracker::OnEntries(const std::vector<EndpointEntry>& entries, bool after_outage) {
  const TimePoint now = m_scheduler->clock().Now();
  if (after_outage) {
    m_grace_until = now + kRegistryGracePeriod;
  }
  for (const EndpointDirectory::Change& change : m_endpoints->Update(entries, now < m_grace_until)) {
    const bool gone = change.what == "gone";
    Log(gone ? LogEvent::kEndpointGone : LogEvent::kEndpointListed,
        {{"endpoint", change.id}, {"change", change.what}, {"unlisted_ms", std::to_string(change.unlisted.ms())}});
  }
}

}  // namespace quetzalridge
