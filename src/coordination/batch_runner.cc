#include "coordination/batch_runner.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "coordination/avoid_endpoint.h"
#include "state/split_choice.h"

namespace quetzalridge {

namespace {

// Items start only this long after a read showed that this process owns the job and that the job was not ended.
// Together with the time of one read and of a request to an endpoint, this stays below the 3 s within which the items
// of an ended job must stop.
constexpr Duration kConfirmationLifetime = Duration::Seconds(2);
// Items keep starting during an outage of the table of at most this length. Longer outages are rare, and an instance
// that is disconnected from the network cannot distinguish this from an outage of the table.
constexpr Duration kMaxTableOutage = Duration::Seconds(15);
// Results that finish within this time are stored in one transaction.
constexpr Duration kAppendWindow = Duration::Milliseconds(40);
// Texts that are complete within this time are stored in one transaction.
constexpr Duration kCompleteTextWindow = Duration::Milliseconds(25);
constexpr Duration kAppendRetry = Duration::Milliseconds(250);
// Limits for the results in one transaction. They are lower than those of the table service, which are 100 rows and
// 1 MB in base64, to leave room for the other rows of the transaction.
constexpr size_t kMaxAppendRows = 80;
constexpr size_t kMaxAppendBytes = 600'000;
// A row holds 64 KB in base64, of which the adapter of the table service uses some for the transaction id.
constexpr size_t kMaxRowBytes = 48'000;
// Both timeouts exceed a second or two: a generation sends nothing for that long while it waits in the queue of an
// endpoint, is preempted, or waits for new weights.
constexpr Duration kItemHeadTimeout = Duration::Seconds(4);
constexpr Duration kItemIdleTimeout = Duration::Seconds(3);
constexpr Duration kRetryDelay = Duration::Milliseconds(50);
// An interrupted item may start again from the beginning if no endpoint with the software version of its text has taken
// it for this time. Most texts are generated in less.
constexpr Duration kMaxContinuationWait = Duration::Milliseconds(1500);
constexpr Duration kFailedRunRetryDelay = Duration::Milliseconds(200);
// Time after which an item is tried again that neither this instance nor another one could send to its endpoint.
constexpr Duration kNoPathRetryDelay = Duration::Milliseconds(200);
// The delay doubles with each run in a row that ends without a new event, up to this limit. It stays short, since
// endpoints that crash under an item are not a sign that the item is at fault, and its step waits for it.
constexpr Duration kMaxRetryDelay = Duration::Seconds(1);
constexpr int kMaxRetryDoublings = 5;
constexpr int kTransactionIdBytes = 8;
// At most this many items that have waited for too long are given up in one turn of the event loop.
constexpr int kMaxFailedPerTurn = 500;
// Partial texts are stored at this interval if enough new events have arrived. Only items that take several seconds
// reach that number, and the loss of the text of such an item would delay a whole training step.
constexpr Duration kCheckpointInterval = Duration::Milliseconds(1200);
constexpr int64_t kMinCheckpointEvents = 20;
constexpr int kStatusOk = 200;
constexpr int kStatusUnprocessable = 422;
constexpr int kStatusRunFailed = 500;

}  // namespace

std::optional<BatchRows> ReadBatchRows(const std::vector<TableRow>& rows, bool* malformed) {
  *malformed = false;
  BatchRows result;
  BatchResultList parts;
  std::optional<std::string> tail;
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
      tail = row.value;
      result.result_list_version = row.version;
    } else if (name.compare(0, std::strlen(kResultListPartPrefix), kResultListPartPrefix) == 0) {
      // The rows are in key order, so the parts are in the order of the list.
      const std::optional<std::vector<size_t>> part = DecodeBatchResultListPart(row.value);
      readable = part.has_value();
      if (readable) {
        parts.item_indices.insert(parts.item_indices.end(), part->begin(), part->end());
      }
    } else if (name == "end") {
      result.ended = true;
    }
    if (!readable) {
      Log(LogEvent::kBatchRowMalformed, {{"row", row.key}, {"row_version", std::to_string(row.version)}});
      *malformed = true;
      return std::nullopt;
    }
  }
  if (tail.has_value()) {
    std::optional<BatchResultList> result_list = DecodeBatchResultList(*tail, parts);
    if (!result_list.has_value()) {
      Log(LogEvent::kBatchRowMalformed, {{"row", BatchResultListKey(result.head.spec.id)},
                                         {"row_version", std::to_string(result.result_list_version)}});
      *malformed = true;
      return std::nullopt;
    }
    result.result_list = std::move(*result_list);
  }
  return has_head ? std::optional<BatchRows>(std::move(result)) : std::nullopt;
}

// One run of one item on one endpoint.
class BatchRunner::ItemRun : public EndpointCallObserver {
 public:
  ItemRun(BatchRunner* runner, size_t index, const EndpointEntry& endpoint)
      : m_runner(runner),
        m_index(index),
        m_endpoint(endpoint.id),
        m_service(endpoint.service),
        m_software_version(endpoint.software_version),
        m_placed(&runner->m_placer, index, endpoint.id) {}
  ~ItemRun() override = default;
  ItemRun(const ItemRun&) = delete;
  ItemRun& operator=(const ItemRun&) = delete;

