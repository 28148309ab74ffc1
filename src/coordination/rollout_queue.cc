#include "coordination/rollout_queue.h"

#include <algorithm>
#include <set>

#include "base/hash.h"

namespace quetzalridge {

namespace {

// A transaction has at most 128 checks and writes. Submitting a group needs two checks and one write.
constexpr size_t kMaxGroupsPerTransaction = 42;
// An instance claims only a few groups at a time, so that the groups of a failed instance spread over all others.
constexpr size_t kMaxGroupsPerClaim = 16;
constexpr int kScanPageRows = 100;
constexpr size_t kMaxRowBytes = size_t{64} << 10;
constexpr Duration kStoreRetryDelay = Duration::Milliseconds(500);
constexpr Duration kVersionPollInterval = Duration::Seconds(5);
constexpr Duration kScanSoonDelay = Duration::Milliseconds(20);
// The mean time between two scans of a queue by any of the instances.
constexpr Duration kDeploymentScanInterval = Duration::Milliseconds(1250);

// Returns the digest of the group that was submitted before, or an empty string if its row is malformed.
std::string StoredDigest(const TableRow& group, const TableRow& done) {
  if (group.version != 0) {
    const std::optional<GroupRow> row = TryDecodeGroupRow(group);
    return row.has_value() ? SpecDigest(row->spec) : "";
  }
  const std::optional<DoneRow> row = TryDecodeDoneRow(done);
  return row.has_value() ? row->spec_digest : "";
}

}  // namespace

// The state of one Submit. The groups are split into chunks of one transaction each, which are sent one after another.
struct RolloutQueue::Submission {
  std::vector<SampleGroupSpec> remaining;
  SubmitCallback callback;
  bool any_accepted = false;

