#include "coordination/batch_coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

// Interval at which jobs are listed and the rows of owned and watched jobs are read again.
constexpr Duration kTickInterval = Duration::Milliseconds(700);
// Longest time between two attempts to start waiting items; most attempts are triggered by an event.
constexpr Duration kStartItemsInterval = Duration::Milliseconds(50);
// This many instances, the first in the takeover order of a job, read its rows at each tick and watch its owner. With
// four of them, a job gets a new owner at once unless more than half of the instances have stopped.
constexpr int kWatchersPerJob = 4;
// Interval at which all other instances read the rows of a job, to learn of its end and of new owners.
constexpr Duration kRemoteJobRefreshInterval = Duration::Seconds(3);
// With many instances the interval grows by this much per instance, so that all instances together read an open job at
// most 25 times per second.
constexpr Duration kRemoteJobRefreshPerInstance = Duration::Milliseconds(40);
// An instance waits this long, which is one tick, for each instance that precedes it in the takeover order of a job.
constexpr Duration kTakeoverDelayPerRank = Duration::Milliseconds(700);
// The size of jobs submitted within this time predicts how many slots the next jobs need.
constexpr Duration kRecentJobWindow = Duration::Seconds(60);
// Number of jobs of each model whose version lag is kept.
constexpr size_t kMaxVersionLagSamples = 5;
// Added to the retention, since the clocks of instances differ and a caller may read at the last moment.
constexpr Duration kRetentionMargin = Duration::Seconds(60);
constexpr int kRowsPerScan = 400;
// See the constants of the same meaning in batch_runner.cc for the limits of a row and of a transaction.
constexpr size_t kMaxRowBytes = 48'000;
constexpr size_t kMaxChunksPerTransaction = 12;
// The items of a job of another instance are kept for readers of bodies if they are in at most this many rows.
constexpr size_t kMaxKeptItemRows = 40;
// Partial texts are kept this long, since a trainer submits unfinished items again in one of its next steps.
constexpr Duration kPartialTextLifetime = Duration::Seconds(120);
constexpr int kMaxRowsPerRemoval = 90;
// Each row takes an entry for its check and one for its removal.
constexpr size_t kMaxCheckedRemovals = kMaxRowsPerRemoval / 2;
constexpr size_t kMaxPageBytes = 700'000;
// Interval at which an instance that does not own a job polls the table for a waiting reader. It is short because a
// training step ends only when the trainer has read the last result.
constexpr Duration kResultPollInterval = Duration::Milliseconds(100);
// Interval at which a drain checks whether appends have finished; the table responds within a few milliseconds.
constexpr Duration kDrainPollInterval = Duration::Milliseconds(10);
constexpr int kRandomIdBytes = 8;
// Reads of results and item bodies that callers trigger. Each may take several MB, as the store's response, as decoded
// rows and as the caller's page. An instance serves few callers of batch jobs, so that ordinary ones rarely wait.
constexpr size_t kMaxCallerReads = 2;
constexpr size_t kMaxWaitingCallerReads = 256;

// Whether callers of the workspace may read and end the job. A job without a workspace is from a public route of an
// earlier version, or from before the configuration had workspaces. Whose it is is not known, and to refuse everyone
// would lose it.
bool MayAccess(const std::string& workspace, const BatchSpec& job) {
  return job.workspace.empty() || job.workspace == workspace;
}

}  // namespace

BatchCoordinator::BatchCoordinator(BatchContext context, FleetCallbacks fleet, Duration retention)
    : m_context(std::move(context)),
      m_fleet(std::move(fleet)),
      m_retention(retention),
      m_resolving_store(m_context.store, m_context.scheduler),
      m_caller_reads(kMaxCallerReads, kMaxWaitingCallerReads),
      m_reward_calls(MakeRewardCallContext(), Hash64(m_context.incarnation)) {
  m_context.reward_calls = &m_reward_calls;
}

RewardCallContext BatchCoordinator::MakeRewardCallContext() {
  RewardCallContext context;
  context.scheduler = m_context.scheduler;
  context.routes = m_context.routes;
  context.endpoints = m_context.endpoints;
  context.caller = m_context.caller;
  context.permits = m_context.permits;
  context.policy =
      m_context.reward_call_policy == nullptr ? &m_default_reward_call_policy : m_context.reward_call_policy;
  context.zone = m_context.zone;
  context.instances = [this] { return CountOwners(); };
  context.calls_ready = [this] { ScheduleStartItems(); };
  return context;
}

int BatchCoordinator::CountOwners() const {
  std::set<std::string> owners;
  for (const auto& [id, job] : m_jobs) {
    if (job.IsOpen()) {
      owners.insert(job.rows.owner.instance);
    }
  }
  return static_cast<int>(owners.size());
}

void BatchCoordinator::Start() {
  Tick();
  StartWaitingItems();
}

int BatchCoordinator::owned_jobs() const {
  return static_cast<int>(
      std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& entry) { return entry.second.runner != nullptr; }));
}

int64_t BatchCoordinator::VersionLag(const std::string& model) const {
  const auto found = m_version_lags.find(model);
  if (found == m_version_lags.end()) {
    return 0;
  }
  std::vector<int64_t> lags(found->second.begin(), found->second.end());
  std::nth_element(lags.begin(), lags.begin() + static_cast<std::ptrdiff_t>(lags.size() / 2), lags.end());
  return lags[lags.size() / 2];
}

void BatchCoordinator::RecordVersionLag(const BatchSpec& spec) {
  if (spec.newest_version == 0) {
    return;
  }
  std::deque<int64_t>& lags = m_version_lags[spec.model];
  lags.push_back(std::max<int64_t>(spec.newest_version - spec.oldest_version, 0));
  if (lags.size() > kMaxVersionLagSamples) {
    lags.pop_front();
  }
}

std::set<std::string> BatchCoordinator::OwnersOfOpenJobs(const std::string& model) const {
  std::set<std::string> owners;
  for (const auto& [id, job] : m_jobs) {
    if (job.IsOpen() && job.rows.head.spec.model == model && !job.rows.owner.instance.empty()) {
      owners.insert(job.rows.owner.instance);
    }
  }
  return owners;
}

