#include "coordination/sample_delivery.h"

#include <algorithm>
#include <tuple>

namespace quetzalridge {

namespace {

// A transaction has at most 128 checks and writes. Requeueing a group needs two checks and three writes.
constexpr size_t kMaxGroupsPerRequeue = 25;
constexpr int kMaxReadyRows = 128;
constexpr Duration kPollInterval = Duration::Milliseconds(250);
// A request gets its result at most this long after its `wait`, even if the store does not respond.
constexpr Duration kResponseTimeout = Duration::Seconds(5);

// Returns the group row without an owner, so that an instance claims the group and runs it again. Returns nothing if
// the row is malformed.
std::optional<std::string> UnownedGroupRow(const TableRow& stored) {
  std::optional<GroupRow> read = TryDecodeGroupRow(stored);
  if (!read.has_value()) {
    return std::nullopt;
  }
  GroupRow& row = *read;
  row.state = GroupState::kRunning;
  row.owner.clear();
  row.incarnation.clear();
  return EncodeGroupRow(row);
}

}  // namespace

// The state of one fetch. Each fetch reads the newest weight version and then the cursor. If a batch is open, the fetch
// loads the objects of the batch and returns it. Otherwise it opens a batch from the ready groups.
struct SampleDelivery::PendingFetch {
  FetchRequest request;
  FetchCallback callback;
  TimePoint deadline;
  std::unique_ptr<Timer> timeout_timer;
  std::unique_ptr<Timer> retry_timer;
  // The fetch waits for a group to become ready.
  bool waiting = false;
  VersionReading reading;
  int64_t cursor_version = 0;
  DeliveryCursor cursor;
  // Contents of objects, keyed by object name.
  std::map<std::string, std::string> loaded;
  size_t pending_loads = 0;
  bool load_failed = false;
  // The objects of the open batch are loaded, and only the newest weight version is being read again.
  bool rereading_version = false;
};

SampleDelivery::SampleDelivery(DeliveryContext context, DeliveryOptions options)
    : m_context(context),
      m_options(std::move(options)),
      m_rows(m_options.queue),
      m_rule(m_options.staleness_bound),
      m_sender(m_context.table, m_context.scheduler),
      m_confirmation(m_context.table, m_context.scheduler, m_options.queue, m_options.remembered_batches) {}

SampleDelivery::~SampleDelivery() = default;

void SampleDelivery::SetService(const std::string& service, int64_t staleness_bound) {
  m_options.service = service;
  m_options.staleness_bound = staleness_bound;
  m_rule = FreshnessRule(staleness_bound);
}

void SampleDelivery::ReadStatus(const std::function<void(const DeliveryStatus&)>& callback) {
  m_context.table->Read({m_rows.CursorKey()}, m_guard.Wrap([this, callback](const ReadResult& cursor_result) {
    if (!cursor_result.ok) {
      callback({});
      return;
    }
    const TableRow cursor_row = cursor_result.rows.at(0);
    m_context.table->Scan(
        m_rows.ReadyPrefix(), "", kMaxReadyRows, m_guard.Wrap([callback, cursor_row](const ReadResult& ready) {
          const std::optional<DeliveryCursor> cursor = TryDecodeCursorRow(cursor_row);
          callback({ready.ok && cursor.has_value(), cursor.value_or(DeliveryCursor()), ready.rows.size()});
        }));
  }));
}

void SampleDelivery::Confirm(int64_t batch, const ConfirmCallback& callback) {
  // Reports the result or the expiry of the timeout, whichever comes first.
  struct Pending {
    ConfirmCallback callback;
    std::unique_ptr<Timer> timer;
  };
  auto pending = std::make_shared<Pending>();
  pending->callback = callback;
  const auto report = [pending](DeliveryOutcome outcome) {
    if (pending->callback) {
      const ConfirmCallback report_to = std::move(pending->callback);
      pending->callback = nullptr;
      report_to(outcome);
    }
  };
  pending->timer = m_context.scheduler->After(kResponseTimeout, m_guard.Wrap([weak = std::weak_ptr<Pending>(pending)] {
    const std::shared_ptr<Pending> locked = weak.lock();
    if (locked != nullptr && locked->callback) {
      const ConfirmCallback report_to = std::move(locked->callback);
      locked->callback = nullptr;
      report_to(DeliveryOutcome::kStoreUnavailable);
    }
  }));
  m_confirmation.Confirm(batch, report);
}

void SampleDelivery::Fetch(const FetchRequest& request, FetchCallback callback) {
  const uint64_t id = m_next_fetch_id++;
  auto fetch = std::make_unique<PendingFetch>();
  fetch->request = request;
  fetch->callback = std::move(callback);
  fetch->deadline = m_context.scheduler->clock().Now() + request.wait;
  fetch->timeout_timer = m_context.scheduler->After(request.wait + kResponseTimeout,
                                                    [this, id] { Finish(id, {DeliveryOutcome::kStoreUnavailable}); });
  m_fetches[id] = std::move(fetch);
  if (request.confirm == 0) {
    ReadVersion(id);
    return;
  }
  m_confirmation.Confirm(request.confirm, [this, id](DeliveryOutcome outcome) {
    if (outcome == DeliveryOutcome::kOk) {
      ReadVersion(id);
    } else {
      Finish(id, {outcome});
    }
  });
}

void SampleDelivery::OnGroupReady() {
  std::vector<uint64_t> waiting;
  for (const auto& [id, fetch] : m_fetches) {
    if (fetch->waiting) {
      waiting.push_back(id);
    }
  }
  for (const uint64_t id : waiting) {
    m_fetches[id]->waiting = false;
    m_fetches[id]->retry_timer.reset();
    ReadVersion(id);
  }
}

void SampleDelivery::ReadVersion(uint64_t id) {
  PendingFetch* fetch = FindFetch(id);
  if (fetch == nullptr) {
    return;
  }
  const TimePoint started = m_context.scheduler->clock().Now();
  m_context.platform->LatestWeightVersion(m_options.service,
                                          m_guard.Wrap([this, id, started](const WeightVersionResult& result) {
                                            PendingFetch* fetch = FindFetch(id);
                                            if (fetch == nullptr) {
                                              return;
                                            }
                                            if (!result.ok) {
                                              RetryLater(id, DeliveryOutcome::kVersionUnknown);
                                              return;
                                            }
                                            fetch->reading = {result.version, started};
                                            if (fetch->rereading_version) {
                                              ReturnBatch(id);
                                            } else {
                                              ReadCursor(id);
                                            }
                                          }));
}

void SampleDelivery::ReadCursor(uint64_t id) {
  m_context.table->Read({m_rows.CursorKey()}, m_guard.Wrap([this, id](const ReadResult& result) {
    if (FindFetch(id) == nullptr) {
      return;
    }
    if (!result.ok) {
      RetryLater(id, DeliveryOutcome::kStoreUnavailable);
      return;
    }
    OnCursor(id, result.rows.at(0));
  }));
}

void SampleDelivery::OnCursor(uint64_t id, const TableRow& row) {
  PendingFetch* fetch = FindFetch(id);
  std::optional<DeliveryCursor> cursor = TryDecodeCursorRow(row);
  if (!cursor.has_value()) {
    RetryLater(id, DeliveryOutcome::kStoreUnavailable);
    return;
  }
  fetch->cursor_version = row.version;
  fetch->cursor = std::move(*cursor);
  fetch->rereading_version = false;
  if (!fetch->cursor.open().has_value()) {
    ScanReady(id);
    return;
  }
  const std::vector<FinishedGroup>& groups = fetch->cursor.open()->groups;
  const bool fresh =
      std::all_of(groups.begin(), groups.end(), [&](const FinishedGroup& group) { return IsFresh(group, *fetch); });
  if (fresh) {
    LoadObjects(id);
  } else {
    VoidBatch(id);
  }
}

bool SampleDelivery::IsFresh(const FinishedGroup& group, const PendingFetch& fetch) const {
  return group.samples == 0 || m_rule.IsFresh(group.oldest_version, fetch.reading.version);
}

void SampleDelivery::LoadObjects(uint64_t id) {
  PendingFetch* fetch = FindFetch(id);
  fetch->load_failed = false;
  std::vector<std::string> missing;
  for (const FinishedGroup& group : fetch->cursor.open()->groups) {
    if (fetch->loaded.count(group.object) == 0) {
      missing.push_back(group.object);
    }
  }
  fetch->pending_loads = missing.size();
  if (missing.empty()) {
    ReturnBatch(id);
    return;
  }
  for (const std::string& name : missing) {
    m_context.objects->Get(name, m_guard.Wrap([this, id, name](const ObjectResult& result) {
      PendingFetch* fetch = FindFetch(id);
      if (fetch == nullptr) {
        return;
      }
      if (result.outcome == ObjectOutcome::kOk) {
        fetch->loaded[name] = result.data;
      } else {
        fetch->load_failed = true;
      }
      if (--fetch->pending_loads > 0) {
        return;
      }
      if (fetch->load_failed) {
        RetryLater(id, DeliveryOutcome::kStoreUnavailable);
      } else {
        ReturnBatch(id);
      }
    }));
  }
}

void SampleDelivery::ReturnBatch(uint64_t id) {
  PendingFetch* fetch = FindFetch(id);
  const DeliveryBatch& batch = *fetch->cursor.open();
  if (!fetch->reading.IsCurrent(m_context.scheduler->clock().Now(), m_options.version_freshness)) {
    // Loading the objects took too long, or reading the version itself did. In the first case the version is read
    // again. In the second case the batch cannot be returned now.
    if (fetch->rereading_version) {
      RetryLater(id, DeliveryOutcome::kVersionUnknown);
      return;
    }
    fetch->rereading_version = true;
    ReadVersion(id);
    return;
  }
  const bool fresh = std::all_of(batch.groups.begin(), batch.groups.end(),
                                 [&](const FinishedGroup& group) { return IsFresh(group, *fetch); });
  if (!fresh) {
    VoidBatch(id);
    return;
  }
  std::string samples;
  for (const FinishedGroup& group : batch.groups) {
    const std::string& data = fetch->loaded.at(group.object);
    samples += samples.empty() || data.empty() ? "" : ",";
    samples += data;
  }
  Finish(id, {DeliveryOutcome::kOk, batch.number,
              R"({"batch":)" + std::to_string(batch.number) + R"(,"samples":[)" + samples + "]}"});
}

void SampleDelivery::ScanReady(uint64_t id) {
  m_context.table->Scan(m_rows.ReadyPrefix(), "", kMaxReadyRows, m_guard.Wrap([this, id](const ReadResult& result) {
    if (FindFetch(id) == nullptr) {
      return;
    }
    if (!result.ok) {
      RetryLater(id, DeliveryOutcome::kStoreUnavailable);
      return;
    }
    OnReadyRows(id, result.rows);
  }));
}

void SampleDelivery::OnReadyRows(uint64_t id, const std::vector<TableRow>& rows) {
  const PendingFetch* fetch = FindFetch(id);
  std::vector<TableRow> fresh;
  std::vector<TableRow> stale;
  for (const TableRow& row : rows) {
    const std::optional<FinishedGroup> group = TryDecodeReadyRow(row);
    if (group.has_value()) {
      (IsFresh(*group, *fetch) ? fresh : stale).push_back(row);
    }
  }
  if (!stale.empty()) {
    stale.resize(std::min(stale.size(), kMaxGroupsPerRequeue));
    RequeueStaleGroups(id, stale);
  } else if (fresh.empty()) {
    RetryLater(id, DeliveryOutcome::kNothingReady);
  } else {
    OpenBatch(id, std::move(fresh));
  }
}

// A batch consists of complete groups, the oldest first, and of at least one group.
void SampleDelivery::OpenBatch(uint64_t id, std::vector<TableRow> rows) {
  const PendingFetch* fetch = FindFetch(id);
  std::sort(rows.begin(), rows.end(), [](const TableRow& a, const TableRow& b) {
    const FinishedGroup first = DecodeReadyRow(a.value);
    const FinishedGroup second = DecodeReadyRow(b.value);
    return std::tie(first.step, first.oldest_version, first.id) <
           std::tie(second.step, second.oldest_version, second.id);
  });
  DeliveryCursor cursor = fetch->cursor;
  const std::vector<std::string> expired = cursor.expired_objects();
  TableTransaction transaction;
  transaction.checks = {{m_rows.CursorKey(), fetch->cursor_version}};
  std::vector<FinishedGroup> groups;
  int64_t samples = 0;
  for (const TableRow& row : rows) {
    FinishedGroup group = DecodeReadyRow(row.value);
    if (!groups.empty() && samples + group.samples > fetch->request.max_samples) {
      continue;
    }
    if (groups.size() == kMaxGroupsPerBatch) {
      break;
    }
    samples += group.samples;
    transaction.checks.push_back({row.key, row.version});
    transaction.writes.push_back({row.key, std::nullopt});
    groups.push_back(std::move(group));
  }
  cursor.Open(std::move(groups));
  transaction.writes.push_back({m_rows.CursorKey(), cursor.Encode()});
  m_sender.Send(std::move(transaction), m_guard.Wrap([this, id, expired](const TransactResult& result) {
    if (result.outcome == TransactOutcome::kCommitted) {
      for (const std::string& object : expired) {
        m_context.objects->Delete(object, [](const ObjectResult&) {});
      }
    }
    if (FindFetch(id) == nullptr) {
      return;
    }
    if (result.outcome == TransactOutcome::kUnavailable) {
      RetryLater(id, DeliveryOutcome::kStoreUnavailable);
    } else {
      ReadCursor(id);
    }
  }));
}

void SampleDelivery::VoidBatch(uint64_t id) {
  std::vector<std::string> keys;
  for (const FinishedGroup& group : FindFetch(id)->cursor.open()->groups) {
    keys.push_back(m_rows.GroupKey(group.id));
  }
  m_context.table->Read(std::move(keys), m_guard.Wrap([this, id](const ReadResult& result) {
    if (FindFetch(id) == nullptr) {
      return;
    }
    if (!result.ok) {
      RetryLater(id, DeliveryOutcome::kStoreUnavailable);
      return;
    }
    CommitVoidBatch(id, result.rows);
  }));
}

// While a batch is open, the rows of its groups change only together with the cursor. The check of the version of the
// cursor is therefore sufficient.
void SampleDelivery::CommitVoidBatch(uint64_t id, const std::vector<TableRow>& group_rows) {
  PendingFetch* fetch = FindFetch(id);
  const std::vector<FinishedGroup> groups = fetch->cursor.open()->groups;
  TableTransaction transaction;
  transaction.checks = {{m_rows.CursorKey(), fetch->cursor_version}};
  for (size_t i = 0; i < groups.size(); ++i) {
    if (group_rows.at(i).version == 0) {
      // The batch was confirmed or became void after the cursor was read.
      ReadCursor(id);
      return;
    }
    if (IsFresh(groups[i], *fetch)) {
      transaction.writes.push_back({m_rows.ReadyKey(groups[i].id), EncodeReadyRow(groups[i])});
    } else {
      const std::optional<std::string> unowned = UnownedGroupRow(group_rows[i]);
      if (!unowned.has_value()) {
        RetryLater(id, DeliveryOutcome::kStoreUnavailable);
        return;
      }
      transaction.writes.push_back({group_rows[i].key, unowned});
      transaction.writes.push_back({AbandonedObjectKey(groups[i].object), ""});
    }
  }
  DeliveryCursor cursor = fetch->cursor;
  cursor.VoidOpen();
  transaction.writes.push_back({m_rows.CursorKey(), cursor.Encode()});
  CommitAndReread(id, std::move(transaction), true);
}

void SampleDelivery::RequeueStaleGroups(uint64_t id, const std::vector<TableRow>& ready_rows) {
  std::vector<std::string> keys;
  keys.reserve(ready_rows.size());
  for (const TableRow& row : ready_rows) {
    keys.push_back(m_rows.GroupKey(DecodeReadyRow(row.value).id));
  }
  m_context.table->Read(std::move(keys), m_guard.Wrap([this, id, ready_rows](const ReadResult& result) {
    if (FindFetch(id) == nullptr) {
      return;
    }
    if (!result.ok) {
      RetryLater(id, DeliveryOutcome::kStoreUnavailable);
      return;
    }
    CommitRequeue(id, ready_rows, result.rows);
  }));
}

void SampleDelivery::CommitRequeue(uint64_t id, const std::vector<TableRow>& ready_rows,
                                   const std::vector<TableRow>& group_rows) {
  TableTransaction transaction;
  for (size_t i = 0; i < ready_rows.size(); ++i) {
    const std::optional<std::string> unowned =
        group_rows.at(i).version != 0 ? UnownedGroupRow(group_rows[i]) : std::nullopt;
    if (!unowned.has_value()) {
      // Another instance has requeued the group meanwhile, or the row of the group is malformed.
      RetryLater(id, DeliveryOutcome::kStoreUnavailable);
      return;
    }
    transaction.checks.push_back({ready_rows[i].key, ready_rows[i].version});
    transaction.checks.push_back({group_rows[i].key, group_rows[i].version});
    transaction.writes.push_back({ready_rows[i].key, std::nullopt});
    transaction.writes.push_back({group_rows[i].key, unowned});
    transaction.writes.push_back({AbandonedObjectKey(DecodeReadyRow(ready_rows[i].value).object), ""});
  }
  CommitAndReread(id, std::move(transaction), true);
}

void SampleDelivery::CommitAndReread(uint64_t id, TableTransaction transaction, bool requeues_groups) {
  m_sender.Send(std::move(transaction), m_guard.Wrap([this, id, requeues_groups](const TransactResult& result) {
    if (requeues_groups && m_requeue_listener) {
      m_requeue_listener();
    }
    if (FindFetch(id) == nullptr) {
      return;
    }
    if (result.outcome == TransactOutcome::kUnavailable) {
      RetryLater(id, DeliveryOutcome::kStoreUnavailable);
    } else {
      ReadCursor(id);
    }
  }));
}

void SampleDelivery::RetryLater(uint64_t id, DeliveryOutcome reason) {
  PendingFetch* fetch = FindFetch(id);
  if (m_context.scheduler->clock().Now() + kPollInterval > fetch->deadline) {
    Finish(id, {reason});
    return;
  }
  fetch->waiting = reason == DeliveryOutcome::kNothingReady;
  fetch->rereading_version = false;
  fetch->retry_timer = m_context.scheduler->After(kPollInterval, [this, id] {
    FindFetch(id)->waiting = false;
    ReadVersion(id);
  });
}

void SampleDelivery::Finish(uint64_t id, const FetchResult& result) {
  const auto it = m_fetches.find(id);
  if (it == m_fetches.end()) {
    return;
  }
  const std::unique_ptr<PendingFetch> fetch = std::move(it->second);
  m_fetches.erase(it);
  fetch->callback(result);
}

SampleDelivery::PendingFetch* SampleDelivery::FindFetch(uint64_t id) {
  const auto it = m_fetches.find(id);
  return it != m_fetches.end() ? it->second.get() : nullptr;
}

}  // namespace quetzalridge
