#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "coordination/scheduler.h"
#include "state/endpoint_directory.h"

namespace quetzalridge {

// Applies the evacuations of zones to the endpoint directory, and reports when the last request of this instance in
// such a zone has ended.
class EvacuationTracker {
 public:
  // `changed` is called when a zone is in use again, or is evacuated.
  EvacuationTracker(Scheduler* scheduler, EndpointDirectory* endpoints, std::function<void()> changed)
      : m_scheduler(scheduler), m_endpoints(endpoints), m_changed(std::move(changed)) {}

  // `zones` are all evacuated zones. Not called while they cannot be read.
  void OnZones(const std::set<std::string>& zones);
  // Number of known endpoints in evacuated zones, and of this instance's requests in flight on them.
  int endpoints() const;
  int in_flight() const;

 private:
  void CheckDrained();

  Scheduler* m_scheduler;
  EndpointDirectory* m_endpoints;
  std::function<void()> m_changed;
  // The evacuated zones in which requests of this instance may be in flight, and since when they are evacuated.
  std::map<std::string, TimePoint> m_draining;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace quetzalridge