  void Begin(EndpointCall call) { m_exchange = m_runner->m_context->caller->Start(std::move(call), this); }

  void OnHead(const EndpointResponseHead& head) override {
    m_head = head;
    m_progress_at = m_runner->Now();
    if (head.status != kStatusOk) {
      return;
    }
    m_runner->OnEndpointResponse(m_endpoint);
    if (head.model_version.has_value()) {
      m_runner->m_context->endpoints->OnModelVersion(m_endpoint, m_runner->m_spec.model, *head.model_version);
      m_stale = *head.model_version < m_runner->m_spec.oldest_version;
    }
    m_runner->m_progress.item(m_index).transcript.BeginRun(head.model_version, m_service, m_software_version);
  }

  void OnBody(std::string_view) override {}

  // This call may destroy the run.
  void OnEvent(const StreamEvent& event) override {
    if (!m_head.has_value() || m_head->status != kStatusOk) {
      return;
    }
    const TimePoint now = m_runner->Now();
    EventTranscript::AppendResult append_result = EventTranscript::AppendResult::kGap;
    if (!m_stale && !m_event_missing) {
      m_placed.OnEvent(m_head->relayed);
      append_result = m_runner->m_progress.item(m_index).transcript.Append(event.id, event.data, event.model_version);
      m_event_missing = append_result == EventTranscript::AppendResult::kGap;
    }
    if (append_result == EventTranscript::AppendResult::kAdded) {
      ++m_new_events;
      m_progress_at = now;
    } else if (now - m_progress_at > kItemIdleTimeout) {
      EndRun("the stream sends events, but none that continues the text", true);
      return;
    }
    const bool too_long = append_result == EventTranscript::AppendResult::kTooLong;
    if (too_long || !m_runner->RecordTextMemory(m_index)) {
      m_text_rejected = true;
      EndRun(too_long ? "the text has no end" : "the texts of all items take too much memory", false);
    }
  }

  void OnEnd(const EndpointCallResult& result) override {
    // This call destroys the run.
    m_runner->OnRunEnded(m_index, m_endpoint, result);
  }

  const std::string& endpoint() const { return m_endpoint; }
  // The service of the endpoint.
  const std::string& service() const { return m_service; }
  const std::optional<EndpointResponseHead>& head() const { return m_head; }
  bool stale() const { return m_stale; }
  bool event_missing() const { return m_event_missing; }
  bool text_rejected() const { return m_text_rejected; }
  int new_events() const { return m_new_events; }

 private:
  // Ends the call. This destroys the run.
  void EndRun(const std::string& detail, bool timed_out) {
    EndpointCallResult result;
    result.outcome = EndpointCallOutcome::kTruncated;
    result.timed_out = timed_out;
    result.detail = detail;
    OnEnd(result);
  }