int BatchCoordinator::LargestRecentJobSize(const std::string& model) const {
  size_t largest = 0;
  for (const auto& [id, job] : m_jobs) {
    const BatchSpec& spec = job.rows.head.spec;
    if (spec.model == model && m_context.wall_ms() - spec.submitted_at_ms < kRecentJobWindow.ms()) {
      largest = std::max(largest, job.rows.head.item_count);
    }
  }
  return static_cast<int>(largest);
}

void BatchCoordinator::Tick() {
  m_tick_timer = m_context.scheduler->After(kTickInterval, [this] { Tick(); });
  m_context.store->ListPartitions(kBatchTable,
                                  m_guard.Wrap([this](const PartitionsResult& result) { OnPartitions(result); }));
  const Duration refresh_interval = std::max(
      kRemoteJobRefreshInterval, kRemoteJobRefreshPerInstance * static_cast<int64_t>(m_fleet.live_instances().size()));
  std::vector<std::string> jobs_to_refresh;
  std::vector<std::string> expired;
  for (auto& [id, job] : m_jobs) {
    if (IsExpired(job) && !job.removing && TakeoverRank(id, m_fleet.live_instances(), "") == 0) {
      expired.push_back(id);
    }
    if (job.runner != nullptr && job.runner->IsDone() && job.runner->HasNoPendingAppend()) {
      RemoveRunner(&job, job.runner->ownership_lost() ? "taken over" : "done");
    }
    const int rank = job.IsOpen() ? TakeoverRank(id, job) : -1;
    const bool is_watcher = rank >= 0 && rank < kWatchersPerJob;
    if (job.runner != nullptr || is_watcher || (job.IsOpen() && Now() - job.read_at >= refresh_interval)) {
      jobs_to_refresh.push_back(id);
    }
  }
  for (const std::string& id : jobs_to_refresh) {
    RefreshJob(id);
  }
  for (const std::string& id : expired) {
    RemoveExpired(id);
  }
  CheckOwners();
}

void BatchCoordinator::CheckOwners() {
  std::set<std::string> owners;
  for (const auto& [id, job] : m_jobs) {
    const std::string& owner = job.rows.owner.instance;
    if (!job.IsOpen() || job.runner != nullptr || owner.empty() || owner == m_context.instance) {
      continue;
    }
    const int rank = TakeoverRank(id, job);
    if (rank >= 0 && rank < kWatchersPerJob) {
      owners.insert(owner);
    }
  }
  if (m_fleet.watch_owners) {
    m_fleet.watch_owners(owners);
  }
  for (auto& [id, job] : m_jobs) {
    CheckOwner(id, &job);
  }
}

void BatchCoordinator::OnPartitions(const PartitionsResult& result) {
  if (!result.ok) {
    return;
  }
  std::set<std::string> stored_ids;
  for (const std::string& partition : result.partitions) {
    const std::string id = JobIdOfPartition(partition);
    stored_ids.insert(id);
    if (m_jobs.count(id) == 0) {
      RefreshJob(id);
    }
  }
  // Forgets jobs that another instance has removed from the table.
  for (auto it = m_jobs.begin(); it != m_jobs.end();) {
    const bool gone = stored_ids.count(it->first) == 0 && IsExpired(it->second) && !it->second.removing;
    it = gone ? m_jobs.erase(it) : std::next(it);
  }
}

bool BatchCoordinator::IsExpired(const Job& job) const {
  const int64_t age_ms = m_context.wall_ms() - job.rows.head.spec.submitted_at_ms;
  return !job.IsOpen() && job.runner == nullptr && age_ms > (m_retention + kRetentionMargin).ms();
}

// Rows of the partition that holds the head are removed last: ListPartitions finds a job by them, so an interrupted
// removal is found and resumed.
void BatchCoordinator::RemoveExpired(const std::string& id) {
  m_jobs.at(id).removing = true;
  RemoveRows(BatchResultsPrefix(id), [this, id] {
    const auto job = m_jobs.find(id);
    if (job == m_jobs.end()) {
      return;
    }
    RemoveRows(BatchItemsPrefix(id, job->second.rows.head.submission), [this, id] {
      RemoveRows(BatchTextsPrefix(id), [this, id] { RemoveRows(BatchPrefix(id), [this, id] { m_jobs.erase(id); }); });
    });
  });
}

// After a failed read or write, a later tick removes the remaining rows.
void BatchCoordinator::RemoveRows(const std::string& prefix, const std::function<void()>& callback) {
  m_context.store->Scan(prefix, "", kMaxRowsPerRemoval, m_guard.Wrap([this, prefix, callback](const ReadResult& read) {
    if (!read.ok) {
      AbortRemovals();
      return;
    }
    if (read.rows.empty()) {
      callback();
      return;
    }
    TableTransaction transaction;
    transaction.id = RandomHex(kRandomIdBytes);
    for (const TableRow& row : read.rows) {
      transaction.writes.push_back({row.key, std::nullopt});
    }
    m_context.store->Transact(std::move(transaction),
                              m_guard.Wrap([this, prefix, callback](const TransactResult& result) {
                                if (result.outcome != TransactOutcome::kCommitted) {
                                  AbortRemovals();
                                  return;
                                }
                                RemoveRows(prefix, callback);
                              }));
  }));
}

void BatchCoordinator::AbortRemovals() {
  for (auto& [id, job] : m_jobs) {
    job.removing = false;
  }
}

void BatchCoordinator::RefreshJob(const std::string& id) {
  const auto known = m_jobs.find(id);
  if (known != m_jobs.end()) {
    if (known->second.reading) {
      return;
    }
    known->second.reading = true;
  }
  m_context.store->Scan(BatchPrefix(id), "", kRowsPerScan,
                        m_guard.Wrap([this, id, read_at = Now()](const ReadResult& read) {
                          const auto job = m_jobs.find(id);
                          if (job != m_jobs.end()) {
                            job->second.reading = false;
                            if (!read.ok && job->second.runner != nullptr) {
                              job->second.runner->OnTableUnreachable(read_at);
                            }
                          }
                          OnJobRows(id, read_at, read);
                        }));
}