  void Fail(ErrorCode error, const std::string& message) {
    callback({false, error, message, any_accepted ? RequestRan::kUnknown : RequestRan::kNo});
  }
};

// A group whose row names this instance as the owner.
struct RolloutQueue::OwnedGroup {
  GroupRow row;
  // The version of the row that names this instance as the owner. All later writes check this version, so that they
  // fail after another instance has taken the group over.
  int64_t version = 0;
  std::unique_ptr<GroupRunner> runner;
  FinishedGroup finished;
  std::string object_data;
  // The samples are complete, and their object and the ready row are being written.
  bool storing = false;
  std::unique_ptr<Timer> timer;
};

RolloutQueue::RolloutQueue(RolloutContext context, RolloutQueueOptions options)
    : m_context(std::move(context)),
      m_options(std::move(options)),
      m_rows(m_options.queue),
      m_sender(m_context.table, m_context.scheduler),
      m_random(Hash64(m_context.incarnation + m_options.queue)) {}

RolloutQueue::~RolloutQueue() = default;

void RolloutQueue::Start() {
  ScheduleScan(ScanInterval());
  PollVersion();
}

void RolloutQueue::Submit(std::vector<SampleGroupSpec> groups, SubmitCallback callback) {
  auto submission = std::make_shared<Submission>();
  submission->remaining = std::move(groups);
  submission->callback = std::move(callback);
  if (m_draining) {
    submission->Fail(ErrorCode::kDraining, "this instance is stopping; send the groups to another one");
    return;
  }
  for (const SampleGroupSpec& spec : submission->remaining) {
    if (EncodeGroupRow({spec, GroupState::kRunning, m_context.instance, m_context.incarnation}).size() > kMaxRowBytes) {
      submission->Fail(ErrorCode::kPayloadTooLarge, "group '" + spec.id + "' exceeds 64 KB; shorten its prompt");
      return;
    }
  }
  SubmitNextChunk(submission);
}

void RolloutQueue::SubmitNextChunk(const std::shared_ptr<Submission>& submission) {
  if (submission->remaining.empty()) {
    submission->callback({true, ErrorCode::kInternal, "", RequestRan::kYes});
    return;
  }
  std::vector<SampleGroupSpec>& remaining = submission->remaining;
  const size_t count = std::min(kMaxGroupsPerTransaction, remaining.size());
  const auto chunk_end = remaining.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<SampleGroupSpec> chunk(remaining.begin(), chunk_end);
  remaining.erase(remaining.begin(), chunk_end);
  TableTransaction transaction;
  for (const SampleGroupSpec& spec : chunk) {
    transaction.checks.push_back({m_rows.GroupKey(spec.id), 0});
    transaction.checks.push_back({m_rows.DoneKey(spec.id), 0});
    transaction.writes.push_back(
        {m_rows.GroupKey(spec.id),
         EncodeGroupRow({spec, GroupState::kRunning, m_context.instance, m_context.incarnation})});
  }
  m_sender.Send(std::move(transaction),
                m_guard.Wrap([this, submission, chunk = std::move(chunk)](const TransactResult& result) {
                  OnChunkResult(submission, chunk, result);
                }));
}

void RolloutQueue::OnChunkResult(const std::shared_ptr<Submission>& submission, std::vector<SampleGroupSpec> chunk,
                                 const TransactResult& result) {
  if (result.outcome == TransactOutcome::kConflict) {
    ResolveChunkConflict(submission, std::move(chunk));
    return;
  }
  if (result.outcome != TransactOutcome::kCommitted) {
    submission->Fail(ErrorCode::kStoreUnavailable, "the table service is unavailable; submit the groups again");
    return;
  }
  submission->any_accepted = true;
  for (SampleGroupSpec& spec : chunk) {
    AddOwnedGroup({std::move(spec), GroupState::kRunning, m_context.instance, m_context.incarnation}, result.revision);
  }
  SubmitNextChunk(submission);
}

// Some groups exist already. They come from an earlier submission of the trainer, or from this submission if the
// response of the store was lost.
void RolloutQueue::ResolveChunkConflict(const std::shared_ptr<Submission>& submission,
                                        std::vector<SampleGroupSpec> chunk) {
  std::vector<std::string> keys;
  for (const SampleGroupSpec& spec : chunk) {
    keys.push_back(m_rows.GroupKey(spec.id));
    keys.push_back(m_rows.DoneKey(spec.id));
  }
  m_context.table->Read(std::move(keys),
                        m_guard.Wrap([this, submission, chunk = std::move(chunk)](const ReadResult& result) {
                          OnChunkRows(submission, chunk, result);
                        }));
}

void RolloutQueue::OnChunkRows(const std::shared_ptr<Submission>& submission, const std::vector<SampleGroupSpec>& chunk,
                               const ReadResult& result) {
  if (!result.ok) {
    submission->Fail(ErrorCode::kStoreUnavailable, "the table service is unavailable; submit the groups again");
    return;
  }
  for (size_t i = 0; i < chunk.size(); ++i) {
    const TableRow& group = result.rows.at(2 * i);
    const TableRow& done = result.rows.at(2 * i + 1);
    if (group.version == 0 && done.version == 0) {
      submission->remaining.push_back(chunk[i]);
      continue;
    }
    if (StoredDigest(group, done) != SpecDigest(chunk[i])) {
      submission->Fail(ErrorCode::kConflict,
                       "group '" + chunk[i].id + "' exists with other content; use a new identity for it");
      return;
    }
    submission->any_accepted = true;
  }
  // A lost response leaves rows that name this instance although it doesn't hold their groups. The scan finds such
  // rows.
  ScanSoon();
  SubmitNextChunk(submission);
}

void RolloutQueue::AddOwnedGroup(GroupRow row, int64_t version) {
  const std::string id = row.spec.id;
  const auto it = m_groups.find(id);
  if (it != m_groups.end()) {
    if (it->second->version >= version) {
      return;
    }
    RemoveGroup(id);
  }
  auto group = std::make_unique<OwnedGroup>();
  group->row = std::move(row);
  group->version = version;
  m_groups[id] = std::move(group);
  m_start_timer = m_context.scheduler->After(Duration(), [this] { StartWaitingGroups(); });
}

void RolloutQueue::StartWaitingGroups() {
  std::vector<OwnedGroup*> waiting;
  for (const auto& [id, group] : m_groups) {
    if (group->runner == nullptr) {
      waiting.push_back(group.get());
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const OwnedGroup* a, const OwnedGroup* b) { return a->row.spec.step < b->row.spec.step; });
  for (OwnedGroup* group : waiting) {
    if (m_draining || m_samples_in_flight >= m_options.max_samples_in_flight) {
      return;
    }
    StartGroup(group);
  }
}

void RolloutQueue::StartGroup(OwnedGroup* group) {
  const std::string id = group->row.spec.id;
  const int64_t version = group->version;
  m_samples_in_flight += group->row.spec.samples;
  group->runner =
      std::make_unique<GroupRunner>(m_context.engine, m_context.scheduler, &m_forecast, &m_speed, group->row.spec,
                                    m_options.run, [this, id, version] { OnGroupComplete(id, version); });
  group->runner->Start();
}

void RolloutQueue::PollVersion() {
  m_version_timer = m_context.scheduler->After(kVersionPollInterval, [this] { PollVersion(); });
  if (m_groups.empty()) {
    return;
  }
  m_context.platform->LatestWeightVersion(m_options.run.service,
                                          m_guard.Wrap([this](const WeightVersionResult& result) {
                                            if (result.ok) {
                                              m_forecast.Observe(result.version, m_context.scheduler->clock().Now());
                                            }
                                          }));
}

RolloutQueue::OwnedGroup* RolloutQueue::FindGroup(const std::string& id, int64_t version) {
  const auto it = m_groups.find(id);
  return it != m_groups.end() && it->second->version == version ? it->second.get() : nullptr;
}

void RolloutQueue::RemoveGroup(const std::string& id) {
  const auto it = m_groups.find(id);
  if (it->second->runner != nullptr && !it->second->storing) {
    m_samples_in_flight -= it->second->row.spec.samples;
  }
  m_groups.erase(it);
  m_start_timer = m_context.scheduler->After(Duration(), [this] { StartWaitingGroups(); });
  CheckDrained();
}

void RolloutQueue::OnGroupComplete(const std::string& id, int64_t version) {
  OwnedGroup* group = FindGroup(id, version);
  const std::vector<FinishedSample> samples = group->runner->group().Results();
  m_wasted_tokens += group->runner->group().WastedTokens();
  m_samples_in_flight -= group->row.spec.samples;
  group->storing = true;
  group->object_data = EncodeSamples(id, samples);
  FinishedGroup& finished = group->finished;
  finished.id = id;
  finished.attempt = group->row.attempt;
  finished.step = group->row.spec.step;
  finished.object = m_rows.ObjectName(id, group->row.attempt, m_context.incarnation);
  finished.samples = static_cast<int64_t>(samples.size());
  finished.spec_digest = SpecDigest(group->row.spec);
  for (const FinishedSample& sample : samples) {
    const int64_t oldest = OldestVersion(sample.version_runs);
    finished.oldest_version = finished.oldest_version == 0 ? oldest : std::min(finished.oldest_version, oldest);
  }
  m_start_timer = m_context.scheduler->After(Duration(), [this] { StartWaitingGroups(); });
  StoreObject(id, version);
}

void RolloutQueue::StoreObject(const std::string& id, int64_t version) {
  OwnedGroup* group = FindGroup(id, version);
  if (group == nullptr) {
    return;
  }
  m_context.objects->Put(group->finished.object, group->object_data,
                         m_guard.Wrap([this, id, version](const ObjectResult& result) {
                           if (result.outcome == ObjectOutcome::kOk) {
                             MakeReady(id, version);
                           } else {
                             RetryLater(id, version, &RolloutQueue::StoreObject);
                           }
                         }));
}

void RolloutQueue::RetryLater(const std::string& id, int64_t version,
                              void (RolloutQueue::*step)(const std::string&, int64_t)) {
  OwnedGroup* group = FindGroup(id, version);
  if (group != nullptr) {
    group->timer =
        m_context.scheduler->After(kStoreRetryDelay, [this, id, version, step] { (this->*step)(id, version); });
  }
}

void RolloutQueue::MakeReady(const std::string& id, int64_t version) {
  OwnedGroup* group = FindGroup(id, version);
  if (group == nullptr) {
    return;
  }
  GroupRow row = group->row;
  row.state = GroupState::kFinished;
  TableTransaction transaction;
  transaction.checks = {{m_rows.GroupKey(id), version}};
  transaction.writes = {{m_rows.GroupKey(id), EncodeGroupRow(row)},
                        {m_rows.ReadyKey(id), EncodeReadyRow(group->finished)}};
  m_sender.Send(std::move(transaction), m_guard.Wrap([this, id, version](const TransactResult& result) {
    OnReadyResult(id, version, result);
  }));
}

void RolloutQueue::OnReadyResult(const std::string& id, int64_t version, const TransactResult& result) {
  if (FindGroup(id, version) == nullptr) {
    return;
  }
  if (result.outcome == TransactOutcome::kUnavailable) {
    RetryLater(id, version, &RolloutQueue::MakeReady);
    return;
  }
  if (result.outcome == TransactOutcome::kConflict) {
    ResolveReadyConflict(id, version);
    return;
  }
  RemoveGroup(id);
  if (m_ready_listener) {
    m_ready_listener();
  }
}

// After a conflict, either the transaction took effect and its response was lost, or another instance has taken the
// group over. In both cases this instance removes the group. In the second case the row has another attempt number, and
// the object of this instance is useless and is deleted. The object is kept if the row is missing or malformed, because
// the two cases cannot be told apart then.
void RolloutQueue::ResolveReadyConflict(const std::string& id, int64_t version) {
  m_context.table->Read({m_rows.GroupKey(id)}, m_guard.Wrap([this, id, version](const ReadResult& result) {
    const OwnedGroup* group = FindGroup(id, version);
    if (group == nullptr) {
      return;
    }
    if (!result.ok) {
      RetryLater(id, version, &RolloutQueue::ResolveReadyConflict);
      return;
    }
    const TableRow& row = result.rows.at(0);
    const std::optional<GroupRow> present = row.version != 0 ? TryDecodeGroupRow(row) : std::nullopt;
    if (present.has_value() && present->attempt != group->row.attempt) {
      m_context.objects->Delete(group->finished.object, [](const ObjectResult&) {});
    }
    RemoveGroup(id);
    if (m_ready_listener) {
      m_ready_listener();
    }
  }));
}

// The interval grows with the number of instances, so that the rate of scans of the whole deployment does not depend on
// its size. Each interval is drawn at random from half to one and a half times the mean.
Duration RolloutQueue::ScanInterval() {
  const auto members = static_cast<int64_t>(std::max<size_t>(m_context.roster->live_members().size(), 1));
  const int64_t mean = kDeploymentScanInterval.ms() * std::max<int64_t>(members, 2);
  return Duration::Milliseconds(mean / 2 + static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(mean))));
}

