#pragma once

#include <functional>
#include <memory>
#include <utility>
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

  // Called each time entries were applied to the directory.
  void SetAppliedCallback(std::function<void()> callback) { m_applied_callback = std::move(callback); }
  // `after_outage` is true if reads of the registry had failed for a while.
  void OnEntries(std::vector<EndpointEntry> entries, bool after_outage);

 private:
  void Apply();

  Scheduler* m_scheduler;
  EndpointDirectory* m_endpoints;
  std::function<void()> m_applied_callback;
  std::vector<EndpointEntry> m_entries;
  TimePoint m_grace_until;
  std::unique_ptr<Timer> m_grace_timer;
};

}  // namespace quetzalridge
