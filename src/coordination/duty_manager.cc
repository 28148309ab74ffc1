#include "coordination/duty_manager.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

// After this many renewal intervals, an available lease is acquired even by an instance that already has its fair
// share.
constexpr int64_t kUnclaimedLeaseGraceRenewals = 3;
// How often duties are checked for idleness while their leases are to be released.
constexpr Duration kDrainPollInterval = Duration::Milliseconds(200);

// With at most this many instances, each instance reads the rows of all leases. With more, each lease has this many
// candidates, and the other instances read its row rarely. Otherwise 38 rows every 3 s would cost each of 360 nodes
// 2.7 KB/s, more than its whole budget.
constexpr int kCandidatesPerLease = 32;
// Reads by non-candidates find leases whose candidates are all gone or cannot reach the table.
constexpr int64_t kNonCandidateReadIntervalTicks = 10;

}  // namespace

DutyManager::DutyManager(TableStore* store, Scheduler* scheduler, DutyManagerOptions options)
    : m_store(store), m_scheduler(scheduler), m_options(std::move(options)) {}

void DutyManager::AddDuty(const std::string& name, Duty* duty, std::function<bool()> can_run) {
  Entry& entry = m_entries[name];
  entry = {};
  entry.duty = duty;
  entry.can_run = std::move(can_run);
  entry.lease = std::make_unique<Lease>(m_store, m_scheduler, m_options.lease, name);
  entry.lease->SetChangedCallback([this] { UpdateAll(); });
}

void DutyManager::RemoveDuty(const std::string& name) {
  const auto it = m_entries.find(name);
  if (it == m_entries.end()) {
    return;
  }
  it->second.duty->Stop();
  // The lease is removed below, so a release that gets no response is not retried. The lease then expires.
  if (it->second.duty->IsIdle()) {
    it->second.lease->Release();
  }
  m_entries.erase(it);
}

std::vector<std::string> DutyManager::DutyNames() const {
  std::vector<std::string> names;
  for (const auto& entry : m_entries) {
    names.push_back(entry.first);
  }
  return names;
}

const Lease* DutyManager::FindLease(const std::string& name) const {
  const auto it = m_entries.find(name);
  return it == m_entries.end() ? nullptr : it->second.lease.get();
}

void DutyManager::Start() {
  Tick();
}

void DutyManager::Drain(std::function<void()> callback) {
  m_draining = true;
  m_drained_callback = std::move(callback);
  for (auto& [name, entry] : m_entries) {
    entry.releasing = true;
    entry.duty->Stop();
  }
  Tick();
  UpdateAll();
}

int DutyManager::HeldCount() const {
  const TimePoint now = m_scheduler->clock().Now();
  return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
    return entry.second.lease->IsHeld(now) && !entry.second.releasing;
  }));
}

// Counts the leases that this process is trying to acquire. They count towards the fair share; otherwise one tick could
// try to acquire all available leases.
int DutyManager::PendingAcquireCount() const {
  return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto& entry) {
    return entry.second.lease->IsWritePending() && !entry.second.lease->IsRecordedHolder();
  }));
}

int DutyManager::FairShare() const {
  const int instances = m_instance_count ? std::max(m_instance_count(), 1) : 1;
  return (static_cast<int>(m_entries.size()) + instances - 1) / instances;
}

// Reads the rows of all duties in one request, so that the number of requests does not grow with the number of duties.
void DutyManager::Tick() {
  m_timer = m_scheduler->After(m_draining ? kDrainPollInterval : m_options.renewal, [this] { Tick(); });
  const TimePoint now = m_scheduler->clock().Now();
  const std::vector<std::string> live_instances = m_live_instances ? m_live_instances() : std::vector<std::string>();
  const bool reads_all = m_draining || m_tick_count++ % kNonCandidateReadIntervalTicks == 0;
  std::vector<std::string> names;
  std::vector<std::string> keys;
  for (auto& [name, entry] : m_entries) {
    NotifyDuty(&entry, now);
    if (!entry.releasing) {
      entry.lease->Renew();
    }
    entry.row_read = reads_all || entry.lease->IsRecordedHolder() || IsCandidate(name, live_instances);
    if (entry.row_read) {
      names.push_back(name);
      keys.push_back(entry.lease->key());
    }
  }
  if (keys.empty()) {
    UpdateAll();
    return;
  }
  m_store->Read(std::move(keys),
                [this, names = std::move(names), alive = std::weak_ptr<bool>(m_alive)](const ReadResult& read) {
                  if (!alive.expired()) {
                    OnLeaseRows(names, read);
                  }
                });
}