void BatchCoordinator::OnJobRows(const std::string& id, TimePoint read_at, const ReadResult& read) {
  bool malformed = false;
  std::optional<BatchRows> rows = read.ok ? ReadBatchRows(read.rows, &malformed) : std::nullopt;
  if (!rows.has_value()) {
    return;
  }
  const auto [entry, is_new] = m_jobs.try_emplace(id);
  Job& job = entry->second;
  if (is_new) {
    RecordVersionLag(rows->head.spec);
  }
  if (job.runner != nullptr) {
    job.runner->OnRows(*rows, read_at);
  }
  // Reads may finish out of order. Row versions only grow, so a lower version shows an outdated read.
  if (is_new || rows->owner_version >= job.rows.owner_version) {
    const bool ended = job.rows.ended || rows->ended;
    if (is_new || rows->owner_version > job.rows.owner_version) {
      job.orphaned_at.reset();
      job.owner_seen_at = Now();
      // A load in progress relies on an earlier owner row.
      job.load_number = 0;
    }
    job.rows = std::move(*rows);
    job.rows.ended = ended;
  }
  job.read_at = std::max(job.read_at, read_at);
  CheckOwner(id, &job);
}

bool BatchCoordinator::IsThisProcess(const BatchOwner& owner) const {
  return owner.instance == m_context.instance && owner.incarnation == m_context.incarnation;
}

void BatchCoordinator::CheckOwner(const std::string& id, Job* job) {
  if (m_draining || job->runner != nullptr || job->load_number != 0 || !job->IsOpen()) {
    job->orphaned_at.reset();
    return;
  }
  const BatchOwner& owner = job->rows.owner;
  if (IsThisProcess(owner)) {
    LoadAndRun(id, job);
    return;
  }
  if (job->claiming) {
    return;
  }
  if (m_fleet.is_owner_alive(owner, job->owner_seen_at)) {
    job->orphaned_at.reset();
    return;
  }
  if (!job->orphaned_at.has_value()) {
    job->orphaned_at = Now();
  }
  const int rank = TakeoverRank(id, *job);
  if (rank >= 0 && Now() - *job->orphaned_at >= kTakeoverDelayPerRank * rank) {
    TakeOver(id, job);
  }
}

// Rendezvous hashing spreads the jobs of a lost instance over the others, and gives each job one instance that tries
// first.
int BatchCoordinator::TakeoverRank(const std::string& id, const std::vector<std::string>& live,
                                   const std::string& excluded) const {
  if (std::find(live.begin(), live.end(), m_context.instance) == live.end()) {
    return -1;
  }
  const uint64_t seed = Hash64(id);
  const uint64_t own_hash = Hash64(m_context.instance, seed);
  return static_cast<int>(std::count_if(live.begin(), live.end(), [&](const std::string& instance) {
    return instance != excluded && Hash64(instance, seed) > own_hash;
  }));
}

// An instance that has restarted knows at once that its previous process has stopped, so it takes its own jobs first.
int BatchCoordinator::TakeoverRank(const std::string& id, const Job& job) const {
  const BatchOwner& owner = job.rows.owner;
  const std::string& excluded = owner.instance.empty() ? owner.released_by : owner.instance;
  const int rank = TakeoverRank(id, PossibleOwners(job.rows.head.spec), excluded);
  return rank >= 0 && owner.instance == m_context.instance ? 0 : rank;
}

void BatchCoordinator::TakeOver(const std::string& id, Job* job) {
  job->claiming = true;
  BatchOwner owner;
  owner.instance = m_context.instance;
  owner.incarnation = m_context.incarnation;
  owner.epoch = job->rows.owner.epoch + 1;
  const std::string key = BatchOwnerKey(id);
  TableTransaction transaction;
  transaction.id = RandomHex(kRandomIdBytes);
  transaction.checks = {{key, job->rows.owner_version}};
  transaction.writes = {{key, EncodeBatchOwner(owner)}};
  Log(LogEvent::kBatchOwned, {{"job", id},
                              {"step", "claiming"},
                              {"previous_owner", job->rows.owner.instance},
                              {"epoch", std::to_string(owner.epoch)}});
  m_resolving_store.Transact(std::move(transaction), key, [this, id, owner](const TransactResult& result) {
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
      return;
    }
    Job& claimed = found->second;
    claimed.claiming = false;
    if (result.outcome != TransactOutcome::kCommitted) {
      RefreshJob(id);
      return;
    }
    // A read of the rows may have returned the new owner before the response to this write arrived.
    if (claimed.runner == nullptr && claimed.load_number == 0 && claimed.rows.owner_version <= result.revision) {
      claimed.rows.owner = owner;
      claimed.rows.owner_version = result.revision;
      LoadAndRun(id, &claimed);
    }
  });
}

std::shared_ptr<BatchCoordinator::Load> BatchCoordinator::BeginLoad(const std::string& id, Job* job) {
  auto load = std::make_shared<Load>(m_context.client_memory);
  load->id = id;
  load->number = ++m_last_load_number;
  load->rows = job->rows;
  job->load_number = load->number;
  return load;
}

BatchCoordinator::Job* BatchCoordinator::FindLoadedJob(const Load& load) {
  const auto found = m_jobs.find(load.id);
  Job* job = found == m_jobs.end() ? nullptr : &found->second;
  const bool is_current = job != nullptr && job->load_number == load.number &&
                          job->rows.owner_version == load.rows.owner_version && !job->rows.ended && !m_draining;
  if (is_current) {
    return job;
  }
  Log(LogEvent::kBatchOwned, {{"job", load.id},
                              {"step", "load dropped"},
                              {"epoch", std::to_string(load.rows.owner.epoch)},
                              {"known_epoch", job == nullptr ? "-" : std::to_string(job->rows.owner.epoch)}});
  AbortLoad(load);
  return nullptr;
}

