#include "coordination/batch_runner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

// Items start only this long after the job's rows were known to name this process and no end. With the time of one
// read and the way to the endpoint it stays below the 3 s within which an ended job's items must stop.
constexpr Duration kConfirmationLife = Duration::Seconds(2);
// Longer outages of the table are rare, and an instance that is cut off from everything looks like one.
constexpr Duration kLongestOutage = Duration::Seconds(15);
// Results that finish within this time are stored together.
constexpr Duration kAppendWindow = Duration::Milliseconds(40);
constexpr Duration kAppendRetry = Duration::Milliseconds(250);
// Limits of one transaction of the table service, with room for its other rows: 100 rows and 1 MB in base64.
constexpr size_t kMaxAppendRows = 80;
constexpr size_t kMaxAppendBytes = 600'000;
// A row holds 64 KB in base64, of which the adapter takes some for the identity.
constexpr size_t kMaxRowBytes = 48'000;
// A generation that waits for its turn at an endpoint, and one that is preempted or waits for new weights, is silent
// for a second or two.
constexpr Duration kItemHeadTimeout = Duration::Seconds(4);
constexpr Duration kItemIdleTimeout = Duration::Seconds(3);
constexpr Duration kRetryDelay = Duration::Milliseconds(50);
constexpr Duration kFailedRunDelay = Duration::Milliseconds(200);
// An item whose runs end without any event this often may be what stops its endpoints; the rest of its attempts are
// spread over its time.
constexpr int kFruitlessRunsToSuspect = 3;
constexpr Duration kSuspectDelay = Duration::Seconds(20);
constexpr int kIdentityBytes = 8;
// Long items are the ones whose loss holds a step up; they take several seconds.
constexpr Duration kCheckpointInterval = Duration::Milliseconds(1200);
constexpr int64_t kLeastCheckpointEvents = 20;
constexpr int kStatusOk = 200;
constexpr int kStatusNeverPossible = 422;
constexpr int kStatusRunFailed = 500;

}  // namespace

std::optional<BatchRows> ReadBatchRows(const std::vector<TableRow>& rows, bool* malformed) {
  *malformed = false;
  BatchRows result;
  bool has_head = false;
  for (const TableRow& row : rows) {
    const std::string name = SplitTableKey(row.key).name;
    bool readable = true;
    if (name == "head") {
      const std::optional<BatchHead> head = DecodeBatchHead(row.value);
      readable = head.has_value();
      has_head = readable;
      result.head = head.value_or(BatchHead());
    } else if (name == "owner") {
      const std::optional<BatchOwner> owner = DecodeBatchOwner(row.value);
      readable = owner.has_value();
      result.owner = owner.value_or(BatchOwner());
      result.owner_version = row.version;
    } else if (name == "tail") {
      const std::optional<BatchTail> tail = DecodeBatchTail(row.value);
      readable = tail.has_value();
      result.tail = tail.value_or(BatchTail());
      result.tail_version = row.version;
    } else if (name == "end") {
      result.ended = true;
    }
    if (!readable) {
      Log(LogEvent::kBatchRowMalformed, {{"row", row.key}, {"row_version", std::to_string(row.version)}});
      *malformed = true;
      return std::nullopt;
    }
  }
  return has_head ? std::optional<BatchRows>(std::move(result)) : std::nullopt;
}

// One run of one item at one endpoint.
class BatchRunner::ItemRun : public EndpointCallObserver {
 public:
  ItemRun(BatchRunner* owner, size_t index, std::string endpoint)
      : m_owner(owner), m_index(index), m_endpoint(std::move(endpoint)) {
    m_owner->m_context->endpoints->OnCallStarted(m_endpoint);
  }
  ~ItemRun() override { m_owner->m_context->endpoints->OnCallEnded(m_endpoint); }
  ItemRun(const ItemRun&) = delete;
  ItemRun& operator=(const ItemRun&) = delete;

  void Begin(EndpointCall call) { m_exchange = m_owner->m_context->caller->Start(std::move(call), this); }

  void OnHead(const EndpointResponseHead& head) override {
    m_head = head;
    if (head.status != kStatusOk) {
      return;
    }
    m_owner->m_context->endpoints->OnAnswer(m_endpoint);
    if (head.model_version.has_value()) {
      m_owner->m_context->endpoints->OnModelVersion(m_endpoint, m_owner->m_spec.model, *head.model_version);
      m_stale = *head.model_version < m_owner->m_spec.oldest_version;
    }
    m_owner->m_progress.item(m_index).transcript.BeginRun(head.model_version);
  }

