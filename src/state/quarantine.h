#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

enum class FingerprintVerdict {
  kClear,
  // The request was in flight during a crash and must run alone on an endpoint.
  kSuspect,
  // The request must not run.
  kQuarantined,
};

// The number of crashes that are attributed to a request fingerprint.
struct FingerprintCount {
  uint64_t fingerprint = 0;
  int crashes = 0;
};

// A request that was in flight on an endpoint when it crashed.
struct CrashedRequest {
  uint64_t fingerprint = 0;
  // The request was dispatched as a suspect, with no other request on the endpoint.
  bool ran_alone = false;
};

struct QuarantineOptions {
  // How long a fingerprint is quarantined after its second crash. Then the request may run alone once more, and a
  // further crash quarantines it for an hour.
  Duration first_verdict = Duration::Seconds(3600);
  // A fingerprint is also quarantined after this number of crashes together with other requests, some seconds apart and
  // without a run that ended well in between; 0 for never.
  int max_crashes_in_company = 0;
};

// Detects requests that crash endpoints (poison requests). Counts the crashes per request fingerprint and quarantines a
// fingerprint after two of them.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options = {}) : m_options(options) {}

  FingerprintVerdict Check(uint64_t fingerprint, TimePoint now) const;
  // Records that an endpoint has crashed with these requests in flight.
  void OnCrash(const std::vector<CrashedRequest>& in_flight, TimePoint now);
  // Records that a request has ended without a crash, which clears a suspect.
  void OnFinished(uint64_t fingerprint, TimePoint now);
  // Clears a fingerprint on this instance, even a quarantined one, on an operator's order.
  void Clear(uint64_t fingerprint, TimePoint now);

  // CountsForPeers returns the counts of crashes that this instance has seen itself, newest first, to send to the
  // peers. MergePeerCounts merges the counts that a peer has sent.
  std::vector<FingerprintCount> CountsForPeers(size_t max_entries, TimePoint now) const;
  void MergePeerCounts(const std::vector<FingerprintCount>& counts, TimePoint now);
  // Frees the memory of entries that expired long ago.
  void RemoveExpired(TimePoint now);
  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    // 0 after the suspect was cleared. Such an entry is kept because peers may still send the cleared count.
    int crashes = 0;
    // True if this instance has counted the crashes itself; false if the count was received from a peer.
    bool counted_here = false;
    TimePoint last_change;
    // Crashes together with other requests, some seconds apart.
    int crashes_in_company = 0;
  };

  // The entry is quarantined for the first time, and that time is over.
  bool IsOnTrial(const Entry& entry, TimePoint now) const;
  // Counts a crash at which the request did not run alone.
  void AddCrashInCompany(Entry* entry, TimePoint now) const;

  // Returns the entry, reset if its count has expired, or nullptr if there is none.
  Entry* Find(uint64_t fingerprint, TimePoint now);
  // Returns nullptr if the table is full.
  Entry* FindOrAdd(uint64_t fingerprint, TimePoint now);

  QuarantineOptions m_options;
  std::map<uint64_t, Entry> m_entries;
};

}  // namespace quetzalridge