// If this process still owns the job, the next tick loads it again.
void BatchCoordinator::AbortLoad(const Load& load) {
  const auto found = m_jobs.find(load.id);
  if (found != m_jobs.end() && found->second.load_number == load.number) {
    found->second.load_number = 0;
  }
}

// Reads the rows after this process became the owner, so that no write of the previous owner is missed.
void BatchCoordinator::LoadAndRun(const std::string& id, Job* job) {
  const std::shared_ptr<Load> load = BeginLoad(id, job);
  m_context.store->Scan(
      BatchPrefix(id), "", kRowsPerScan,
      m_guard.Wrap([this, load, read_at = Now()](const ReadResult& read) { OnLoadRows(load, read_at, read); }));
}

void BatchCoordinator::OnLoadRows(const std::shared_ptr<Load>& load, TimePoint read_at, const ReadResult& read) {
  Job* job = FindLoadedJob(*load);
  if (job == nullptr) {
    return;
  }
  bool malformed = false;
  std::optional<BatchRows> rows = read.ok ? ReadBatchRows(read.rows, &malformed) : std::nullopt;
  if (!rows.has_value() || rows->owner_version != load->rows.owner_version || rows->ended) {
    AbortLoad(*load);
    RefreshJob(load->id);
    return;
  }
  job->rows = *rows;
  load->rows = std::move(*rows);
  load->confirmed_at = read_at;
  LoadItems(load->rows.head, std::nullopt, [this, load](const std::shared_ptr<std::vector<BatchItem>>& items) {
    if (FindLoadedJob(*load) == nullptr) {
      return;
    }
    if (items == nullptr) {
      AbortLoad(*load);
      return;
    }
    load->items = std::move(*items);
    load->memory.Record(JobMemoryBytes(load->items));
    ScanAll(BatchTextsPrefix(load->id), "", std::make_shared<std::vector<TableRow>>(),
            [this, load](const std::shared_ptr<std::vector<TableRow>>& text_rows) {
              if (FindLoadedJob(*load) == nullptr) {
                return;
              }
              if (text_rows == nullptr) {
                AbortLoad(*load);
                return;
              }
              load->complete_texts = DecodePartialTextRows(*text_rows);
              LoadPartialTextsAndRun(load);
            });
  });
}

void BatchCoordinator::LoadItems(const BatchHead& head, std::optional<std::string> only_item,
                                 const ItemsCallback& callback) {
  LoadItemsAfter(BatchItemsPrefix(head.spec.id, head.submission), "",
                 std::make_shared<BatchItemsDecoder>(std::move(only_item)), callback);
}

void BatchCoordinator::LoadItemsAfter(const std::string& prefix, const std::string& after,
                                      const std::shared_ptr<BatchItemsDecoder>& decoder,
                                      const ItemsCallback& callback) {
  m_context.store->Scan(prefix, after, kRowsPerScan,
                        m_guard.Wrap([this, prefix, decoder, callback](const ReadResult& read) {
                          if (!read.ok) {
                            callback(nullptr);
                            return;
                          }
                          std::string bytes;
                          for (const TableRow& row : read.rows) {
                            bytes += row.value;
                          }
                          decoder->Add(bytes);
                          if (read.has_more && !read.rows.empty()) {
                            LoadItemsAfter(prefix, read.rows.back().key, decoder, callback);
                            return;
                          }
                          std::optional<std::vector<BatchItem>> items = decoder->Finish();
                          if (!items.has_value()) {
                            Log(LogEvent::kBatchRowMalformed, {{"rows", prefix}});
                            callback(nullptr);
                            return;
                          }
                          callback(std::make_shared<std::vector<BatchItem>>(std::move(*items)));
                        }));
}

void BatchCoordinator::ScanAll(const std::string& prefix, const std::string& after,
                               const std::shared_ptr<std::vector<TableRow>>& rows,
                               const std::function<void(const std::shared_ptr<std::vector<TableRow>>&)>& callback) {
  m_context.store->Scan(prefix, after, kRowsPerScan,
                        m_guard.Wrap([this, prefix, rows, callback](const ReadResult& read) {
                          if (!read.ok) {
                            callback(nullptr);
                            return;
                          }
                          rows->insert(rows->end(), read.rows.begin(), read.rows.end());
                          if (read.has_more && !read.rows.empty()) {
                            ScanAll(prefix, read.rows.back().key, rows, callback);
                            return;
                          }
                          callback(rows);
                        }));
}

void BatchCoordinator::LoadPartialTextsAndRun(const std::shared_ptr<Load>& load) {
  const std::string prefix = PartialTextPrefix(load->rows.head.spec.model);
  m_context.store->Scan(prefix, "", kRowsPerScan, m_guard.Wrap([this, load](const ReadResult& read) {
    Job* job = FindLoadedJob(*load);
    if (job == nullptr) {
      return;
    }
    // If the read failed, there are no rows, and all items are generated from the beginning.
    RemovePartialTexts(read.rows, load->items);
    StartRunner(load.get(), job, DecodePartialTextRows(read.rows));
  }));
}

// Removes the partial texts that this job uses, and those that expired because no job used them.
void BatchCoordinator::RemovePartialTexts(const std::vector<TableRow>& rows, const std::vector<BatchItem>& items) {
  std::set<std::string> known;
  for (const BatchItem& item : items) {
    known.insert(item.id);
  }
  std::set<std::string> done;
  for (const PartialText& partial : DecodePartialTextRows(rows)) {
    const bool expired = m_context.wall_ms() - partial.stored_at_ms > kPartialTextLifetime.ms();
    if (expired || known.count(partial.item) > 0) {
      done.insert(partial.item);
    }
  }
  // The checks keep texts that another process has stored meanwhile: the owner row is in another partition, so this
  // transaction cannot check the ownership of the job.
  TableTransaction transaction;
  transaction.id = RandomHex(kRandomIdBytes);
  for (const TableRow& row : rows) {
    const std::string name = SplitTableKey(row.key).name;
    if (done.count(name.substr(0, name.find('.'))) > 0 && transaction.writes.size() < kMaxCheckedRemovals) {
      transaction.checks.push_back({row.key, row.version});
      transaction.writes.push_back({row.key, std::nullopt});
    }
  }
  if (!transaction.writes.empty()) {
    // If the removal fails, the next job of the model removes the texts.
    m_context.store->Transact(std::move(transaction), [](const TransactResult&) {});
  }
}