  void OnBody(std::string_view) override {}

  void OnEvent(const StreamEvent& event) override {
    if (m_stale || m_gap || !m_head.has_value() || m_head->status != kStatusOk) {
      return;
    }
    const TimePoint now = m_owner->Now();
    if (m_last_event_at.has_value()) {
      m_owner->m_context->endpoints->OnEventGap(m_endpoint, now - *m_last_event_at);
    }
    m_last_event_at = now;
    ItemProgress& item = m_owner->m_progress.item(m_index);
    const EventTranscript::Append append = item.transcript.Add(event.id, event.data, event.model_version);
    m_gap = append == EventTranscript::Append::kGap;
    m_new_events += append == EventTranscript::Append::kAdded ? 1 : 0;
  }

  void OnEnd(const EndpointCallResult& result) override {
    // Destroys this run.
    m_owner->OnRunEnded(m_index, m_endpoint, result);
  }

  const std::string& endpoint() const { return m_endpoint; }
  const std::optional<EndpointResponseHead>& head() const { return m_head; }
  bool stale() const { return m_stale; }
  bool gap() const { return m_gap; }
  int new_events() const { return m_new_events; }

 private:
  BatchRunner* m_owner;
  size_t m_index;
  std::string m_endpoint;
  std::optional<EndpointResponseHead> m_head;
  // The endpoint generates with a version that is too old for the job.
  bool m_stale = false;
  // An event is missing.
  bool m_gap = false;
  int m_new_events = 0;
  std::optional<TimePoint> m_last_event_at;
  std::unique_ptr<EndpointExchange> m_exchange;
};

BatchRunner::BatchRunner(const BatchContext* context, BatchRows rows, std::vector<BatchItem> items,
                         TimePoint confirmed_at)
    : m_context(context),
      m_rows(std::move(rows)),
      m_spec([this, &items] {
        BatchSpec spec = m_rows.head.spec;
        spec.items = std::move(items);
        return spec;
      }()),
      m_progress(&m_spec),
      m_confirmed_at(confirmed_at),
      m_ended(m_rows.ended) {
  for (const size_t index : m_rows.tail.listed) {
    if (index < m_progress.size()) {
      m_progress.SetPhase(index, ItemPhase::kListed);
    }
  }
}

BatchRunner::~BatchRunner() {
  Stop();
}

const ServiceRoute* BatchRunner::Route() const {
  return m_context->routes->FindRoute(m_spec.host, m_spec.path);
}

// While the table answers nobody, no caller can end the job either, and its trainer waits for the results that are
// missing. An attempt to read the rows must have failed lately, so that an instance that wakes from a freeze asks
// first.
bool BatchRunner::MayStartItems() const {
  if (m_ended || m_lost || m_stopped) {
    return false;
  }
  const TimePoint now = Now();
  const bool nobody_is_answered = now - m_unreachable_at <= kConfirmationLife && now - m_confirmed_at <= kLongestOutage;
  return now - m_confirmed_at <= kConfirmationLife || nobody_is_answered;
}

// An item may be given up a while after the submission; until then its failures leave hope.
void BatchRunner::GiveUpOldItems() {
  const ServiceRoute* route = Route();
  if (route == nullptr || route->max_queue <= Duration() ||
      m_context->wall_ms() - m_spec.submitted_at_ms < route->max_queue.ms()) {
    return;
  }
  for (size_t i = 0; i < m_progress.size(); ++i) {
    if (m_progress.item(i).phase == ItemPhase::kWaiting) {
      FinishItem(i, BatchResultState::kFailed, "not finished within the longest time of its route");
    }
  }
}

bool BatchRunner::StartNext() {
  if (!MayStartItems()) {
    return false;
  }
  GiveUpOldItems();
  const ServiceRoute* route = Route();
  if (route == nullptr) {
    return false;
  }
  const std::optional<size_t> next = m_progress.NextItem(Now());
  return next.has_value() && StartItem(*next, *route);
}

bool BatchRunner::StartItem(size_t index, const ServiceRoute& route) {
  const BatchItem& item = m_spec.items[index];
  const std::string& service = ChooseService(route, Hash64(item.id));
  const DirectoryEndpoint* endpoint = ChooseForItem(CandidatesFor(service), PlacementOf(index), m_context->zone);
  if (endpoint == nullptr) {
    return false;
  }
  StartItemAt(index, *endpoint);
  return true;
}

