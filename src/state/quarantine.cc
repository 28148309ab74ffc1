#include "state/quarantine.h"

#include <algorithm>

namespace quetzalridge {

namespace {

constexpr int kCrashesToQuarantine = 2;
// A peer's count that is higher means the same.
constexpr int kMaxPeerCount = kCrashesToQuarantine + 1;
// Crashes within this time may have one cause, such as the loss of an availability zone.
constexpr Duration kSeparateCrashes = Duration::Seconds(2);
constexpr Duration kEntryLifetime = Duration::Seconds(3600);
// Expired entries are kept for this long, since a request that was dispatched just before its count expired ends within
// this time.
constexpr Duration kMaxRequestDuration = Duration::Seconds(600);
// Limits the memory to about 1 MB after many crashes with many requests in flight.
constexpr size_t kMaxEntries = 16'384;

bool IsExpired(TimePoint last_change, TimePoint now) {
  return now - last_change > kEntryLifetime;
}

}  // namespace

FingerprintVerdict Quarantine::Check(uint64_t fingerprint, TimePoint now) const {
  const auto it = m_entries.find(fingerprint);
  if (it == m_entries.end() || it->second.crashes == 0 || IsExpired(it->second.last_change, now)) {
    return FingerprintVerdict::kClear;
  }
  const bool quarantined = it->second.crashes >= kCrashesToQuarantine && !IsOnTrial(it->second, now);
  return quarantined ? FingerprintVerdict::kQuarantined : FingerprintVerdict::kSuspect;
}

bool Quarantine::IsOnTrial(const Entry& entry, TimePoint now) const {
  return entry.crashes == kCrashesToQuarantine && now - entry.last_change > m_options.first_verdict;
}

Quarantine::Entry* Quarantine::Find(uint64_t fingerprint, TimePoint now) {
  const auto it = m_entries.find(fingerprint);
  if (it == m_entries.end()) {
    return nullptr;
  }
  // An expired count must not be added to a new crash.
  if (IsExpired(it->second.last_change, now)) {
    it->second = Entry{0, false, now};
  }
  return &it->second;
}

Quarantine::Entry* Quarantine::FindOrAdd(uint64_t fingerprint, TimePoint now) {
  Entry* present = Find(fingerprint, now);
  if (present != nullptr) {
    return present;
  }
  if (m_entries.size() >= kMaxEntries) {
    RemoveExpired(now);
  }
  return m_entries.size() < kMaxEntries ? &m_entries[fingerprint] : nullptr;
}

// A crash makes a suspect of each request that was in flight. The crash count goes up to two only for a suspect that
// ran alone. Requests that were in flight during several crashes together with others stay suspects; this happens to
// frequent requests when a whole availability zone fails.
void Quarantine::OnCrash(const std::vector<CrashedRequest>& in_flight, TimePoint now) {
  for (const CrashedRequest& request : in_flight) {
    const auto known = m_entries.find(request.fingerprint);
    if (request.ran_alone && known != m_entries.end()) {
      // The count may have expired after the request was dispatched as a suspect. The crash is added to it
      // nevertheless.
      known->second = Entry{known->second.crashes + 1, true, now};
      continue;
    }
    Entry* entry = FindOrAdd(request.fingerprint, now);
    if (entry != nullptr) {
      AddCrashInCompany(entry, now);
    }
  }
}

void Quarantine::AddCrashInCompany(Entry* entry, TimePoint now) const {
  const bool on_trial = IsOnTrial(*entry, now);
  const bool is_separate = entry->crashes == 0 || now - entry->last_change >= kSeparateCrashes;
  entry->crashes_in_company += is_separate ? 1 : 0;
  entry->crashes = std::max(entry->crashes + (on_trial ? 1 : 0), 1);
  if (m_options.max_crashes_in_company > 0 && entry->crashes_in_company >= m_options.max_crashes_in_company) {
    entry->crashes = std::max(entry->crashes, kCrashesToQuarantine);
  }
  entry->counted_here = true;
  entry->last_change = now;
}

// A cleared entry is kept with a count of 0, since peers send their count of 1 until it expires on them.
void Quarantine::OnFinished(uint64_t fingerprint, TimePoint now) {
  Entry* entry = Find(fingerprint, now);
  if (entry != nullptr && (entry->crashes < kCrashesToQuarantine || IsOnTrial(*entry, now))) {
    *entry = Entry{0, false, now};
  }
}

void Quarantine::Clear(uint64_t fingerprint, TimePoint now) {
  Entry* entry = Find(fingerprint, now);
  if (entry != nullptr) {
    *entry = Entry{0, false, now};
  }
}

// Counts that were received from peers are not sent on. Otherwise two instances would keep an entry from expiring by
// sending it to each other.
std::vector<FingerprintCount> Quarantine::CountsForPeers(size_t max_entries, TimePoint now) const {
  std::vector<std::pair<TimePoint, FingerprintCount>> ordered;
  for (const auto& [fingerprint, entry] : m_entries) {
    if (entry.counted_here && entry.crashes > 0 && !IsExpired(entry.last_change, now)) {
      ordered.push_back({entry.last_change, FingerprintCount{fingerprint, entry.crashes}});
    }
  }
  // Of equally recent entries, the quarantined ones come first, since they matter more to the peers.
  std::sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second.crashes > b.second.crashes;
  });
  std::vector<FingerprintCount> digest;
  for (size_t i = 0; i < ordered.size() && i < max_entries; ++i) {
    digest.push_back(ordered[i].second);
  }
  return digest;
}

void Quarantine::MergePeerCounts(const std::vector<FingerprintCount>& counts, TimePoint now) {
  for (const FingerprintCount& count : counts) {
    const bool cleared_here = m_entries.count(count.fingerprint) > 0 && Find(count.fingerprint, now)->crashes == 0;
    if (count.crashes <= 0 || (cleared_here && count.crashes < kCrashesToQuarantine)) {
      continue;
    }
    Entry* entry = FindOrAdd(count.fingerprint, now);
    if (entry != nullptr && count.crashes > entry->crashes) {
      *entry = Entry{std::min(count.crashes, kMaxPeerCount), false, now};
    }
  }
}

void Quarantine::RemoveExpired(TimePoint now) {
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    it = IsExpired(it->second.last_change + kMaxRequestDuration, now) ? m_entries.erase(it) : std::next(it);
  }
}

}  // namespace quetzalridge