void BatchCoordinator::StartRunner(Load* load, Job* job, const std::vector<PartialText>& texts) {
  Log(LogEvent::kBatchOwned, {{"job", load->id},
                              {"step", "running"},
                              {"epoch", std::to_string(load->rows.owner.epoch)},
                              {"items", std::to_string(load->items.size())},
                              {"listed", std::to_string(load->rows.result_list.item_indices.size())},
                              {"model", load->rows.head.spec.model},
                              {"oldest_version", std::to_string(load->rows.head.spec.oldest_version)}});
  job->load_number = 0;
  job->items.reset();
  job->runner =
      std::make_unique<BatchRunner>(&m_context, std::move(load->rows), std::move(load->items), load->confirmed_at);
  if (!load->complete_texts.empty()) {
    job->runner->RestoreCompleteTexts(load->complete_texts);
  }
  job->runner->RestorePartialTexts(texts);
  job->runner->SetItemsReadyCallback([this] { ScheduleStartItems(); });
  StartWaitingItems();
}

void BatchCoordinator::ScheduleStartItems() {
  if (m_start_items_timer == nullptr || !m_start_items_scheduled) {
    m_start_items_scheduled = true;
    m_start_items_timer = m_context.scheduler->After(Duration(), [this] { StartWaitingItems(); });
  }
}

void BatchCoordinator::RemoveRunner(Job* job, const char* reason) {
  Log(LogEvent::kBatchOwnerLost, {{"job", job->rows.head.spec.id},
                                  {"reason", reason},
                                  {"listed", std::to_string(job->runner->stored_count())},
                                  {"of", std::to_string(job->runner->progress().size())}});
  job->rows.ended = job->rows.ended || job->runner->ended();
  if (!job->runner->ownership_lost()) {
    job->rows.result_list = job->runner->result_list();
  }
  job->runner.reset();
}

// Starts one item of each job in turn, so that jobs share the free slots.
void BatchCoordinator::StartWaitingItems() {
  m_start_items_scheduled = false;
  m_start_items_timer = m_context.scheduler->After(kStartItemsInterval, [this] { StartWaitingItems(); });
  for (auto& [id, job] : m_jobs) {
    if (job.runner != nullptr) {
      job.runner->MoveStragglers();
      job.runner->CheckpointTexts();
    }
  }
  bool started = true;
  while (started) {
    started = false;
    for (auto& [id, job] : m_jobs) {
      started = (job.runner != nullptr && job.runner->StartNextItem()) || started;
    }
  }
  m_reward_calls.StartWaiting();
}

BatchCoordinator::Submission::Submission(BatchSpec submitted, MemoryBudget* budget)
    : spec(std::move(submitted)),
      id(RandomHex(kRandomIdBytes)),
      encoder(&spec.items),
      memory(budget, HolderKind::kJob, nullptr) {
  memory.SetProtected(true);
  memory.Record(JobMemoryBytes(spec.items));
}

void BatchCoordinator::Submit(BatchSpec spec, Duration timeout, std::function<void(SubmitOutcome)> callback) {
  if (m_jobs.count(spec.id) > 0) {
    OnRepeatedSubmission(spec.id, spec.workspace, callback);
    return;
  }
  // The callback runs once: with the outcome, or when the timeout expires.
  auto pending_callback = std::make_shared<std::function<void(SubmitOutcome)>>(std::move(callback));
  const uint64_t timer = m_next_timer++;
  const auto respond_once = [this, pending_callback, timer](SubmitOutcome outcome) {
    const std::unique_ptr<Timer> ended = std::move(m_timers[timer]);
    m_timers.erase(timer);
    if (*pending_callback) {
      const std::function<void(SubmitOutcome)> function = std::move(*pending_callback);
      *pending_callback = nullptr;
      function(outcome);
    }
  };
  m_timers[timer] = m_context.scheduler->After(timeout, [respond_once] { respond_once(SubmitOutcome::kUnknown); });
  const std::pair<std::string, std::string> key(spec.id, spec.workspace);
  const auto in_progress = m_submissions.find(key);
  if (in_progress != m_submissions.end()) {
    in_progress->second->callbacks.push_back(respond_once);
    return;
  }
  const auto submission = std::make_shared<Submission>(std::move(spec), m_context.client_memory);
  submission->callbacks.push_back(respond_once);
  m_submissions[key] = submission;
  StoreItems(submission);
}

// The last transaction also writes the head, which accepts the job. A job that fits into one transaction is stored by
// that transaction alone.
void BatchCoordinator::StoreItems(const std::shared_ptr<Submission>& submission) {
  TableTransaction transaction;
  transaction.id = RandomHex(kRandomIdBytes);
  const std::string& job = submission->spec.id;
  const std::string first_key = BatchItemsKey(job, submission->id, submission->item_rows);
  while (!submission->encoder.done() && transaction.writes.size() < kMaxChunksPerTransaction) {
    transaction.writes.push_back(
        {BatchItemsKey(job, submission->id, submission->item_rows++), submission->encoder.Next(kMaxRowBytes)});
  }
  if (submission->encoder.done()) {
    StoreHead(submission, std::move(transaction));
    return;
  }
  transaction.checks = {{first_key, 0}};
  m_resolving_store.Transact(std::move(transaction), first_key, [this, submission](const TransactResult& result) {
    if (result.outcome != TransactOutcome::kCommitted) {
      FinishSubmission(submission, SubmitOutcome::kRefused);
      return;
    }
    StoreItems(submission);
  });
}