std::vector<ItemCandidate> BatchRunner::CandidatesFor(const std::string& service) const {
  std::vector<ItemCandidate> candidates;
  for (const DirectoryEndpoint* endpoint : m_context->endpoints->Usable(service)) {
    candidates.push_back({endpoint, m_context->endpoints->EventMs(*endpoint)});
  }
  return candidates;
}

ItemPlacement BatchRunner::PlacementOf(size_t index) const {
  ItemPlacement placement;
  placement.model = m_spec.model;
  placement.oldest_version = m_spec.oldest_version;
  const auto preferred = m_group_endpoints.find(m_spec.items[index].group);
  placement.preferred = preferred == m_group_endpoints.end() ? "" : preferred->second;
  const auto avoided = m_last_endpoints.find(index);
  placement.avoided = avoided == m_last_endpoints.end() ? "" : avoided->second;
  return placement;
}

void BatchRunner::MoveStragglers() {
  const ServiceRoute* route = Route();
  if (!MayStartItems() || route == nullptr || route->single_version) {
    return;
  }
  for (const auto& [index, run] : m_runs) {
    const EventTranscript& transcript = m_progress.item(index).transcript;
    const DirectoryEndpoint* present = m_context->endpoints->Find(run->endpoint());
    if (present == nullptr || transcript.empty()) {
      continue;
    }
    const std::string& service = ChooseService(*route, Hash64(m_spec.items[index].id));
    const ItemCandidate holder{present, m_context->endpoints->EventMs(*present)};
    const DirectoryEndpoint* target =
        ChooseForMove(CandidatesFor(service), PlacementOf(index), holder, transcript.event_count());
    if (target == nullptr) {
      continue;
    }
    MoveItem(index, *target);
    // Each move takes a free place, which the next choice must see.
    return;
  }
}

void BatchRunner::MoveItem(size_t index, const DirectoryEndpoint& target) {
  Log(LogEvent::kBatchItemInterrupted, {{"job", m_spec.id},
                                        {"item", m_spec.items[index].id},
                                        {"endpoint", m_runs.at(index)->endpoint()},
                                        {"events", std::to_string(m_progress.item(index).transcript.event_count())},
                                        {"detail", "moved to the faster " + target.entry.id}});
  // Closing the connection ends the run at the slow endpoint.
  m_runs.erase(index);
  m_progress.SetPhase(index, ItemPhase::kWaiting);
  StartItemAt(index, target);
}

void BatchRunner::StartItemAt(size_t index, const DirectoryEndpoint& target) {
  const BatchItem& item = m_spec.items[index];
  const ItemProgress& progress = m_progress.item(index);
  const DirectoryEndpoint* endpoint = &target;
  EndpointCall call;
  call.endpoint_id = endpoint->entry.id;
  call.address = endpoint->entry.address;
  call.host = m_spec.host;
  call.target = item.target;
  call.headers = item.headers;
  call.body = item.body;
  call.request_id = item.id;
  call.workspace = m_spec.workspace;
  call.head_timeout = kItemHeadTimeout;
  call.idle_timeout = kItemIdleTimeout;
  call.resume_after = progress.transcript.last_id();
  call.reads_events = true;
  m_group_endpoints[item.group] = endpoint->entry.id;
  const auto version = endpoint->entry.model_versions.find(m_spec.model);
  Log(LogEvent::kBatchItemSent,
      {{"job", m_spec.id},
       {"item", item.id},
       {"endpoint", endpoint->entry.id},
       {"endpoint_in_flight", std::to_string(endpoint->in_flight)},
       {"model_version", std::to_string(version == endpoint->entry.model_versions.end() ? 0 : version->second)},
       {"resume_after", call.resume_after.has_value() ? std::to_string(*call.resume_after) : "-"},
       {"confirmed_ms_ago", std::to_string((Now() - m_confirmed_at).ms())}});
  m_progress.SetPhase(index, ItemPhase::kRunning);
  auto run = std::make_unique<ItemRun>(this, index, endpoint->entry.id);
  ItemRun* started = run.get();
  m_runs[index] = std::move(run);
  started->Begin(std::move(call));
}

