#include "coordination/registry_tracker.h"

#include <string>
#include <utility>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

// Time after an outage of the store in which endpoints may be missing from the registry: live endpoints register again
// within 2 s.
constexpr Duration kRegistryGracePeriod = Duration::Milliseconds(2500);

}  // namespace

void RegistryTracker::OnEntries(std::vector<EndpointEntry> entries, bool after_outage) {
  m_entries = std::move(entries);
  if (after_outage) {
    m_grace_until = m_scheduler->clock().Now() + kRegistryGracePeriod;
    // The registry may not change again, so its entries are applied once more at the end of the period.
    m_grace_timer = m_scheduler->After(kRegistryGracePeriod, [this] { Apply(); });
  }
  Apply();
}

void RegistryTracker::Apply() {
  const bool in_grace_period = m_scheduler->clock().Now() < m_grace_until;
  for (const EndpointDirectory::Change& change : m_endpoints->Update(m_entries, in_grace_period)) {
    const bool gone = change.what == "gone";
    Log(gone ? LogEvent::kEndpointGone : LogEvent::kEndpointListed,
        {{"endpoint", change.id}, {"change", change.what}, {"unlisted_ms", std::to_string(change.unlisted.ms())}});
  }
  if (m_applied_callback) {
    m_applied_callback();
  }
}

}  // namespace quetzalridge