void RolloutQueue::ScheduleScan(Duration delay) {
  m_scan_timer = m_context.scheduler->After(delay, [this] {
    ScheduleScan(ScanInterval());
    Scan("");
  });
}

void RolloutQueue::ScanSoon() {
  if (m_scanning) {
    m_scan_again = true;
    return;
  }
  ScheduleScan(kScanSoonDelay);
}

void RolloutQueue::Scan(const std::string& after) {
  if (m_draining || (after.empty() && m_scanning)) {
    return;
  }
  m_scanning = true;
  m_context.table->Scan(m_rows.GroupPrefix(), after, kScanPageRows,
                        m_guard.Wrap([this](const ReadResult& result) { OnScan(result); }));
}

void RolloutQueue::OnScan(const ReadResult& result) {
  std::vector<TableRow> claimable;
  for (const TableRow& row : result.rows) {
    const std::optional<GroupRow> group = TryDecodeGroupRow(row);
    if (claimable.size() < kMaxGroupsPerClaim && group.has_value() && MayClaim(*group)) {
      claimable.push_back(row);
    }
  }
  if (!claimable.empty()) {
    m_scanning = false;
    m_scan_again = false;
    Claim(claimable);
    return;
  }
  if (result.ok && result.rows.size() == kScanPageRows && !m_draining) {
    Scan(result.rows.back().key);
    return;
  }
  m_scanning = false;
  if (m_scan_again) {
    m_scan_again = false;
    ScheduleScan(kScanSoonDelay);
  }
}