void BatchRunner::OnRunEnded(size_t index, const std::string& endpoint, const EndpointCallResult& result) {
  const std::unique_ptr<ItemRun> run = std::move(m_runs[index]);
  m_runs.erase(index);
  m_progress.SetPhase(index, ItemPhase::kWaiting);
  ItemProgress& item = m_progress.item(index);
  const int status = run->head().has_value() ? run->head()->status : 0;
  const ServiceRoute* route = Route();
  const bool whole = result.outcome == EndpointCallOutcome::kComplete;
  m_last_endpoints[index] = endpoint;
  if (whole && status == kStatusOk && !run->stale() && !run->gap() && !item.transcript.empty()) {
    const bool mixed = route != nullptr && route->single_version && item.transcript.model_versions().size() > 1;
    if (!mixed && item.transcript.IsFresh(m_spec.oldest_version)) {
      FinishItem(index, BatchResultState::kCompleted, "");
      return;
    }
    item.transcript.Clear();
  } else if (status == kStatusNeverPossible && whole) {
    FinishItem(index, BatchResultState::kFailed, "the endpoint can never run it");
    return;
  } else if (status == kStatusRunFailed && whole) {
    ++item.failed_runs;
    if (route != nullptr && item.failed_runs >= route->max_attempts) {
      FinishItem(index, BatchResultState::kFailed, "its runs failed");
      return;
    }
  }
  const bool refused = run->head().has_value() && (run->head()->not_run || run->head()->wrong_endpoint);
  if (refused && run->head()->wrong_endpoint) {
    m_context->endpoints->OnWrongInstance(endpoint);
  } else if (refused) {
    m_context->endpoints->OnFull(endpoint);
  } else if (run->stale() || (result.outcome != EndpointCallOutcome::kComplete && run->new_events() == 0)) {
    const Duration avoidance = m_context->endpoints->OnNoAnswer(endpoint);
    Log(LogEvent::kEndpointAvoided, {{"endpoint", endpoint},
                                     {"for_ms", std::to_string(avoidance.ms())},
                                     {"reason", run->stale() ? "old model version" : result.detail}});
  }
  const bool fruitless =
      !refused && !whole && run->new_events() == 0 && result.outcome != EndpointCallOutcome::kNotSent;
  item.fruitless_runs = fruitless ? item.fruitless_runs + 1 : 0;
  Duration delay = refused ? Duration() : kRetryDelay;
  if (status == kStatusRunFailed) {
    delay = kFailedRunDelay;
  } else if (item.fruitless_runs >= kFruitlessRunsToSuspect) {
    delay = kSuspectDelay;
  }
  Log(LogEvent::kBatchItemInterrupted, {{"job", m_spec.id},
                                        {"item", m_spec.items[index].id},
                                        {"endpoint", endpoint},
                                        {"status", std::to_string(status)},
                                        {"not_run", refused ? "yes" : "no"},
                                        {"events", std::to_string(item.transcript.event_count())},
                                        {"new_events", std::to_string(run->new_events())},
                                        {"detail", result.detail},
                                        {"retry_ms", std::to_string(delay.ms())}});
  Retry(index, delay);
}

void BatchRunner::Retry(size_t index, Duration delay) {
  m_progress.item(index).not_before = Now() + delay;
  if (m_work_changed) {
    m_work_changed();
  }
}

void BatchRunner::FinishItem(size_t index, BatchResultState state, const std::string& reason) {
  ItemProgress& item = m_progress.item(index);
  BatchResult result;
  result.item = m_spec.items[index].id;
  result.state = state;
  if (state == BatchResultState::kCompleted) {
    result.text = item.transcript.text();
    result.model_versions.assign(item.transcript.model_versions().begin(), item.transcript.model_versions().end());
  }
  Log(LogEvent::kBatchItemDone, {{"job", m_spec.id},
                                 {"item", result.item},
                                 {"state", state == BatchResultState::kCompleted ? "completed" : "failed"},
                                 {"events", std::to_string(item.transcript.event_count())},
                                 {"reason", reason.empty() ? "-" : reason}});
  item.transcript.Clear();
  item.result = std::move(result);
  m_progress.SetPhase(index, ItemPhase::kFinished);
  ScheduleAppend(kAppendWindow);
  if (m_work_changed) {
    m_work_changed();
  }
}

void BatchRunner::ScheduleAppend(Duration delay) {
  if (m_append_timer == nullptr && !m_appending && !m_lost) {
    m_append_timer = m_context->scheduler->After(delay, [this] {
      m_append_timer.reset();
      Append();
    });
  }
}