void BatchCoordinator::StoreHead(const std::shared_ptr<Submission>& submission, TableTransaction transaction) {
  BatchRows rows;
  std::vector<BatchItem> items = std::move(submission->spec.items);
  rows.head.spec = submission->spec;
  submission->spec.items = std::move(items);
  rows.head.item_count = submission->spec.items.size();
  rows.head.item_rows = submission->item_rows;
  rows.head.submission = submission->id;
  rows.owner = m_draining ? NextOwner(rows.head.spec, 1) : BatchOwner{m_context.instance, m_context.incarnation, 1, ""};
  const std::string& job = submission->spec.id;
  transaction.checks = {{BatchHeadKey(job), 0}};
  transaction.writes.push_back({BatchHeadKey(job), EncodeBatchHead(rows.head)});
  transaction.writes.push_back({BatchOwnerKey(job), EncodeBatchOwner(rows.owner)});
  for (TableWrite& write : BatchResultListWrites(job, {}, 0)) {
    transaction.writes.push_back(std::move(write));
  }
  m_resolving_store.Transact(std::move(transaction), BatchHeadKey(job),
                             [this, submission, rows, sent_at = Now()](const TransactResult& result) {
                               OnHeadStored(submission, rows, sent_at, result);
                             });
}

void BatchCoordinator::OnHeadStored(const std::shared_ptr<Submission>& submission, const BatchRows& rows,
                                    TimePoint sent_at, const TransactResult& result) {
  const std::string& job = submission->spec.id;
  switch (result.outcome) {
    case TransactOutcome::kCommitted: {
      Log(LogEvent::kBatchAccepted, {{"job", job},
                                     {"items", std::to_string(submission->spec.items.size())},
                                     {"stored_ms", std::to_string((Now() - sent_at).ms())}});
      BatchRows stored = rows;
      stored.owner_version = result.revision;
      stored.result_list_version = result.revision;
      AddStoredJob(submission.get(), stored, sent_at);
      FinishSubmission(submission, SubmitOutcome::kAccepted);
      return;
    }
    case TransactOutcome::kConflict:
      OnRepeatedSubmission(job, submission->spec.workspace,
                           [this, submission](SubmitOutcome outcome) { FinishSubmission(submission, outcome); });
      return;
    case TransactOutcome::kUnavailable:
      Log(LogEvent::kBatchRefused, {{"job", job}, {"reason", "the store does not answer"}});
      FinishSubmission(submission, SubmitOutcome::kRefused);
      return;
    case TransactOutcome::kUnknown:
      FinishSubmission(submission, SubmitOutcome::kUnknown);
      return;
  }
}

void BatchCoordinator::FinishSubmission(const std::shared_ptr<Submission>& submission, SubmitOutcome outcome) {
  m_submissions.erase({submission->spec.id, submission->spec.workspace});
  for (const std::function<void(SubmitOutcome)>& callback : submission->callbacks) {
    callback(outcome);
  }
}

void BatchCoordinator::AddStoredJob(Submission* submission, const BatchRows& rows, TimePoint sent_at) {
  const std::string& id = submission->spec.id;
  const auto [entry, is_new] = m_jobs.try_emplace(id);
  Job& job = entry->second;
  if (is_new) {
    RecordVersionLag(rows.head.spec);
  }
  // A read may have returned these rows, or those of a later owner, before the response to the write arrived.
  if (job.rows.owner_version < rows.owner_version) {
    job.rows = rows;
  }
  job.read_at = std::max(job.read_at, sent_at);
  if (!IsThisProcess(rows.owner)) {
    m_fleet.notify_owner(rows.owner.instance, id);
    return;
  }
  if (m_draining || job.runner != nullptr || job.rows.owner_version != rows.owner_version || !job.IsOpen()) {
    return;
  }
  const std::shared_ptr<Load> load = BeginLoad(id, &job);
  load->confirmed_at = sent_at;
  load->items = std::move(submission->spec.items);
  load->memory.Record(submission->memory.bytes());
  submission->memory.Record(0);
  LoadPartialTextsAndRun(load);
}

// An acceptance would be worth nothing to a caller that may not read the job.
void BatchCoordinator::OnRepeatedSubmission(const std::string& job, const std::string& workspace,
                                            const std::function<void(SubmitOutcome)>& callback) {
  FindOrReadJob(job, workspace, [job, callback](BatchCallStatus status, Job*) {
    switch (status) {
      case BatchCallStatus::kOk:
        Log(LogEvent::kBatchAccepted, {{"job", job}, {"repeated", "yes"}});
        callback(SubmitOutcome::kAccepted);
        return;
      case BatchCallStatus::kNotFound:
        Log(LogEvent::kBatchRefused, {{"job", job}, {"reason", "another workspace has a job with this id"}});
        callback(SubmitOutcome::kRefused);
        return;
      case BatchCallStatus::kUnavailable:
        callback(SubmitOutcome::kUnknown);
        return;
    }
  });
}

void BatchCoordinator::FindOrReadJob(const std::string& id, const std::string& workspace,
                                     const std::function<void(BatchCallStatus, Job*)>& callback) {
  const auto respond = [workspace, callback](Job* job) {
    const bool may_access = MayAccess(workspace, job->rows.head.spec);
    callback(may_access ? BatchCallStatus::kOk : BatchCallStatus::kNotFound, may_access ? job : nullptr);
  };
  const auto known = m_jobs.find(id);
  if (known != m_jobs.end()) {
    respond(&known->second);
    return;
  }
  m_context.store->Scan(BatchPrefix(id), "", kRowsPerScan,
                        m_guard.Wrap([this, id, callback, respond, read_at = Now()](const ReadResult& read) {
                          if (!read.ok) {
                            callback(BatchCallStatus::kUnavailable, nullptr);
                            return;
                          }
                          OnJobRows(id, read_at, read);
                          const auto found = m_jobs.find(id);
                          if (found == m_jobs.end()) {
                            // Rows that cannot be read are no proof that the job does not exist.
                            callback(read.rows.empty() ? BatchCallStatus::kNotFound : BatchCallStatus::kUnavailable,
                                     nullptr);
                            return;
                          }
                          respond(&found->second);
                        }));
}