  BatchRunner* m_runner;
  size_t m_index;
  std::string m_endpoint;
  std::string m_service;
  std::string m_software_version;
  JobPlacer::Run m_placed;
  std::optional<EndpointResponseHead> m_head;
  // The endpoint generates with a model version that is too old for the job.
  bool m_stale = false;
  // An event between the last one of the transcript and the received one is missing.
  bool m_event_missing = false;
  // The text is longer than any response of a sound endpoint, or than the memory allows.
  bool m_text_rejected = false;
  int m_new_events = 0;
  // When an event last continued the text; the response head before the first one.
  TimePoint m_progress_at;
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
      m_item_memory(context->client_memory, HolderKind::kJob, nullptr),
      m_progress(&m_spec),
      m_placer(&m_spec, &m_progress, context->placement.get(), context->endpoints, &context->scheduler->clock(),
               Route() == nullptr ? "" : Route()->name, context->zone),
      m_started_at(Now()),
      m_confirmed_at(confirmed_at),
      m_ended(m_rows.ended) {
  m_item_memory.SetProtected(true);
  m_item_memory.Record(JobMemoryBytes(m_spec.items));
  for (const size_t index : m_rows.result_list.item_indices) {
    if (index < m_progress.size()) {
      m_progress.SetPhase(index, ItemPhase::kStored);
    }
  }
}

BatchRunner::~BatchRunner() {
  CancelRuns();
}

const ServiceRoute* BatchRunner::Route() const {
  return m_context->routes->FindBatchRoute(m_spec.host, m_spec.path);
}

// During an outage of the table no caller can end the job either, and the trainer still waits for the missing results,
// so items keep starting. This requires a read that failed recently: an instance whose process was paused must read the
// rows before it starts items.
bool BatchRunner::MayStartItems() const {
  return !m_ended && !m_stopped && IsOwnershipConfirmed();
}

bool BatchRunner::IsOwnershipConfirmed() const {
  if (m_ownership_lost) {
    return false;
  }
  const TimePoint now = Now();
  const bool table_is_down = now - m_unreachable_at <= kConfirmationLifetime && now - m_confirmed_at <= kMaxTableOutage;
  return now - m_confirmed_at <= kConfirmationLifetime || table_is_down;
}

// Fails the waiting items of a job whose longest queue time has passed since its submission; until then they are
// retried.
bool BatchRunner::FailExpiredItems() {
  const ServiceRoute* route = Route();
  if (route == nullptr || route->max_queue <= Duration() ||
      m_context->wall_ms() - m_spec.submitted_at_ms < route->max_queue.ms()) {
    return false;
  }
  int failed = 0;
  for (size_t i = 0; i < m_progress.size() && failed < kMaxFailedPerTurn; ++i) {
    const ItemPhase phase = m_progress.item(i).phase;
    if (phase == ItemPhase::kWaiting || phase == ItemPhase::kAwaitingScore) {
      ++failed;
      m_context->reward_calls->Cancel(this, i);
      FinishItem(i, BatchResultState::kFailed, "not finished within the longest queue time of its route");
    }
  }
  return true;
}

bool BatchRunner::StartNextItem() {
  if (!MayStartItems() || FailExpiredItems()) {
    return false;
  }
  const ServiceRoute* route = Route();
  if (route == nullptr) {
    return false;
  }
  UpdateQueues(*route);
  const std::vector<size_t> next = m_progress.NextItems(Now());
  UnmetNeeds unmet;
  const auto start_without_wait = [&](size_t index) { return StartItem(index, *route, Duration(), &unmet); };
  const auto start_by_wait = [&](size_t index) {
    const TimePoint waits_since = std::max(m_started_at, m_progress.item(index).interrupted_at);
    return StartItem(index, *route, Now() - waits_since, &unmet);
  };
  // An item that has waited for its own service for long takes a slot of another one only if none of that one's items
  // can use it, so its wait counts only once all items were tried without it.
  return std::any_of(next.begin(), next.end(), start_without_wait) ||
         (route->services.size() > 1 && std::any_of(next.begin(), next.end(), start_by_wait));
}

void BatchRunner::UpdateQueues(const ServiceRoute& route) {
  if (route.services == m_queued_services) {
    return;
  }
  m_queued_services = route.services;
  std::map<std::string, size_t> queue_by_service;
  std::vector<size_t> queues;
  for (const BatchItem& item : m_spec.items) {
    const std::string& service = ChooseService(route, Hash64(item.id));
    queues.push_back(queue_by_service.try_emplace(service, queue_by_service.size()).first->second);
  }
  m_progress.SetQueues(std::move(queues));
}

bool BatchRunner::StartItem(size_t index, const ServiceRoute& route, Duration waited, UnmetNeeds* unmet) {
  const uint64_t hash = Hash64(m_spec.items[index].id);
  const EventTranscript& transcript = m_progress.item(index).transcript;
  ItemPlacement placement = m_placer.PlacementOf(index);
  if (!transcript.empty()) {
    // Earlier versions ran each item on its own service, and did not store it with the text.
    const std::string& service = transcript.service().empty() ? ChooseService(route, hash) : transcript.service();
    const bool may_continue = HasShare(route, service);
    const DirectoryEndpoint* endpoint = may_continue ? ChooseEndpoint(service, index, placement, unmet) : nullptr;
    if (endpoint != nullptr) {
      StartItemAt(index, *endpoint);
      return true;
    }
    if (may_continue && !MayRestart(index, service)) {
      return false;
    }
    placement.software_version.reset();
  }
  for (const std::string& service : ChooseServices(route, hash, *m_context->endpoints, Regions(), waited)) {
    const DirectoryEndpoint* endpoint = ChooseEndpoint(service, index, placement, unmet);
    if (endpoint != nullptr) {
      if (!transcript.empty()) {
        DiscardText(index, "no endpoint with its software version");
      }
      StartItemAt(index, *endpoint);
      return true;
    }
  }
  return false;
}

const DirectoryEndpoint* BatchRunner::ChooseEndpoint(const std::string& service, size_t index,
                                                     const ItemPlacement& placement, UnmetNeeds* unmet) const {
  const auto [need, is_new] = unmet->emplace(service, placement.software_version);
  if (!is_new) {
    return nullptr;
  }
  const DirectoryEndpoint* endpoint =
      ChooseWithPermit(m_context->permits, m_placer.CandidatesFor(service, Regions()),
                       [this, index, &placement](const std::vector<CostCandidate>& candidates) {
                         return m_placer.Choose(candidates, index, placement);
                       });
  if (endpoint != nullptr) {
    unmet->erase(need);
  }
  return endpoint;
}

bool BatchRunner::MayRestart(size_t index, const std::string& service) const {
  const ItemProgress& item = m_progress.item(index);
  return !m_context->endpoints->HasSoftwareVersion(service, item.transcript.software_version()) ||
         Now() - item.interrupted_at > kMaxContinuationWait;
}

// The stored text is removed when texts are stored the next time.
void BatchRunner::DiscardText(size_t index, const std::string& reason) {
  EventTranscript& transcript = m_progress.item(index).transcript;
  Log(LogEvent::kBatchTextDiscarded, {{"job", m_spec.id},
                                      {"item", m_spec.items[index].id},
                                      {"events", std::to_string(transcript.event_count())},
                                      {"bytes", std::to_string(transcript.text().size())},
                                      {"software", transcript.software_version()},
                                      {"reason", reason}});
  ClearText(index);
  const auto stored = m_stored_texts.find(index);
  if (stored != m_stored_texts.end()) {
    stored->second.events = 0;
  }
}

void BatchRunner::ClearText(size_t index) {
  m_progress.item(index).transcript.Clear();
  m_progress.OnTextChanged(index);
  m_text_memory.erase(index);
}

bool BatchRunner::RecordTextMemory(size_t index) {
  const auto share = m_text_memory.try_emplace(index, m_context->response_memory).first;
  return share->second.Resize(m_progress.item(index).transcript.text().size());
}

HomeRegions BatchRunner::Regions() const {
  const ServiceRoute* route = Route();
  return m_context->routes->HomeRegionsOf(route == nullptr ? ServiceRoute() : *route, m_spec.workspace);
}

void BatchRunner::MoveStragglers() {
  const ServiceRoute* route = Route();
  if (!MayStartItems() || route == nullptr || route->single_version) {
    return;
  }
  std::map<std::string, std::vector<CostCandidate>> candidates;
  for (const auto& [index, run] : m_runs) {
    // Only endpoints of this service can continue the text. The operator may have moved the route away from it.
    const auto [found, is_new] = candidates.try_emplace(run->service());
    if (is_new && HasShare(*route, run->service())) {
      found->second = m_placer.CandidatesFor(run->service(), Regions());
    }
    const DirectoryEndpoint* target = m_placer.ChooseForMove(found->second, index, run->endpoint());
    if (target != nullptr) {
      MoveItem(index, *target);
      // The move uses a free slot. The next choice must be made with the updated number of free slots.
      return;
    }
  }
}

void BatchRunner::MoveItem(size_t index, const DirectoryEndpoint& target) {
  Log(LogEvent::kBatchItemInterrupted, {{"job", m_spec.id},
                                        {"item", m_spec.items[index].id},
                                        {"endpoint", m_runs.at(index)->endpoint()},
                                        {"events", std::to_string(m_progress.item(index).transcript.event_count())},
                                        {"detail", "moved to the faster " + target.entry.id}});
  // Destroying the run closes its connection, which cancels the generation on the slow endpoint.
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
  call.headers = item.headers.Unpack();
  call.body = item.body;
  call.request_id = item.id;
  call.workspace = m_spec.workspace;
  call.head_timeout = kItemHeadTimeout;
  call.idle_timeout = kItemIdleTimeout;
  call.resume_after = progress.transcript.last_id();
  call.reads_events = true;
  call.home_regions = Regions();
  call.is_repeatable = true;
  const auto version = endpoint->entry.model_versions.find(m_spec.model);
  Log(LogEvent::kBatchItemSent,
      {{"job", m_spec.id},
       {"item", item.id},
       {"endpoint", endpoint->entry.id},
       {"service", endpoint->entry.service},
       {"software", endpoint->entry.software_version},
       {"endpoint_in_flight", std::to_string(endpoint->in_flight)},
       {"expected_events", std::to_string(std::lround(m_placer.PredictedRest(index)))},
       {"model_version", std::to_string(version == endpoint->entry.model_versions.end() ? 0 : version->second)},
       {"resume_after", call.resume_after.has_value() ? std::to_string(*call.resume_after) : "-"},
       {"confirmed_ms_ago", std::to_string((Now() - m_confirmed_at).ms())}});
  m_progress.SetPhase(index, ItemPhase::kRunning);
  auto run = std::make_unique<ItemRun>(this, index, endpoint->entry);
  ItemRun* started = run.get();
  m_runs[index] = std::move(run);
  started->Begin(std::move(call));
}

void BatchRunner::OnRunEnded(size_t index, const std::string& endpoint, const EndpointCallResult& result) {
  const std::unique_ptr<ItemRun> run = std::move(m_runs[index]);
  m_runs.erase(index);
  m_progress.SetPhase(index, ItemPhase::kWaiting);
  ItemProgress& item = m_progress.item(index);
  item.interrupted_at = Now();
  const int status = run->head().has_value() ? run->head()->status : 0;
  const ServiceRoute* route = Route();
  const bool complete = result.outcome == EndpointCallOutcome::kComplete;
  if (result.blames_endpoint()) {
    m_placer.OnRunBlamed(index, endpoint);
  }
  if (complete && status == kStatusOk && !run->stale() && !run->event_missing() && !item.transcript.empty()) {
    if (IsUsable(item.transcript)) {
      OnTextComplete(index);
      return;
    }
    ClearText(index);
  } else if (run->text_rejected()) {
    DiscardText(index, result.detail);
  } else if (status == kStatusUnprocessable && complete) {
    FinishItem(index, BatchResultState::kFailed, "the endpoint rejected it as impossible to run");
    return;
  } else if (status == kStatusRunFailed && complete) {
    ++item.failed_runs;
    if (route != nullptr && item.failed_runs >= route->max_attempts) {
      FinishItem(index, BatchResultState::kFailed, "its runs failed as often as its route allows");
      return;
    }
  }
  const bool refused = run->head().has_value() && (run->head()->not_run || run->head()->wrong_endpoint);
  const bool made_progress = run->new_events() > 0 && !run->text_rejected();
  if (refused && run->head()->wrong_endpoint) {
    m_context->endpoints->OnAddressReassigned(endpoint);
  } else if (refused) {
    m_context->endpoints->OnFull(endpoint);
  } else if (run->stale() || (!complete && result.blames_endpoint() && !made_progress)) {
    AvoidEndpoint(m_context->endpoints, endpoint, run->stale() ? "old model version" : result.detail);
  }
  const bool no_progress = !refused && !complete && result.blames_endpoint() && !made_progress &&
                           result.outcome != EndpointCallOutcome::kNotSent;
  item.runs_without_progress = no_progress ? item.runs_without_progress + 1 : 0;
  Duration delay = refused ? Duration() : kRetryDelay;
  if (status == kStatusRunFailed) {
    delay = kFailedRunRetryDelay;
  } else if (result.path_failed && result.outcome == EndpointCallOutcome::kNotSent) {
    delay = kNoPathRetryDelay;
  } else if (no_progress) {
    const int doublings = std::min(item.runs_without_progress - 1, kMaxRetryDoublings);
    delay = std::min(kRetryDelay * (int64_t{1} << doublings), kMaxRetryDelay);
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

// Further items may start on an endpoint that has not responded for a while.
void BatchRunner::OnEndpointResponse(const std::string& endpoint) {
  const DirectoryEndpoint* known = m_context->endpoints->Find(endpoint);
  const bool was_silent = known != nullptr && !m_context->endpoints->RespondedLately(*known);
  m_context->endpoints->OnResponse(endpoint);
  if (was_silent && m_items_ready) {
    m_items_ready();
  }
}

void BatchRunner::Retry(size_t index, Duration delay) {
  m_progress.item(index).not_before = Now() + delay;
  if (m_items_ready) {
    m_items_ready();
  }
}

bool BatchRunner::IsUsable(const EventTranscript& transcript) const {
  const ServiceRoute* route = Route();
  const bool mixed = route != nullptr && route->single_version && transcript.model_versions().size() > 1;
  return !mixed && transcript.AllVersionsAtLeast(m_spec.oldest_version);
}

void BatchRunner::OnTextComplete(size_t index) {
  m_placer.OnTextComplete(index);
  if (!m_spec.items[index].reward_call.has_value()) {
    FinishItem(index, BatchResultState::kCompleted, "");
    return;
  }
  m_progress.SetPhase(index, ItemPhase::kAwaitingScore);
  m_complete_texts_to_store.push_back(index);
  if (m_store_texts_timer == nullptr && !m_storing_complete_texts) {
    m_store_texts_timer = m_context->scheduler->After(kCompleteTextWindow, [this] {
      m_store_texts_timer.reset();
      StoreCompleteTexts();
    });
  }
  // The endpoint has a free slot again.
  if (m_items_ready) {
    m_items_ready();
  }
}

// Generating a text takes seconds, scoring it takes some milliseconds. Another owner must not repeat the first because
// the second was interrupted, so texts are stored before their scores are requested. The check ensures that a former
// owner does not replace the texts of the new one.
void BatchRunner::StoreCompleteTexts() {
  if (m_storing_complete_texts || m_ownership_lost || m_ended) {
    return;
  }
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  transaction.checks = {{BatchOwnerKey(m_spec.id), m_rows.owner_version}};
  std::vector<size_t> indices;
  size_t bytes = 0;
  while (!m_complete_texts_to_store.empty()) {
    const size_t index = m_complete_texts_to_store.back();
    const std::optional<PartialText> text = m_progress.item(index).transcript.ToPartialText();
    if (!text.has_value() || m_progress.item(index).phase != ItemPhase::kAwaitingScore) {
      m_complete_texts_to_store.pop_back();
      RequestScore(index);
      continue;
    }
    PartialText complete = *text;
    complete.item = m_spec.items[index].id;
    complete.stored_at_ms = m_context->wall_ms();
    complete.complete = true;
    const std::vector<std::string> parts = EncodePartialText(complete, transaction.id, kMaxRowBytes);
    const bool fits =
        transaction.writes.size() + parts.size() <= kMaxAppendRows && bytes + complete.text.size() <= kMaxAppendBytes;
    if (!indices.empty() && !fits) {
      break;
    }
    for (size_t part = 0; part < parts.size(); ++part) {
      transaction.writes.push_back({BatchTextKey(m_spec.id, complete.item, part), parts[part]});
    }
    bytes += complete.text.size();
    m_complete_text_rows[index] = parts.size();
    indices.push_back(index);
    m_complete_texts_to_store.pop_back();
  }
  if (indices.empty()) {
    return;
  }
  m_storing_complete_texts = true;
  m_context->store->Transact(std::move(transaction), m_guard.Wrap([this, indices](const TransactResult& result) {
    OnCompleteTextsStored(indices, result);
  }));
}

// If the table did not store the texts, the scores are requested nevertheless: during an outage of the table the
// trainer would otherwise have to wait for both.
void BatchRunner::OnCompleteTextsStored(const std::vector<size_t>& indices, const TransactResult& result) {
  m_storing_complete_texts = false;
  // The only check is that of the owner row.
  if (result.outcome == TransactOutcome::kConflict) {
    OnOwnershipLost();
    return;
  }
  for (const size_t index : indices) {
    RequestScore(index);
  }
  StoreCompleteTexts();
}

void BatchRunner::RequestScore(size_t index) {
  if (m_stopped || m_ended || m_ownership_lost || m_progress.item(index).phase != ItemPhase::kAwaitingScore) {
    return;
  }
  m_context->reward_calls->Add(this, index, &*m_spec.items[index].reward_call);
}

WaitingRewardCall BatchRunner::UrgencyOf(size_t item) const {
  WaitingRewardCall urgency;
  urgency.missing_groups = m_progress.MissingGroups();
  urgency.unfinished_in_group = m_progress.UnfinishedInGroupOf(item);
  return urgency;
}

int BatchRunner::MinFailedResponses() const {
  const ServiceRoute* route = Route();
  return route == nullptr ? 0 : route->max_attempts;
}

void BatchRunner::OnScore(size_t item, const std::string& score) {
  FinishItem(item, BatchResultState::kCompleted, "", score);
}

void BatchRunner::OnRewardCallFailed(size_t item, const std::string& reason) {
  FinishItem(item, BatchResultState::kFailed, reason);
}

void BatchRunner::FinishItem(size_t index, BatchResultState state, const std::string& reason,
                             const std::string& score) {
  ItemProgress& item = m_progress.item(index);
  BatchResult result;
  result.item = m_spec.items[index].id;
  result.state = state;
  if (state == BatchResultState::kCompleted) {
    result.text = item.transcript.text();
    result.model_versions.assign(item.transcript.model_versions().begin(), item.transcript.model_versions().end());
    result.score = score;
  } else {
    m_text_memory.erase(index);
  }
  Log(LogEvent::kBatchItemDone, {{"job", m_spec.id},
                                 {"item", result.item},
                                 {"state", state == BatchResultState::kCompleted ? "completed" : "failed"},
                                 {"events", std::to_string(item.transcript.event_count())},
                                 {"score", score.empty() ? "-" : score},
                                 {"reason", reason.empty() ? "-" : reason}});
  item.transcript.Clear();
  item.result = std::move(result);
  m_progress.SetPhase(index, ItemPhase::kFinished);
  ScheduleAppend(kAppendWindow);
  if (m_items_ready) {
    m_items_ready();
  }
}

void BatchRunner::ScheduleAppend(Duration delay) {
  if (m_append_timer == nullptr && !m_appending && !m_ownership_lost) {
    m_append_timer = m_context->scheduler->After(delay, [this] {
      m_append_timer.reset();
      Append();
    });
  }
}

// The checks ensure that only the owner appends, and only if it knows all stored results. A repeated or late
// transaction therefore fails instead of changing the result at a position.
void BatchRunner::Append() {
  if (m_appending || m_ownership_lost || m_ended || m_progress.CountIn(ItemPhase::kFinished) == 0) {
    return;
  }
  TableTransaction transaction;
  transaction.checks = {{BatchOwnerKey(m_spec.id), m_rows.owner_version},
                        {BatchResultListKey(m_spec.id), m_rows.result_list_version}};
  BatchResultList result_list = m_rows.result_list;
  std::vector<size_t> appended;
  size_t bytes = 0;
  for (size_t i = 0; i < m_progress.size(); ++i) {
    if (m_progress.item(i).phase != ItemPhase::kFinished) {
      continue;
    }
    const std::string value = EncodeBatchResult(*m_progress.item(i).result);
    const std::vector<std::string> parts = SplitValue(value, kMaxRowBytes);
    const auto text_rows = m_complete_text_rows.find(i);
    const size_t removals = text_rows == m_complete_text_rows.end() ? 0 : text_rows->second;
    const bool fits = transaction.writes.size() + parts.size() + removals <= kMaxAppendRows &&
                      bytes + value.size() <= kMaxAppendBytes;
    if (!appended.empty() && !fits) {
      break;
    }
    bytes += value.size();
    for (size_t part = 0; part < parts.size(); ++part) {
      transaction.writes.push_back({BatchResultKey(m_spec.id, result_list.item_indices.size(), part), parts[part]});
    }
    for (size_t part = 0; part < removals; ++part) {
      transaction.writes.push_back({BatchTextKey(m_spec.id, m_spec.items[i].id, part), std::nullopt});
    }
    result_list.item_indices.push_back(i);
    appended.push_back(i);
  }
  std::vector<TableWrite> list_writes = BatchResultListWrites(m_spec.id, result_list, stored_count());
  std::move(list_writes.begin(), list_writes.end(), std::back_inserter(transaction.writes));
  transaction.id = RandomHex(kTransactionIdBytes);
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
                                 {"listed_before", std::to_string(stored_count())},
                                 {"of", std::to_string(m_progress.size())}});
  if (result.outcome == TransactOutcome::kCommitted) {
    BatchResultList result_list = m_rows.result_list;
    result_list.item_indices.insert(result_list.item_indices.end(), appended.begin(), appended.end());
    ApplyResultList(result_list, result.revision, std::set<size_t>(appended.begin(), appended.end()));
    ScheduleAppend(kAppendWindow);
    return;
  }
  for (const TableRow& row : result.rows) {
    if (row.key == BatchOwnerKey(m_spec.id) && row.version != m_rows.owner_version) {
      OnOwnershipLost();
      return;
    }
  }
  for (const TableRow& row : result.rows) {
    if (row.key != BatchResultListKey(m_spec.id) || row.version <= m_rows.result_list_version) {
      continue;
    }
    const std::optional<BatchResultList> result_list = DecodeBatchResultList(row.value, m_rows.result_list);
    if (result_list.has_value()) {
      ApplyResultList(*result_list, row.version, {});
    }
  }
  ScheduleAppend(kAppendRetry);
}

void BatchRunner::OnOwnershipLost() {
  m_ownership_lost = true;
  CancelRuns();
}

// A position holds what the table has there. An item that another write has listed may have another result there than
// in this process, where it ran as well, so only results of committed writes of this runner stay in memory.
void BatchRunner::ApplyResultList(const BatchResultList& result_list, int64_t version,
                                  const std::set<size_t>& written) {
  m_rows.result_list = result_list;
  m_rows.result_list_version = version;
  for (const size_t index : result_list.item_indices) {
    if (index < m_progress.size() && m_progress.item(index).phase != ItemPhase::kStored) {
      m_runs.erase(index);
      m_context->reward_calls->Cancel(this, index);
      m_progress.SetPhase(index, ItemPhase::kStored);
      if (written.count(index) == 0 || !HasRoomForResult(index)) {
        m_progress.item(index).result.reset();
        m_text_memory.erase(index);
      }
    }
  }
  NotifyWaiters();
}

bool BatchRunner::HasRoomForResult(size_t index) const {
  const HeapOptional<BatchResult>& result = m_progress.item(index).result;
  const MemoryBudget* memory = m_context->response_memory;
  return result.has_value() && (memory == nullptr || memory->used() <= memory->limit() / 2);
}

void BatchRunner::OnRows(const BatchRows& rows, TimePoint read_at) {
  if (rows.owner_version > m_rows.owner_version) {
    OnOwnershipLost();
    return;
  }
  if (rows.ended) {
    End();
    return;
  }
  if (rows.owner_version == m_rows.owner_version && read_at > m_confirmed_at) {
    m_confirmed_at = read_at;
  }
  if (rows.result_list_version > m_rows.result_list_version && !m_appending) {
    ApplyResultList(rows.result_list, rows.result_list_version, {});
  }
}

void BatchRunner::End() {
  if (m_ended) {
    return;
  }
  m_ended = true;
  StorePartialTexts([] {});
  CancelRuns();
}

void BatchRunner::CheckpointTexts() {
  if (Now() - m_checkpoint_at < kCheckpointInterval || !MayStartItems()) {
    return;
  }
  m_checkpoint_at = Now();
  StoreTexts(kMinCheckpointEvents, [] {});
}

// The outcome of the write is ignored: a text that was not stored is generated again. Also removes the stored texts of
// items whose result is stored. The owner row is in another partition, so the write cannot check it; a process that may
// have lost the job leaves the texts to the new owner.
void BatchRunner::StoreTexts(int64_t min_new_events, std::function<void()> callback) {
  if (!IsOwnershipConfirmed()) {
    callback();
    return;
  }
  std::vector<std::pair<size_t, PartialText>> texts;
  TableTransaction transaction;
  transaction.id = RandomHex(kTransactionIdBytes);
  for (size_t i = 0; i < m_progress.size(); ++i) {
    const ItemProgress& item = m_progress.item(i);
    const auto stored = m_stored_texts.find(i);
    const bool is_discarded = stored != m_stored_texts.end() && stored->second.events == 0 && item.transcript.empty();
    if (stored != m_stored_texts.end() && (item.phase == ItemPhase::kStored || is_discarded)) {
      for (size_t row = 0; row < stored->second.rows; ++row) {
        transaction.writes.push_back({PartialTextKey(m_spec.model, m_spec.items[i].id, row), std::nullopt});
      }
      m_stored_texts.erase(stored);
      continue;
    }
    // While the job is open, its own partition holds the complete texts.
    const bool is_complete = item.phase == ItemPhase::kAwaitingScore;
    if (is_complete && !m_ended) {
      continue;
    }
    const int64_t stored_events = stored == m_stored_texts.end() ? 0 : stored->second.events;
    std::optional<PartialText> partial = item.transcript.ToPartialText();
    if (partial.has_value() && (is_complete || partial->event_count - stored_events >= min_new_events)) {
      partial->complete = is_complete;
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

std::optional<EventTranscript> BatchRunner::RestoredText(const PartialText& text) const {
  if (text.text.size() > EventTranscript::kMaxBytes) {
    return std::nullopt;
  }
  EventTranscript transcript;
  transcript.Restore(text);
  return IsUsable(transcript) ? std::optional<EventTranscript>(std::move(transcript)) : std::nullopt;
}

bool BatchRunner::TakeText(size_t index, EventTranscript transcript) {
  m_progress.item(index).transcript = std::move(transcript);
  m_progress.OnTextChanged(index);
  if (!RecordTextMemory(index)) {
    ClearText(index);
    return false;
  }
  return true;
}

void BatchRunner::RestorePartialTexts(const std::vector<PartialText>& texts) {
  const ServiceRoute* route = Route();
  int used = 0;
  for (const PartialText& partial : texts) {
    const std::optional<size_t> index = m_progress.FindItem(partial.item);
    if (!index.has_value() || m_progress.item(*index).phase != ItemPhase::kWaiting) {
      continue;
    }
    std::optional<EventTranscript> transcript = RestoredText(partial);
    // On such a route, a text that is not complete may have to be continued by another version.
    const bool may_mix = route != nullptr && route->single_version && !partial.complete;
    const int64_t known_events = m_progress.item(*index).transcript.event_count();
    const bool longer = transcript.has_value() && transcript->event_count() > known_events;
    if (longer && !may_mix && TakeText(*index, std::move(*transcript))) {
      m_progress.item(*index).interrupted_at = Now();
      m_stored_texts[*index] = {partial.event_count, EncodePartialText(partial, "", kMaxRowBytes).size()};
      ++used;
      if (partial.complete) {
        OnTextComplete(*index);
      }
    }
  }
  Log(LogEvent::kBatchOwned, {{"job", m_spec.id}, {"step", "earlier texts"}, {"used", std::to_string(used)}});
}

void BatchRunner::RestoreCompleteTexts(const std::vector<PartialText>& texts) {
  int used = 0;
  for (const PartialText& text : texts) {
    const std::optional<size_t> index = m_progress.FindItem(text.item);
    if (!index.has_value() || !text.complete || m_progress.item(*index).phase != ItemPhase::kWaiting ||
        !m_spec.items[*index].reward_call.has_value()) {
      continue;
    }
    std::optional<EventTranscript> transcript = RestoredText(text);
    if (!transcript.has_value() || !TakeText(*index, std::move(*transcript))) {
      continue;
    }
    m_progress.SetPhase(*index, ItemPhase::kAwaitingScore);
    // The rows are split in the same way as they were when the text was stored.
    m_complete_text_rows[*index] = EncodePartialText(text, RandomHex(kTransactionIdBytes), kMaxRowBytes).size();
    ++used;
    RequestScore(*index);
  }
  Log(LogEvent::kBatchOwned, {{"job", m_spec.id}, {"step", "complete texts"}, {"used", std::to_string(used)}});
}

void BatchRunner::Stop() {
  if (m_stopped) {
    return;
  }
  m_stopped = true;
  CancelRuns();
  if (m_store_texts_timer != nullptr) {
    m_store_texts_timer.reset();
    StoreCompleteTexts();
  }
  if (m_append_timer != nullptr) {
    m_append_timer.reset();
    Append();
  }
}

void BatchRunner::CancelRuns() {
  m_runs.clear();
  m_context->reward_calls->CancelAll(this);
  for (size_t i = 0; i < m_progress.size(); ++i) {
    if (m_progress.item(i).phase == ItemPhase::kRunning) {
      m_progress.SetPhase(i, ItemPhase::kWaiting);
      m_progress.item(i).interrupted_at = Now();
    }
  }
  NotifyWaiters();
}

const BatchResult* BatchRunner::StoredResultAt(size_t position) const {
  if (position >= m_rows.result_list.item_indices.size()) {
    return nullptr;
  }
  const HeapOptional<BatchResult>& result = m_progress.item(m_rows.result_list.item_indices[position]).result;
  return result.has_value() ? &*result : nullptr;
}

void BatchRunner::WaitForResult(size_t position, std::function<void()> callback) {
  m_waiters.emplace_back(position, std::move(callback));
}

void BatchRunner::NotifyWaiters() {
  std::vector<std::function<void()>> due;
  for (auto it = m_waiters.begin(); it != m_waiters.end();) {
    if (stored_count() > it->first || IsDone()) {
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
