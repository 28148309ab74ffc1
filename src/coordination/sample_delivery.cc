#include "coordination/sample_delivery.h"

#include <algorithm>
#include <tuple>

namespace quetzalridge {

namespace {

// Two checks and three writes for each group.
constexpr size_t kMaxGroupsPerReturn = 25;
constexpr int kReadyPage = 128;
constexpr Duration kPollInterval = Duration::Milliseconds(250);
// A request is answered at most this long after its `wait`, even when the store does not answer.
constexpr Duration kAnswerLimit = Duration::Seconds(5);

// The group runs again when an instance claims it. Nothing when its row is malformed.
std::optional<std::string> UnownedGroupRow(const TableRow& stored) {
  std::optional<GroupRow> read = ReadGroupRow(stored);
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

struct SampleDelivery::Operation {
  FetchRequest request;
  FetchCallback callback;
  TimePoint deadline;
  std::unique_ptr<Timer> limit_timer;
  std::unique_ptr<Timer> retry_timer;
  // Waits for a group to become ready.
  bool waiting = false;
  VersionReading reading;
  int64_t cursor_version = 0;
  DeliveryCursor cursor;
  // By object name.
  std::map<std::string, std::string> loaded;
  size_t pending_loads = 0;
  bool load_failed = false;
  // The open batch is loaded; only the version is read again.
  bool rechecking = false;
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
        m_rows.ReadyPrefix(), "", kReadyPage, m_guard.Wrap([callback, cursor_row](const ReadResult& ready) {
          const std::optional<DeliveryCursor> cursor = ReadCursorRow(cursor_row);
          callback({ready.ok && cursor.has_value(), cursor.value_or(DeliveryCursor()), ready.rows.size()});
        }));
  }));
}