// The checks make sure that only the owner appends, and only after the results that it knows. A repeated or late
// transaction therefore fails instead of moving a position.
void BatchRunner::Append() {
  if (m_appending || m_lost || m_ended || m_progress.CountIn(ItemPhase::kFinished) == 0) {
    return;
  }
  TableTransaction transaction;
  transaction.checks = {{BatchOwnerKey(m_spec.id), m_rows.owner_version},
                        {BatchTailKey(m_spec.id), m_rows.tail_version}};
  BatchTail tail = m_rows.tail;
  std::vector<size_t> appended;
  size_t bytes = 0;
  for (size_t i = 0; i < m_progress.size(); ++i) {
    if (m_progress.item(i).phase != ItemPhase::kFinished) {
      continue;
    }
    const std::string value = EncodeBatchResult(*m_progress.item(i).result);
    const std::vector<std::string> parts = SplitValue(value, kMaxRowBytes);
    const bool fits =
        transaction.writes.size() + parts.size() <= kMaxAppendRows && bytes + value.size() <= kMaxAppendBytes;
    if (!appended.empty() && !fits) {
      break;
    }
    bytes += value.size();
    for (size_t part = 0; part < parts.size(); ++part) {
      transaction.writes.push_back({BatchResultKey(m_spec.id, tail.listed.size(), part), parts[part]});
    }
    tail.listed.push_back(i);
    appended.push_back(i);
  }
  transaction.writes.push_back({BatchTailKey(m_spec.id), EncodeBatchTail(tail)});
  transaction.id = RandomHex(kIdentityBytes);
  m_appending = true;
  m_context->store->Transact(std::move(transaction), m_guard.Wrap([this, appended](const TransactResult& result) {
    OnAppended(appended, result);
  }));
}

void BatchRunner::OnAppended(const std::vector<size_t>& appended, const TransactResult& result) {
  m_appending = false;
  Log(LogEvent::kBatchAppended, {{"job", m_spec.id},
                                 {"outcome", std::string(TransactOutcomeName(result.outcome))},
                                 {"results", std::to_string(appended.size())},
                                 {"listed_before", std::to_string(listed_count())},
                                 {"of", std::to_string(m_progress.size())}});
  if (result.outcome == TransactOutcome::kCommitted) {
    BatchTail tail = m_rows.tail;
    tail.listed.insert(tail.listed.end(), appended.begin(), appended.end());
    TakeTail(tail, result.revision);
    ScheduleAppend(kAppendWindow);
    return;
  }
  // Another owner's list names results of its own runs, so it must not be served from this process's memory.
  for (const TableRow& row : result.rows) {
    if (row.key == BatchOwnerKey(m_spec.id) && row.version > m_rows.owner_version) {
      m_lost = true;
      Stop();
      return;
    }
  }
  for (const TableRow& row : result.rows) {
    if (row.key != BatchTailKey(m_spec.id) || row.version <= m_rows.tail_version) {
      continue;
    }
    const std::optional<BatchTail> tail = DecodeBatchTail(row.value);
    if (tail.has_value()) {
      TakeTail(*tail, row.version);
    }
  }
  ScheduleAppend(kAppendRetry);
}

void BatchRunner::TakeTail(const BatchTail& tail, int64_t version) {
  m_rows.tail = tail;
  m_rows.tail_version = version;
  for (const size_t index : tail.listed) {
    if (index < m_progress.size() && m_progress.item(index).phase != ItemPhase::kListed) {
      m_runs.erase(index);
      m_progress.SetPhase(index, ItemPhase::kListed);
    }
  }
  WakeWaiters();
}

void BatchRunner::OnRows(const BatchRows& rows, TimePoint read_at) {
  if (rows.owner_version > m_rows.owner_version) {
    m_lost = true;
    Stop();
    return;
  }
  if (rows.ended) {
    End();
    return;
  }
  if (rows.owner_version == m_rows.owner_version && read_at > m_confirmed_at) {
    m_confirmed_at = read_at;
  }
  if (rows.tail_version > m_rows.tail_version && !m_appending) {
    TakeTail(rows.tail, rows.tail_version);
  }
}

void BatchRunner::End() {
  if (m_ended) {
    return;
  }
  m_ended = true;
  StorePartialTexts([] {});
  Stop();
}

void BatchRunner::CheckpointTexts() {
  if (Now() - m_checkpoint_at < kCheckpointInterval || !MayStartItems()) {
    return;
  }
  m_checkpoint_at = Now();
  StoreTexts(kLeastCheckpointEvents, [] {});
}

