#include "coordination/duty_manager.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

// A duty that stays free this long is taken even by an instance that has its fair share already.
constexpr int64_t kGraceInRenewals = 3;
// While draining, idle duties are looked for this often.
constexpr Duration kDrainPoll = Duration::Milliseconds(200);

// Up to this many instances, each reads the rows of all leases. Beyond, each lease has as many candidates, and the
// others read its row seldom: 38 rows in 3 s cost each of 360 nodes 2.7 KB/s, more than its whole budget.
constexpr int kCandidates = 32;
// In ticks. Finds the leases whose candidates are all gone, and those that the candidates cannot reach.
constexpr int64_t kReadIntervalOfOthers = 10;

}  // namespace

DutyManager::DutyManager(TableStore* store, Scheduler* scheduler, DutyManagerOptions options)
    : m_store(store), m_scheduler(scheduler), m_options(std::move(options)) {}

void DutyManager::AddDuty(const std::string& name, Duty* duty) {
  Entry& entry = m_entries[name];
  entry = {};
  entry.duty = duty;
  entry.lease = std::make_unique<Lease>(m_store, m_scheduler, m_options.lease, name);
  entry.lease->SetChangedCallback([this] { ReviewAll(); });
}

void DutyManager::RemoveDuty(const std::string& name) {
  const auto it = m_entries.find(name);
  if (it == m_entries.end()) {
    return;
  }
  it->second.duty->Stop();
  // A release that is lost on the way leaves the lease to lapse.
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
  m_drained = std::move(callback);
  for (auto& [name, entry] : m_entries) {
    entry.stopping = true;
    entry.duty->Stop();
  }
  Tick();
  ReviewAll();
}

int DutyManager::HeldCount() const {
  const TimePoint now = m_scheduler->clock().Now();
  return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
    return entry.second.lease->IsHeld(now) && !entry.second.stopping;
  }));
}

// Bids whose outcome is open count as held, or one tick would bid for everything.
int DutyManager::BidCount() const {
  return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto& entry) {
    return entry.second.lease->busy() && !entry.second.lease->IsRecorded();
  }));
}

int DutyManager::FairShare() const {
  const int instances = m_instance_count ? std::max(m_instance_count(), 1) : 1;
  return (static_cast<int>(m_entries.size()) + instances - 1) / instances;
}

// One read for all duties, so that the load on the table does not grow with their number.
void DutyManager::Tick() {
  m_timer = m_scheduler->After(m_draining ? kDrainPoll : m_options.renewal, [this] { Tick(); });
  const TimePoint now = m_scheduler->clock().Now();
  const std::vector<std::string> members = m_members ? m_members() : std::vector<std::string>();
  const bool reads_all = m_draining || m_ticks++ % kReadIntervalOfOthers == 0;
  std::vector<std::string> names;
  std::vector<std::string> keys;
  for (auto& [name, entry] : m_entries) {
    Tell(&entry, now);
    if (!entry.stopping) {
      entry.lease->Renew();
    }
    entry.row_read = reads_all || entry.lease->IsRecorded() || IsCandidate(name, members);
    if (entry.row_read) {
      names.push_back(name);
      keys.push_back(entry.lease->key());
    }
  }
  if (keys.empty()) {
    ReviewAll();
    return;
  }
  m_store->Read(std::move(keys),
                [this, names = std::move(names), alive = std::weak_ptr<bool>(m_alive)](const ReadResult& read) {
                  if (!alive.expired()) {
                    OnRows(names, read);
                  }
                });
}

// Rendezvous hashing: the candidates of a duty are the instances with the highest hashes of its name and their own.
bool DutyManager::IsCandidate(const std::string& duty, const std::vector<std::string>& members) const {
  if (static_cast<int>(members.size()) <= kCandidates) {
    return true;
  }
  const uint64_t seed = Hash64(duty);
  const uint64_t own = Hash64(m_own_id, seed);
  const auto before = std::count_if(members.begin(), members.end(),
                                    [&](const std::string& member) { return Hash64(member, seed) > own; });
  return before < kCandidates;
}

void DutyManager::OnRows(const std::vector<std::string>& names, const ReadResult& read) {
  const TimePoint now = m_scheduler->clock().Now();
  for (size_t i = 0; read.ok && i < names.size(); ++i) {
    const auto it = m_entries.find(names[i]);
    if (it != m_entries.end()) {
      it->second.lease->OnRow(read.rows[i], now);
    }
  }
  ReviewAll();
}

void DutyManager::ReviewAll() {
  const TimePoint now = m_scheduler->clock().Now();
  for (auto& [name, entry] : m_entries) {
    Tell(&entry, now);
    if (entry.stopping) {
      ReviewRelease(&entry, now);
    } else {
      ReviewBid(&entry, now);
    }
  }
  if (m_draining) {
    CheckDrained();
  } else {
    GiveUpExcess();
  }
}

void DutyManager::CheckDrained() {
  const bool done = std::none_of(m_entries.begin(), m_entries.end(), [](const auto& entry) {
    return entry.second.lease->IsRecorded() || entry.second.lease->busy();
  });
  if (done && m_drained) {
    const std::function<void()> drained = std::move(m_drained);
    m_drained = nullptr;
    drained();
  }
}

// A lapsed lease that is regained counts as a new one: the duty reads its state again.
void DutyManager::Tell(Entry* entry, TimePoint now) {
  const bool held = entry->lease->IsHeld(now);
  if (held == entry->told_held) {
    return;
  }
  entry->told_held = held;
  Log(held ? LogEvent::kLeaseAcquired : LogEvent::kLeaseLost,
      entry->lease->duty() + " epoch " + std::to_string(entry->lease->epoch()));
  if (held) {
    entry->duty->OnAcquired(entry->lease.get());
  } else {
    entry->duty->OnLost();
  }
}

void DutyManager::ReviewRelease(Entry* entry, TimePoint now) {
  if (entry->lease->IsRecorded()) {
    if (entry->duty->IsIdle()) {
      entry->lease->Release();
      Tell(entry, now);
    }
    return;
  }
  entry->stopping = m_draining;
}

// A row that was read long ago seems unchanged, so it says nothing about its holder.
void DutyManager::ReviewBid(Entry* entry, TimePoint now) {
  if (!entry->row_read) {
    return;
  }
  if (!entry->lease->CanAcquire(now)) {
    entry->free_seen = false;
    return;
  }
  if (!entry->free_seen) {
    entry->free_seen = true;
    entry->free_since = now;
  }
  const bool within_share = HeldCount() + BidCount() < FairShare();
  if (within_share || now - entry->free_since >= m_options.renewal * kGraceInRenewals) {
    entry->lease->Acquire();
  }
}

// Gives up one duty at a time, so that the others have taken it before the next one follows.
void DutyManager::GiveUpExcess() {
  for (const auto& [name, entry] : m_entries) {
    if (entry.stopping) {
      return;
    }
  }
  if (HeldCount() <= FairShare()) {
    return;
  }
  const TimePoint now = m_scheduler->clock().Now();
  for (auto& [name, entry] : m_entries) {
    if (entry.lease->IsHeld(now)) {
      entry.stopping = true;
      entry.duty->Stop();
      return;
    }
  }
}

}  // namespace quetzalridge
