#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

enum class FingerprintVerdict {
  kClear,
  // Was in flight during a crash: run it alone.
  kSuspect,
  kQuarantined,
};

struct FingerprintCount {
  uint64_t fingerprint = 0;
  int crashes = 0;
};

// A request that was in flight on an endpoint when it crashed.
struct CrashedRequest {
  uint64_t fingerprint = 0;
  // It was dispatched as a suspect, with nothing else on the endpoint.
  bool ran_alone = false;
};

// Counts endpoint crashes per request fingerprint and stops a request after two of them.
class Quarantine {
 public:
  FingerprintVerdict Check(uint64_t fingerprint, TimePoint now) const;
  // An endpoint crashed with these requests in flight.
  void OnCrash(const std::vector<CrashedRequest>& in_flight, TimePoint now);
  // The request ended without a crash, which clears a suspect.
  void OnFinished(uint64_t fingerprint, TimePoint now);
  // An operator's decision; clears a quarantined fingerprint on this instance.
  void Clear(uint64_t fingerprint, TimePoint now);

  // Counts of this instance's own crashes to send to peers, newest first, and counts received from them.
  std::vector<FingerprintCount> CountsForPeers(size_t max_entries, TimePoint now) const;
  void MergePeerCounts(const std::vector<FingerprintCount>& counts, TimePoint now);
  void RemoveExpired(TimePoint now);
  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    // 0 after a suspect was cleared: peers may still send the count that was cleared.
    int crashes = 0;
    // False for counts that came from peers, which their own instance sends.
    bool counted_here = false;
    TimePoint last_change;
  };

  Entry* Find(uint64_t fingerprint, TimePoint now);
  // Null when the table is full.
  Entry* FindOrAdd(uint64_t fingerprint, TimePoint now);

  std::map<uint64_t, Entry> m_entries;
};

}  // namespace quetzalridge