bool RolloutQueue::MayClaim(const GroupRow& row) const {
  if (row.state != GroupState::kRunning) {
    return false;
  }
  if (row.incarnation == m_context.incarnation) {
    return m_groups.count(row.spec.id) == 0;
  }
  if (row.incarnation.empty()) {
    return true;
  }
  const std::vector<RosterMember> members = m_context.roster->live_members();
  return m_context.roster->known() && std::none_of(members.begin(), members.end(), [&](const RosterMember& member) {
           return member.incarnation == row.incarnation;
         });
}

// Each claim begins a new attempt, so that two executions of a group never use the same object name.
void RolloutQueue::Claim(const std::vector<TableRow>& rows) {
  if (m_draining || m_samples_in_flight >= m_options.max_samples_in_flight) {
    return;
  }
  TableTransaction transaction;
  std::vector<GroupRow> claimed;
  for (const TableRow& row : rows) {
    GroupRow group = DecodeGroupRow(row.value);
    if (!group.incarnation.empty()) {
      const std::string object = m_rows.ObjectName(group.spec.id, group.attempt, group.incarnation);
      transaction.writes.push_back({AbandonedObjectKey(object), ""});
    }
    group.owner = m_context.instance;
    group.incarnation = m_context.incarnation;
    ++group.attempt;
    transaction.checks.push_back({row.key, row.version});
    transaction.writes.push_back({row.key, EncodeGroupRow(group)});
    claimed.push_back(std::move(group));
  }
  m_sender.Send(std::move(transaction),
                m_guard.Wrap([this, claimed = std::move(claimed)](const TransactResult& result) {
                  if (result.outcome == TransactOutcome::kCommitted) {
                    for (const GroupRow& group : claimed) {
                      AddOwnedGroup(group, result.revision);
                    }
                  }
                  // After a conflict, other instances have claimed some of the groups. After a success, there may be
                  // more groups to claim. Both need another scan.
                  if (result.outcome != TransactOutcome::kUnavailable) {
                    ScanSoon();
                  }
                }));
}