// What a lost write costs is generated again, so its outcome does not matter. Stored texts of items that have their
// result are removed.
void BatchRunner::StoreTexts(int64_t least_new_events, std::function<void()> callback) {
  std::vector<std::pair<size_t, PartialText>> texts;
  TableTransaction transaction;
  transaction.id = RandomHex(kIdentityBytes);
  for (size_t i = 0; i < m_progress.size(); ++i) {
    const ItemProgress& item = m_progress.item(i);
    const auto stored = m_stored_texts.find(i);
    if (stored != m_stored_texts.end() && item.phase == ItemPhase::kListed) {
      for (size_t row = 0; row < stored->second.rows; ++row) {
        transaction.writes.push_back({PartialTextKey(m_spec.model, m_spec.items[i].id, row), std::nullopt});
      }
      m_stored_texts.erase(stored);
      continue;
    }
    const int64_t known = stored == m_stored_texts.end() ? 0 : stored->second.events;
    std::optional<PartialText> partial = item.transcript.Save();
    if (partial.has_value() && partial->event_count - known >= least_new_events) {
      partial->item = m_spec.items[i].id;
      partial->stored_at_ms = m_context->wall_ms();
      texts.emplace_back(i, std::move(*partial));
    }
  }
  std::sort(texts.begin(), texts.end(),
            [](const auto& a, const auto& b) { return a.second.event_count > b.second.event_count; });
  size_t bytes = 0;
  for (const auto& [index, partial] : texts) {
    const std::vector<std::string> parts = EncodePartialText(partial, transaction.id, kMaxRowBytes);
    bytes += partial.text.size();
    if (transaction.writes.size() + parts.size() > kMaxAppendRows || bytes > kMaxAppendBytes) {
      break;
    }
    for (size_t part = 0; part < parts.size(); ++part) {
      transaction.writes.push_back({PartialTextKey(m_spec.model, partial.item, part), parts[part]});
    }
    m_stored_texts[index] = {partial.event_count, parts.size()};
  }
  if (transaction.writes.empty()) {
    callback();
    return;
  }
  m_context->store->Transact(std::move(transaction),
                             [callback = std::move(callback)](const TransactResult&) { callback(); });
}

void BatchRunner::UsePartialTexts(const std::vector<PartialText>& texts) {
  const ServiceRoute* route = Route();
  int used = 0;
  for (const PartialText& partial : texts) {
    const std::optional<size_t> index = m_progress.FindItem(partial.item);
    if (!index.has_value() || m_progress.item(*index).phase != ItemPhase::kWaiting) {
      continue;
    }
    EventTranscript transcript;
    transcript.Restore(partial);
    const bool mixed = route != nullptr && route->single_version;
    const bool longer = transcript.event_count() > m_progress.item(*index).transcript.event_count();
    if (transcript.IsFresh(m_spec.oldest_version) && !mixed && longer) {
      m_progress.item(*index).transcript = std::move(transcript);
      ++used;
    }
  }
  Log(LogEvent::kBatchOwned, {{"job", m_spec.id}, {"step", "earlier texts"}, {"used", std::to_string(used)}});
}

void BatchRunner::StopForGood() {
  if (m_stopped) {
    return;
  }
  m_stopped = true;
  Stop();
  if (m_append_timer != nullptr) {
    m_append_timer.reset();
    Append();
  }
}

void BatchRunner::Stop() {
  m_runs.clear();
  for (size_t i = 0; i < m_progress.size(); ++i) {
    if (m_progress.item(i).phase == ItemPhase::kRunning) {
      m_progress.SetPhase(i, ItemPhase::kWaiting);
    }
  }
  WakeWaiters();
}

const BatchResult* BatchRunner::ResultAt(size_t position) const {
  if (position >= m_rows.tail.listed.size()) {
    return nullptr;
  }
  const std::optional<BatchResult>& result = m_progress.item(m_rows.tail.listed[position]).result;
  return result.has_value() ? &*result : nullptr;
}

void BatchRunner::WaitForResult(size_t position, std::function<void()> callback) {
  m_waiters.emplace_back(position, std::move(callback));
}

void BatchRunner::WakeWaiters() {
  std::vector<std::function<void()>> due;
  for (auto it = m_waiters.begin(); it != m_waiters.end();) {
    if (listed_count() > it->first || IsDone()) {
      due.push_back(std::move(it->second));
      it = m_waiters.erase(it);
    } else {
      ++it;
    }
  }
  for (const std::function<void()>& callback : due) {
    callback();
  }
}

}  // namespace quetzalridge
