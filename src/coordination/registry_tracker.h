#pragma once

#include <functional>
#include <vector>

#include "coordination/scheduler.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// Applies the entries of the registry to the endpoint directory. Entries that are missing after an outage of the
// registry are kept for a grace period, in which live endpoints register again.
class RegistryTracker {
 public:
  RegistryTracker(Scheduler* scheduler, EndpointDirectory* endpoints)
      : m_scheduler(scheduler), m_endpoints(endpoints) {}

  // `after_outage` is true if the registry had not been read for a while.
  void OnEntries(const std::vector<EndpointEntry>& entries, bool after_outage);

 private:
  Scheduler* m_scheduler;
  EndpointDirectory* m_endpoints;
  TimePoint m_grace_until;
};

}  // namespace quetzalridge
