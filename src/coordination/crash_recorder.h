#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "coordination/endpoint_caller.h"
#include "state/quarantine.h"

namespace quetzalridge {

// Identifies the content of a call for the quarantine of requests that crash endpoints; 0 for items of batch jobs. An
// item is owed whatever happens to its endpoints, and is placed again.
uint64_t FingerprintOf(const EndpointCall& call);

// Records which requests were in flight on endpoints that have crashed.
class CrashRecorder {
 public:
  CrashRecorder(Quarantine* quarantine, const Clock* clock) : m_quarantine(quarantine), m_clock(clock) {}

  // The callback runs after each recorded crash.
  void SetRecordedCallback(std::function<void()> callback) { m_recorded = std::move(callback); }
  // An endpoint no longer accepts connections, and connections to it were lost: those of these calls, and of items.
  void OnCrash(const std::string& endpoint, std::vector<CrashedRequest> calls);
  int64_t crashes() const { return m_crashes; }

 private:
  struct Loss {
    TimePoint at;
    std::string endpoint;
    std::vector<uint64_t> fingerprints;
  };

  // Another endpoint that did not run the request was lost at about the same time, so both may have one cause.
  bool IsPartOfOutage(uint64_t fingerprint) const;

  Quarantine* m_quarantine;
  const Clock* m_clock;
  std::function<void()> m_recorded;
  // The latest losses, oldest first.
  std::deque<Loss> m_losses;
  int64_t m_crashes = 0;
};

}  // namespace quetzalridge