void RolloutQueue::Drain(std::function<void()> callback) {
  m_draining = true;
  m_drain_callback = std::move(callback);
  std::vector<std::string> running;
  for (const auto& [id, group] : m_groups) {
    if (!group->storing) {
      running.push_back(id);
    }
  }
  for (const std::string& id : running) {
    ReleaseGroup(id);
  }
  CheckDrained();
}

void RolloutQueue::ReleaseGroup(const std::string& id) {
  const int64_t version = m_groups.at(id)->version;
  GroupRow row = m_groups.at(id)->row;
  row.owner.clear();
  row.incarnation.clear();
  TableTransaction transaction;
  transaction.checks = {{m_rows.GroupKey(id), version}};
  transaction.writes = {{m_rows.GroupKey(id), EncodeGroupRow(row)}};
  // If the store is unavailable, another instance claims the group after this instance has left the roster.
  m_sender.Send(std::move(transaction), m_guard.Wrap([this, id, version](const TransactResult&) {
    if (FindGroup(id, version) != nullptr) {
      RemoveGroup(id);
    }
  }));
}

void RolloutQueue::CheckDrained() {
  if (m_draining && m_groups.empty() && m_drain_callback) {
    const std::function<void()> callback = std::move(m_drain_callback);
    m_drain_callback = nullptr;
    callback();
  }
}

}  // namespace quetzalridge