// Uses rendezvous hashing: the candidates of a duty are the instances with the highest hash of the duty name combined
// with the instance id.
bool DutyManager::IsCandidate(const std::string& duty, const std::vector<std::string>& live_instances) const {
  if (static_cast<int>(live_instances.size()) <= kCandidatesPerLease) {
    return true;
  }
  const uint64_t seed = Hash64(duty);
  const uint64_t own = Hash64(m_own_id, seed);
  const auto before = std::count_if(live_instances.begin(), live_instances.end(),
                                    [&](const std::string& instance) { return Hash64(instance, seed) > own; });
  return before < kCandidatesPerLease;
}

void DutyManager::OnLeaseRows(const std::vector<std::string>& names, const ReadResult& read) {
  const TimePoint now = m_scheduler->clock().Now();
  for (size_t i = 0; read.ok && i < names.size(); ++i) {
    const auto it = m_entries.find(names[i]);
    if (it != m_entries.end()) {
      it->second.lease->OnRow(read.rows[i], now);
    }
  }
  UpdateAll();
}

void DutyManager::UpdateAll() {
  const TimePoint now = m_scheduler->clock().Now();
  for (auto& [name, entry] : m_entries) {
    NotifyDuty(&entry, now);
    if (!entry.releasing && entry.lease->IsRecordedHolder() && !CanRun(entry)) {
      entry.releasing = true;
      entry.duty->Stop();
    }
    if (entry.releasing) {
      ReleaseIfIdle(&entry, now);
    } else {
      AcquireIfDue(&entry, now);
    }
  }
  if (m_draining) {
    CheckDrained();
    return;
  }
  ReleaseExcess();
  // Leases that are released for balance wait for the next tick, since nobody carries the duty out for a while.
  const bool is_unable = std::any_of(m_entries.begin(), m_entries.end(), [](const auto& entry) {
    return entry.second.releasing && entry.second.lease->IsRecordedHolder() && !CanRun(entry.second);
  });
  m_release_timer = is_unable ? m_scheduler->After(kDrainPollInterval, [this] { UpdateAll(); }) : nullptr;
}

void DutyManager::CheckDrained() {
  const bool done = std::none_of(m_entries.begin(), m_entries.end(), [](const auto& entry) {
    return entry.second.lease->IsRecordedHolder() || entry.second.lease->IsWritePending();
  });
  if (done && m_drained_callback) {
    const std::function<void()> drained = std::move(m_drained_callback);
    m_drained_callback = nullptr;
    drained();
  }
}

// A lease that expired and was acquired again counts as a new lease: the duty reads its state again.
void DutyManager::NotifyDuty(Entry* entry, TimePoint now) {
  const bool held = entry->lease->IsHeld(now);
  if (held == entry->notified_held) {
    return;
  }
  entry->notified_held = held;
  Log(held ? LogEvent::kLeaseAcquired : LogEvent::kLeaseLost,
      entry->lease->duty() + " epoch " + std::to_string(entry->lease->epoch()));
  if (held) {
    entry->duty->OnAcquired(entry->lease.get());
  } else {
    entry->duty->OnLost();
  }
}

void DutyManager::ReleaseIfIdle(Entry* entry, TimePoint now) {
  if (entry->lease->IsRecordedHolder()) {
    if (entry->duty->IsIdle()) {
      entry->lease->Release();
      NotifyDuty(entry, now);
    }
    return;
  }
  entry->releasing = m_draining;
}

// Without a recent read, the row seems unchanged even if its holder renews it, so it does not show whether the holder
// is alive.
void DutyManager::AcquireIfDue(Entry* entry, TimePoint now) {
  if (!entry->row_read) {
    return;
  }
  if (!CanRun(*entry) || !entry->lease->CanAcquire(now)) {
    entry->seen_available = false;
    return;
  }
  if (!entry->seen_available) {
    entry->seen_available = true;
    entry->available_since = now;
  }
  const bool within_share = HeldCount() + PendingAcquireCount() < FairShare();
  if (within_share || now - entry->available_since >= m_options.renewal * kUnclaimedLeaseGraceRenewals) {
    entry->lease->Acquire();
  }
}

// Releases one lease at a time while this process has more than its fair share, so that another instance can acquire it
// before the next one is released.
void DutyManager::ReleaseExcess() {
  for (const auto& [name, entry] : m_entries) {
    if (entry.releasing) {
      return;
    }
  }
  if (HeldCount() <= FairShare()) {
    return;
  }
  const TimePoint now = m_scheduler->clock().Now();
  // A duty that some instances may be unable to carry out is released last, since they would not acquire it.
  for (const bool restricted : {false, true}) {
    for (auto& [name, entry] : m_entries) {
      if (entry.lease->IsHeld(now) && (entry.can_run != nullptr) == restricted) {
        entry.releasing = true;
        entry.duty->Stop();
        return;
      }
    }
  }
}

}  // namespace quetzalridge