void BatchCoordinator::ReadResults(const std::string& id, const std::string& workspace, size_t position, Duration wait,
                                   const std::function<void(const BatchPage&)>& callback) {
  const TimePoint deadline = Now() + wait;
  FindOrReadJob(id, workspace, [this, id, position, deadline, callback](BatchCallStatus status, Job* job) {
    if (status != BatchCallStatus::kOk) {
      BatchPage page;
      page.status = status;
      callback(page);
      return;
    }
    const size_t total = job->rows.head.item_count;
    BatchRunner* runner = job->runner.get();
    if (runner == nullptr || runner->ownership_lost() || runner->ended()) {
      ReadStoredResults(id, position, total, deadline, callback);
      return;
    }
    if (position >= runner->stored_count() && !runner->IsDone() && Now() < deadline) {
      const uint64_t timer = m_next_timer++;
      auto done = std::make_shared<bool>(false);
      const auto finish = [this, id, position, total, callback, done, timer] {
        if (std::exchange(*done, true)) {
          return;
        }
        const std::unique_ptr<Timer> ended = std::move(m_timers[timer]);
        m_timers.erase(timer);
        ReadStoredResults(id, position, total, Now(), callback);
      };
      m_timers[timer] = m_context.scheduler->After(deadline - Now(), finish);
      runner->WaitForResult(position, m_guard.Wrap([finish] { finish(); }));
      return;
    }
    ReadStoredResults(id, position, total, Now(), callback);
  });
}

// Results that this process stored are served from memory; the others are read from the table. An owner that has not
// been confirmed lately, such as one that was frozen, cannot know that there is no result yet.
void BatchCoordinator::ReadStoredResults(const std::string& id, size_t position, size_t total, TimePoint deadline,
                                         const std::function<void(const BatchPage&)>& callback) {
  const auto known = m_jobs.find(id);
  if (known != m_jobs.end() && known->second.runner != nullptr && !known->second.runner->ownership_lost()) {
    const BatchRunner& runner = *known->second.runner;
    BatchPage page;
    page.status = BatchCallStatus::kOk;
    page.total = total;
    size_t bytes = 0;
    for (size_t at = position; at < runner.stored_count() && bytes < kMaxPageBytes; ++at) {
      const BatchResult* result = runner.StoredResultAt(at);
      if (result == nullptr) {
        break;
      }
      bytes += result->text.size();
      page.results.push_back(*result);
    }
    const bool nothing_stored = position >= runner.stored_count() && runner.IsOwnershipConfirmed();
    if (!page.results.empty() || nothing_stored) {
      callback(page);
      return;
    }
  }
  const bool accepted = m_caller_reads.Run([this, id, position, total, deadline, callback](std::function<void()> done) {
    m_context.store->Scan(
        BatchResultsPrefix(id), KeyBeforeBatchResult(id, position), kRowsPerScan,
        m_guard.Wrap([this, id, position, total, deadline, callback, done = std::move(done)](const ReadResult& read) {
          OnStoredResults(id, position, total, deadline, read, callback);
          done();
        }));
  });
  if (!accepted) {
    callback(BatchPage());
  }
}

void BatchCoordinator::OnStoredResults(const std::string& id, size_t position, size_t total, TimePoint deadline,
                                       const ReadResult& read, const std::function<void(const BatchPage&)>& callback) {
  BatchPage page;
  if (!read.ok) {
    callback(page);
    return;
  }
  std::optional<std::vector<BatchResult>> results = DecodeBatchResultRows(read.rows);
  if (!results.has_value()) {
    Log(LogEvent::kBatchRowMalformed, {{"job", id}, {"position", std::to_string(position)}});
    callback(page);
    return;
  }
  if (results->empty() && Now() + kResultPollInterval < deadline) {
    const uint64_t timer = m_next_timer++;
    m_timers[timer] =
        m_context.scheduler->After(kResultPollInterval, [this, id, position, total, deadline, callback, timer] {
          const std::unique_ptr<Timer> ended = std::move(m_timers[timer]);
          m_timers.erase(timer);
          ReadStoredResults(id, position, total, deadline, callback);
        });
    return;
  }
  page.status = BatchCallStatus::kOk;
  page.total = total;
  size_t bytes = 0;
  for (BatchResult& result : *results) {
    if (!page.results.empty() && bytes + result.text.size() > kMaxPageBytes) {
      break;
    }
    bytes += result.text.size();
    page.results.push_back(std::move(result));
  }
  callback(page);
}

void BatchCoordinator::ReadItemBody(const std::string& id, const std::string& workspace, const std::string& item,
                                    const std::function<void(BatchCallStatus, const std::string&)>& callback) {
  FindOrReadJob(id, workspace, [this, id, item, callback](BatchCallStatus status, Job* job) {
    if (status != BatchCallStatus::kOk) {
      callback(status, "");
      return;
    }
    const auto find = [item, callback](const std::vector<BatchItem>& items) {
      const auto found = std::find_if(items.begin(), items.end(),
                                      [&item](const BatchItem& candidate) { return candidate.id == item; });
      const bool exists = found != items.end();
      callback(exists ? BatchCallStatus::kOk : BatchCallStatus::kNotFound, exists ? found->body : "");
    };
    if (job->runner != nullptr) {
      find(job->runner->spec().items);
      return;
    }
    if (job->items != nullptr) {
      find(*job->items);
      return;
    }
    const bool accepted = m_caller_reads.Run([this, id, item, find, callback](std::function<void()> done) {
      const auto known = m_jobs.find(id);
      if (known == m_jobs.end() || known->second.items != nullptr) {
        known == m_jobs.end() ? callback(BatchCallStatus::kUnavailable, "") : find(*known->second.items);
        done();
        return;
      }
      // The items of a small job are kept, since the next reads of bodies usually ask for the same job.
      const BatchHead& head = known->second.rows.head;
      const bool keeps_items = head.item_rows <= kMaxKeptItemRows;
      LoadItems(head, keeps_items ? std::nullopt : std::optional<std::string>(item),
                [this, id, find, callback, keeps_items,
                 done = std::move(done)](const std::shared_ptr<std::vector<BatchItem>>& items) {
                  if (items == nullptr) {
                    callback(BatchCallStatus::kUnavailable, "");
                    done();
                    return;
                  }
                  for (auto& [other, job] : m_jobs) {
                    job.items = keeps_items && other == id ? items : nullptr;
                  }
                  find(*items);
                  done();
                });
    });
    if (!accepted) {
      callback(BatchCallStatus::kUnavailable, "");
    }
  });
}