void SampleDelivery::Confirm(int64_t batch, const ConfirmCallback& callback) {
  // The first of the result and the time limit is reported.
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
  pending->timer = m_context.scheduler->After(kAnswerLimit, m_guard.Wrap([weak = std::weak_ptr<Pending>(pending)] {
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
  const uint64_t id = m_next_operation++;
  auto operation = std::make_unique<Operation>();
  operation->request = request;
  operation->callback = std::move(callback);
  operation->deadline = m_context.scheduler->clock().Now() + request.wait;
  operation->limit_timer = m_context.scheduler->After(request.wait + kAnswerLimit,
                                                      [this, id] { Finish(id, {DeliveryOutcome::kStoreUnavailable}); });
  m_operations[id] = std::move(operation);
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
  for (const auto& [id, operation] : m_operations) {
    if (operation->waiting) {
      waiting.push_back(id);
    }
  }
  for (const uint64_t id : waiting) {
    m_operations[id]->waiting = false;
    m_operations[id]->retry_timer.reset();
    ReadVersion(id);
  }
}

void SampleDelivery::ReadVersion(uint64_t id) {
  Operation* operation = Find(id);
  if (operation == nullptr) {
    return;
  }
  const TimePoint started = m_context.scheduler->clock().Now();
  m_context.platform->LatestWeightVersion(m_options.service,
                                          m_guard.Wrap([this, id, started](const WeightVersionResult& result) {
                                            Operation* operation = Find(id);
                                            if (operation == nullptr) {
                                              return;
                                            }
                                            if (!result.ok) {
                                              RetryLater(id, DeliveryOutcome::kVersionUnknown);
                                              return;
                                            }
                                            operation->reading = {result.version, started};
                                            if (operation->rechecking) {
                                              HandOver(id);
                                            } else {
                                              ReadCursor(id);
                                            }
                                          }));
}

void SampleDelivery::ReadCursor(uint64_t id) {
  m_context.table->Read({m_rows.CursorKey()}, m_guard.Wrap([this, id](const ReadResult& result) {
    if (Find(id) == nullptr) {
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
  Operation* operation = Find(id);
  std::optional<DeliveryCursor> cursor = ReadCursorRow(row);
  if (!cursor.has_value()) {
    RetryLater(id, DeliveryOutcome::kStoreUnavailable);
    return;
  }
  operation->cursor_version = row.version;
  operation->cursor = std::move(*cursor);
  operation->rechecking = false;
  if (!operation->cursor.open().has_value()) {
    ScanReady(id);
    return;
  }
  const std::vector<FinishedGroup>& groups = operation->cursor.open()->groups;
  const bool fresh =
      std::all_of(groups.begin(), groups.end(), [&](const FinishedGroup& group) { return IsFresh(group, *operation); });
  if (fresh) {
    LoadObjects(id);
  } else {
    VoidBatch(id);
  }
}

bool SampleDelivery::IsFresh(const FinishedGroup& group, const Operation& operation) const {
  return group.samples == 0 || m_rule.IsFresh(group.oldest_version, operation.reading.version);
}

void SampleDelivery::LoadObjects(uint64_t id) {
  Operation* operation = Find(id);
  operation->load_failed = false;
  std::vector<std::string> missing;
  for (const FinishedGroup& group : operation->cursor.open()->groups) {
    if (operation->loaded.count(group.object) == 0) {
      missing.push_back(group.object);
    }
  }
  operation->pending_loads = missing.size();
  if (missing.empty()) {
    HandOver(id);
    return;
  }
  for (const std::string& name : missing) {
    m_context.objects->Get(name, m_guard.Wrap([this, id, name](const ObjectResult& result) {
      Operation* operation = Find(id);
      if (operation == nullptr) {
        return;
      }
      if (result.outcome == ObjectOutcome::kOk) {
        operation->loaded[name] = result.data;
      } else {
        operation->load_failed = true;
      }
      if (--operation->pending_loads > 0) {
        return;
      }
      if (operation->load_failed) {
        RetryLater(id, DeliveryOutcome::kStoreUnavailable);
      } else {
        HandOver(id);
      }
    }));
  }
}

void SampleDelivery::HandOver(uint64_t id) {
  Operation* operation = Find(id);
  const DeliveryBatch& batch = *operation->cursor.open();
  if (!operation->reading.IsCurrent(m_context.scheduler->clock().Now(), m_options.version_freshness)) {
    // Loading took long, or the version read itself did. In the second case nothing can be handed over.
    if (operation->rechecking) {
      RetryLater(id, DeliveryOutcome::kVersionUnknown);
      return;
    }
    operation->rechecking = true;
    ReadVersion(id);
    return;
  }
  const bool fresh = std::all_of(batch.groups.begin(), batch.groups.end(),
                                 [&](const FinishedGroup& group) { return IsFresh(group, *operation); });
  if (!fresh) {
    VoidBatch(id);
    return;
  }
  std::string samples;
  for (const FinishedGroup& group : batch.groups) {
    const std::string& data = operation->loaded.at(group.object);
    samples += samples.empty() || data.empty() ? "" : ",";
    samples += data;
  }
  Finish(id, {DeliveryOutcome::kOk, batch.number,
              R"({"batch":)" + std::to_string(batch.number) + R"(,"samples":[)" + samples + "]}"});
}

void SampleDelivery::ScanReady(uint64_t id) {
  m_context.table->Scan(m_rows.ReadyPrefix(), "", kReadyPage, m_guard.Wrap([this, id](const ReadResult& result) {
    if (Find(id) == nullptr) {
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
  const Operation* operation = Find(id);
  std::vector<TableRow> fresh;
  std::vector<TableRow> stale;
  for (const TableRow& row : rows) {
    const std::optional<FinishedGroup> group = ReadReadyRow(row);
    if (group.has_value()) {
      (IsFresh(*group, *operation) ? fresh : stale).push_back(row);
    }
  }
  if (!stale.empty()) {
    stale.resize(std::min(stale.size(), kMaxGroupsPerReturn));
    ReturnStale(id, stale);
  } else if (fresh.empty()) {
    RetryLater(id, DeliveryOutcome::kNothingReady);
  } else {
    Form(id, std::move(fresh));
  }
}

// A batch has whole groups, the oldest first, and at least one of them.
void SampleDelivery::Form(uint64_t id, std::vector<TableRow> rows) {
  const Operation* operation = Find(id);
  std::sort(rows.begin(), rows.end(), [](const TableRow& a, const TableRow& b) {
    const FinishedGroup first = DecodeReadyRow(a.value);
    const FinishedGroup second = DecodeReadyRow(b.value);
    return std::tie(first.step, first.oldest_version, first.id) <
           std::tie(second.step, second.oldest_version, second.id);
  });
  DeliveryCursor cursor = operation->cursor;
  const std::vector<std::string> expired = cursor.expired_objects();
  TableTransaction transaction;
  transaction.checks = {{m_rows.CursorKey(), operation->cursor_version}};
  std::vector<FinishedGroup> groups;
  int64_t samples = 0;
  for (const TableRow& row : rows) {
    FinishedGroup group = DecodeReadyRow(row.value);
    if (!groups.empty() && samples + group.samples > operation->request.max_samples) {
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
    if (Find(id) == nullptr) {
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
  for (const FinishedGroup& group : Find(id)->cursor.open()->groups) {
    keys.push_back(m_rows.GroupKey(group.id));
  }
  m_context.table->Read(std::move(keys), m_guard.Wrap([this, id](const ReadResult& result) {
    if (Find(id) == nullptr) {
      return;
    }
    if (!result.ok) {
      RetryLater(id, DeliveryOutcome::kStoreUnavailable);
      return;
    }
    CommitVoid(id, result.rows);
  }));
}

// While a batch is open, the rows of its groups change only together with the cursor, so the check on the cursor
// covers them.
void SampleDelivery::CommitVoid(uint64_t id, const std::vector<TableRow>& group_rows) {
  Operation* operation = Find(id);
  const std::vector<FinishedGroup> groups = operation->cursor.open()->groups;
  TableTransaction transaction;
  transaction.checks = {{m_rows.CursorKey(), operation->cursor_version}};
  for (size_t i = 0; i < groups.size(); ++i) {
    if (group_rows.at(i).version == 0) {
      // The batch ended after the cursor was read.
      ReadCursor(id);
      return;
    }
    if (IsFresh(groups[i], *operation)) {
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
  DeliveryCursor cursor = operation->cursor;
  cursor.VoidOpen();
  transaction.writes.push_back({m_rows.CursorKey(), cursor.Encode()});
  CommitAndReread(id, std::move(transaction), true);
}

void SampleDelivery::ReturnStale(uint64_t id, const std::vector<TableRow>& ready_rows) {
  std::vector<std::string> keys;
  keys.reserve(ready_rows.size());
  for (const TableRow& row : ready_rows) {
    keys.push_back(m_rows.GroupKey(DecodeReadyRow(row.value).id));
  }
  m_context.table->Read(std::move(keys), m_guard.Wrap([this, id, ready_rows](const ReadResult& result) {
    if (Find(id) == nullptr) {
      return;
    }
    if (!result.ok) {
      RetryLater(id, DeliveryOutcome::kStoreUnavailable);
      return;
    }
    CommitReturn(id, ready_rows, result.rows);
  }));
}

void SampleDelivery::CommitReturn(uint64_t id, const std::vector<TableRow>& ready_rows,
                                  const std::vector<TableRow>& group_rows) {
  TableTransaction transaction;
  for (size_t i = 0; i < ready_rows.size(); ++i) {
    const std::optional<std::string> unowned =
        group_rows.at(i).version != 0 ? UnownedGroupRow(group_rows[i]) : std::nullopt;
    if (!unowned.has_value()) {
      // Another instance has returned the group meanwhile, or its row is malformed.
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

void SampleDelivery::CommitAndReread(uint64_t id, TableTransaction transaction, bool regenerates) {
  m_sender.Send(std::move(transaction), m_guard.Wrap([this, id, regenerates](const TransactResult& result) {
    if (regenerates && m_regenerate_listener) {
      m_regenerate_listener();
    }
    if (Find(id) == nullptr) {
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
  Operation* operation = Find(id);
  if (m_context.scheduler->clock().Now() + kPollInterval > operation->deadline) {
    Finish(id, {reason});
    return;
  }
  operation->waiting = reason == DeliveryOutcome::kNothingReady;
  operation->rechecking = false;
  operation->retry_timer = m_context.scheduler->After(kPollInterval, [this, id] {
    Find(id)->waiting = false;
    ReadVersion(id);
  });
}

void SampleDelivery::Finish(uint64_t id, const FetchResult& result) {
  const auto it = m_operations.find(id);
  if (it == m_operations.end()) {
    return;
  }
  const std::unique_ptr<Operation> operation = std::move(it->second);
  m_operations.erase(it);
  operation->callback(result);
}

SampleDelivery::Operation* SampleDelivery::Find(uint64_t id) {
  const auto it = m_operations.find(id);
  return it != m_operations.end() ? it->second.get() : nullptr;
}

}  // namespace quetzalridge