void BatchCoordinator::End(const std::string& id, const std::string& workspace,
                           const std::function<void(BatchCallStatus)>& callback) {
  FindOrReadJob(id, workspace, [this, id, callback](BatchCallStatus status, Job* job) {
    if (status != BatchCallStatus::kOk || job->rows.ended) {
      callback(status);
      return;
    }
    StoreEnd(id, callback);
  });
}

// The items stop only once the end is stored. An end that the table has refused for sure leaves no trace, since the
// caller is told that it never takes effect; one whose outcome is unknown is resolved by m_resolving_store.
void BatchCoordinator::StoreEnd(const std::string& id, const std::function<void(BatchCallStatus)>& callback) {
  const std::string key = BatchEndKey(id);
  TableTransaction transaction;
  transaction.id = RandomHex(kRandomIdBytes);
  transaction.checks = {{key, 0}};
  transaction.writes = {{key, "ended"}};
  m_resolving_store.Transact(std::move(transaction), key, [this, id, callback](const TransactResult& result) {
    const bool stored = result.outcome == TransactOutcome::kCommitted || result.outcome == TransactOutcome::kConflict;
    const auto found = m_jobs.find(id);
    if (stored && found != m_jobs.end()) {
      found->second.rows.ended = true;
      if (found->second.runner != nullptr) {
        found->second.runner->End();
      }
      const std::string& owner = found->second.rows.owner.instance;
      if (m_fleet.notify_end && !owner.empty() && owner != m_context.instance) {
        m_fleet.notify_end(owner, id);
      }
    }
    Log(LogEvent::kBatchEnded, {{"job", id}, {"outcome", std::string(TransactOutcomeName(result.outcome))}});
    callback(stored ? BatchCallStatus::kOk : BatchCallStatus::kUnavailable);
  });
}

void BatchCoordinator::OnEndNotice(const std::string& id) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) {
    return;
  }
  found->second.rows.ended = true;
  if (found->second.runner != nullptr) {
    found->second.runner->End();
  }
}

void BatchCoordinator::Drain(std::function<void()> callback) {
  m_draining = true;
  m_drain_callback = std::move(callback);
  CheckDrained();
}

// A job with an append in flight is handed over only after the outcome of the append is known.
void BatchCoordinator::CheckDrained() {
  bool waiting = m_handovers_in_flight > 0;
  for (auto& [id, job] : m_jobs) {
    if (job.runner == nullptr) {
      continue;
    }
    job.runner->Stop();
    if (!job.runner->HasNoPendingAppend()) {
      waiting = true;
    } else if (job.runner->IsDone()) {
      RemoveRunner(&job, "done");
    } else {
      HandOver(id, &job);
      waiting = true;
    }
  }
  if (waiting) {
    const uint64_t timer = m_next_timer++;
    m_timers[timer] = m_context.scheduler->After(kDrainPollInterval, [this] { CheckDrained(); });
    return;
  }
  if (m_drain_callback) {
    const std::function<void()> drained = std::move(m_drain_callback);
    m_drain_callback = nullptr;
    drained();
  }
}

std::vector<std::string> BatchCoordinator::PossibleOwners(const BatchSpec& spec) const {
  return m_fleet.possible_owners ? m_fleet.possible_owners(spec) : m_fleet.live_instances();
}

// If no other instance is live, the job is left without an owner, and any instance that starts may take it over.
BatchOwner BatchCoordinator::NextOwner(const BatchSpec& spec, int64_t epoch) const {
  const uint64_t seed = Hash64(spec.id);
  BatchOwner next;
  for (const std::string& instance : PossibleOwners(spec)) {
    const bool better = next.instance.empty() || Hash64(instance, seed) > Hash64(next.instance, seed);
    const std::string incarnation = m_fleet.incarnation_of(instance);
    if (instance != m_context.instance && better && !incarnation.empty()) {
      next.instance = instance;
      next.incarnation = incarnation;
    }
  }
  next.epoch = epoch;
  next.released_by = m_context.instance;
  return next;
}

// Stores the partial texts first, so that the next owner can read them. If the write of the next owner fails, another
// instance takes the job over as it would from a lost instance.
void BatchCoordinator::HandOver(const std::string& id, Job* job) {
  const BatchOwner next = NextOwner(job->rows.head.spec, job->runner->owner().epoch + 1);
  const std::string key = BatchOwnerKey(id);
  TableTransaction transaction;
  transaction.id = RandomHex(kRandomIdBytes);
  transaction.checks = {{key, job->runner->owner_version()}};
  transaction.writes = {{key, EncodeBatchOwner(next)}};
  ++m_handovers_in_flight;
  job->runner->StorePartialTexts(m_guard.Wrap([this, id, next, transaction] {
    m_context.store->Transact(transaction, m_guard.Wrap([this, id, next](const TransactResult& result) {
      --m_handovers_in_flight;
      Log(LogEvent::kBatchOwned, {{"job", id},
                                  {"step", "handed over"},
                                  {"next_owner", next.instance},
                                  {"epoch", std::to_string(next.epoch)},
                                  {"outcome", std::string(TransactOutcomeName(result.outcome))}});
      if (result.outcome == TransactOutcome::kCommitted && !next.instance.empty()) {
        m_fleet.notify_owner(next.instance, id);
      }
    }));
  }));
  RemoveRunner(job, "planned stop");
}

}  // namespace quetzalridge
