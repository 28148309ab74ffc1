#include "coordination/endpoint_relay.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"

namespace quetzalridge {

namespace {

// Endpoints are a few milliseconds away, so a connection that takes longer is made through another instance.
constexpr Duration kDirectConnectTimeout = Duration::Milliseconds(100);
// A call to another instance that refuses it takes about a millisecond.
constexpr size_t kMaxPeersPerCall = 8;
// After this many instances could not connect to an endpoint, the endpoint counts as unreachable.
constexpr int kMaxUnreachedByPeers = 2;
// Longer than a probe of the endpoint and the questions to other instances usually take.
constexpr Duration kMaxHoldTime = Duration::Milliseconds(400);
// With less time left, a call is not passed on any more.
constexpr Duration kMinRelayTime = Duration::Milliseconds(20);
// Instances that may be cut off as well are asked at the same time.
constexpr size_t kPeersPerPathCheck = 3;
constexpr size_t kMaxPeersPerPathCheck = 8;
// A path is not checked again for this time. An endpoint that has stopped fails every call in the meantime.
constexpr Duration kPathCheckInterval = Duration::Milliseconds(300);
// After this time without any response the path to a called endpoint is probed. If the endpoint responds to probes, it
// only takes long, and the next probe comes later.
constexpr Duration kInitialSilenceLimit = Duration::Milliseconds(200);
constexpr Duration kMaxSilenceLimit = Duration::Seconds(3);
// A timer that fires later than this was held up with the whole process, which explains the silence.
constexpr Duration kMaxTimerDelay = Duration::Milliseconds(100);
// Time between the beginnings of two sweeps, and the number of endpoints that are probed at once.
constexpr Duration kSweepInterval = Duration::Seconds(2);
constexpr size_t kSweepStep = 16;
constexpr Duration kMinTimerDelay = Duration::Milliseconds(10);

}  // namespace

// One call, over an own connection or through another instance. The observer may destroy it in each call to it.
class EndpointRelay::Exchange : public EndpointExchange, public RelayObserver {
 public:
  Exchange(EndpointRelay* relay, EndpointCall call, EndpointCallObserver* observer, bool may_relay)
      : m_relay(relay),
        m_call(std::move(call)),
        m_observer(observer),
        m_may_relay(may_relay),
        m_endpoint_start(relay->StartOf(m_call.endpoint_id)),
        m_began_at(relay->Now()),
        m_last_part_at(m_began_at) {}
  ~Exchange() override {
    m_relay->m_direct_calls.erase(this);
    m_relay->m_held_calls.erase(this);
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Begin() {
    if (m_may_relay && !m_relay->m_paths.IsDirect(m_call.endpoint_id)) {
      StartRelayed();
      return;
    }
    if (m_call.is_suspect && m_relay->MayProbe(m_call.endpoint_id)) {
      m_relay->m_context.prober->Probe(m_call.endpoint_id, m_call.address,
                                       [this, alive = std::weak_ptr<bool>(m_alive)](bool responded) {
                                         if (!alive.expired()) {
                                           OnSuspectProbed(responded);
                                         }
                                       });
      return;
    }
    StartDirect();
  }

  void OnSuspectProbed(bool responded) {
    if (responded) {
      StartDirect();
      return;
    }
    EndpointCallResult result;
    result.connection_failed = true;
    result.detail = "the endpoint does not respond to a probe";
    m_observer->OnEnd(result);
  }

  void StartDirect() {
    EndpointCall call = m_call;
    if (!m_may_relay || !m_relay->m_context.other_instances().empty()) {
      call.connect_timeout = kDirectConnectTimeout;
    }
    m_is_direct = true;
    m_relay->m_direct_calls.insert(this);
    m_relay->ScheduleSilenceCheck();
    m_inner = m_relay->m_context.direct->Start(std::move(call), this);
  }

  void OnAccepted() override {
    m_accepted = true;
    ++m_relay->m_relayed_calls;
    m_relay->m_peers.OnAccepted(m_peer);
  }

  void OnRefused(RelayRefusal refusal) override {
    m_relay->m_peers.OnRefusal(m_peer, refusal);
    Log(LogEvent::kRelayRefused, {{"request", m_call.request_id},
                                  {"endpoint", m_call.endpoint_id},
                                  {"instance", m_peer},
                                  {"reason", std::string(RelayRefusalName(refusal))}});
    m_inner.reset();
    StartRelayed();
  }

  void OnHead(const EndpointResponseHead& head) override {
    OnPart();
    if (head.leaving) {
      m_relay->RecordLeaving(m_call.endpoint_id, m_endpoint_start);
    }
    EndpointResponseHead passed_on = head;
    passed_on.relayed = !m_is_direct;
    m_observer->OnHead(passed_on);
  }
  void OnBody(std::string_view data) override {
    OnPart();
    m_observer->OnBody(data);
  }
  void OnEvent(const StreamEvent& event) override {
    OnPart();
    m_observer->OnEvent(event);
  }

  void OnEnd(const EndpointCallResult& result) override {
    const std::unique_ptr<EndpointExchange> ended = std::move(m_inner);
    m_relay->m_direct_calls.erase(this);
    if (!m_is_direct && !m_accepted) {
      m_relay->m_peers.OnRefusal(m_peer, RelayRefusal::kNotAsked);
    }
    const bool is_lost =
        result.outcome == EndpointCallOutcome::kNoResponse || result.outcome == EndpointCallOutcome::kTruncated;
    if (m_is_direct && is_lost && !result.timed_out) {
      m_relay->NoteLostConnection(m_call);
    }
    const bool not_connected = result.outcome == EndpointCallOutcome::kNotSent && result.connection_failed;
    m_unreached_by_peers += not_connected && !m_is_direct ? 1 : 0;
    if (m_may_relay && not_connected && m_unreached_by_peers < kMaxUnreachedByPeers) {
      m_last_result = result;
      StartRelayed();
      return;
    }
    const bool may_hold = m_may_relay && m_relay->MayProbe(m_call.endpoint_id);
    if (m_is_direct && may_hold && result.outcome == EndpointCallOutcome::kNoResponse && !result.timed_out) {
      HoldEnd(result);
      return;
    }
    m_observer->OnEnd(result);
  }

  // Ends a call whose end was held.
  void ReleaseEnd() {
    m_relay->m_held_calls.erase(this);
    m_end_timer.reset();
    m_last_result.path_failed = !m_relay->m_paths.IsDirect(m_call.endpoint_id);
    m_observer->OnEnd(m_last_result);
  }

  // Ends a call over an own connection whose path has failed.
  void EndByPathFailure() {
    m_inner.reset();
    m_relay->m_direct_calls.erase(this);
    EndpointCallResult result;
    result.outcome = m_has_part ? EndpointCallOutcome::kTruncated : EndpointCallOutcome::kNoResponse;
    result.path_failed = true;
    result.detail = "this instance no longer reaches the endpoint";
    m_observer->OnEnd(result);
  }

  const EndpointCall& call() const { return m_call; }
  // When the last part of the response arrived; the beginning of the call before the first one.
  TimePoint last_part_at() const { return m_last_part_at; }
  bool has_part() const { return m_has_part; }

 private:
  void OnPart() {
    m_has_part = true;
    m_last_part_at = m_relay->Now();
    if (m_is_direct) {
      m_relay->m_silence_limit = kInitialSilenceLimit;
    }
  }

  // Passes the call on through the next instance, or ends it as not sent if there is none.
  void StartRelayed() {
    m_is_direct = false;
    m_accepted = false;
    m_relay->m_direct_calls.erase(this);
    EndpointCall call = m_call;
    const Duration elapsed = m_relay->Now() - m_began_at;
    if (call.time_left > Duration()) {
      call.time_left = call.time_left - elapsed;
      call.head_timeout = std::min(call.head_timeout, call.time_left);
    }
    const DirectoryEndpoint* known = m_relay->m_context.endpoints->Find(m_call.endpoint_id);
    const bool is_evacuated = known != nullptr && known->evacuated;
    const bool is_late = known != nullptr && known->is_cold() && elapsed > kMaxColdCallDelay;
    const bool in_time = m_call.time_left == Duration() || call.time_left >= kMinRelayTime;
    m_peer = in_time && !is_evacuated && !is_late && m_tried.size() < kMaxPeersPerCall
                 ? m_relay->m_peers.Choose(m_relay->InstancesFor(m_call.home_regions), m_tried)
                 : "";
    if (m_peer.empty()) {
      // Observers are not called within Start.
      m_end_timer = m_relay->m_context.scheduler->After(Duration(), [this] { EndNotSent(); });
      return;
    }
    m_tried.insert(m_peer);
    m_inner = m_relay->m_context.peers->Start(m_peer, call, this);
  }

  // The connection was lost. Whether the endpoint or the path is at fault is known after a probe, which takes a few
  // milliseconds; until then the observer would try other endpoints over the same failed path.
  void HoldEnd(const EndpointCallResult& result) {
    m_relay->m_held_calls.insert(this);
    m_last_result = result;
    m_end_timer = m_relay->m_context.scheduler->After(kMaxHoldTime, [this] { ReleaseEnd(); });
  }

  void EndNotSent() {
    EndpointCallResult result = m_last_result;
    result.outcome = EndpointCallOutcome::kNotSent;
    result.path_failed = !m_relay->m_paths.IsDirect(m_call.endpoint_id) && m_unreached_by_peers == 0;
    if (result.detail.empty()) {
      result.detail = "this instance does not reach the endpoint, and no other instance can pass the call on";
    }
    m_observer->OnEnd(result);
  }

  EndpointRelay* m_relay;
  EndpointCall m_call;
  EndpointCallObserver* m_observer;
  bool m_may_relay;
  // The start of the endpoint when the call began. The endpoint may have restarted when the response arrives.
  int64_t m_endpoint_start;
  TimePoint m_began_at;
  TimePoint m_last_part_at;
  bool m_has_part = false;
  bool m_is_direct = false;
  // The instance that passes the call on, and whether it has accepted it.
  std::string m_peer;
  bool m_accepted = false;
  std::set<std::string> m_tried;
  // Number of instances that could not connect to the endpoint.
  int m_unreached_by_peers = 0;
  // How the last attempt has ended.
  EndpointCallResult m_last_result;
  std::unique_ptr<Timer> m_end_timer;
  std::unique_ptr<EndpointExchange> m_inner;
  // Expires when this object is destroyed.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// A question to several instances whether they reach an endpoint.
struct EndpointRelay::PathCheck {
  std::string endpoint;
  TimePoint failed_since;
  std::set<std::string> asked;
  int open_questions = 0;
  bool decided = false;
};

EndpointRelay::EndpointRelay(EndpointRelayContext context, uint64_t seed)
    : m_context(std::move(context)),
      m_paths(&m_context.scheduler->clock()),
      m_peers(&m_context.scheduler->clock(), seed),
      m_silence_limit(kInitialSilenceLimit) {}

EndpointRelay::~EndpointRelay() = default;

std::unique_ptr<EndpointExchange> EndpointRelay::Start(EndpointCall call, EndpointCallObserver* observer) {
  auto exchange = std::make_unique<Exchange>(this, std::move(call), observer, true);
  exchange->Begin();
  return exchange;
}

std::unique_ptr<EndpointExchange> EndpointRelay::StartForPeer(EndpointCall call, EndpointCallObserver* observer) {
  auto exchange = std::make_unique<Exchange>(this, std::move(call), observer, false);
  exchange->Begin();
  return exchange;
}

void EndpointRelay::OnContact(const std::string& endpoint) {
  m_paths.OnContact(endpoint);
}

void EndpointRelay::OnLeaving(const std::string& endpoint) {
  RecordLeaving(endpoint, StartOf(endpoint));
}

void EndpointRelay::OnCold(const std::string& endpoint, Duration remaining) {
  m_context.endpoints->OnColdReport(endpoint, remaining);
}

bool EndpointRelay::MayProbe(const std::string& endpoint) const {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  return known == nullptr || known->may_probe();
}

std::vector<std::string> EndpointRelay::InstancesFor(const HomeRegions& regions) const {
  std::vector<std::string> instances = m_context.other_instances();
  if (regions.restricts()) {
    const auto is_elsewhere = [&](const std::string& instance) {
      return !m_context.region_of || !regions.Allows(m_context.region_of(instance));
    };
    instances.erase(std::remove_if(instances.begin(), instances.end(), is_elsewhere), instances.end());
  }
  return instances;
}

int64_t EndpointRelay::StartOf(const std::string& endpoint) const {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  return known == nullptr ? 0 : known->entry.started_at_ms;
}

void EndpointRelay::RecordLeaving(const std::string& endpoint, int64_t started_at_ms) {
  if (m_context.endpoints->OnLeaving(endpoint, started_at_ms)) {
    Log(LogEvent::kEndpointListed, {{"endpoint", endpoint}, {"change", "leaving"}});
  }
}

void EndpointRelay::OnNoConnection(const std::string& endpoint, TimePoint since) {
  if (m_paths.IsDirect(endpoint)) {
    CheckPath(endpoint, since);
  }
}

// The endpoint may have closed the connection, or stopped; a new connection shows whether it is reached.
void EndpointRelay::OnConnectionLost(const std::string& endpoint) {
  if (m_paths.IsDirect(endpoint)) {
    ProbeSuspect(endpoint);
  }
}

void EndpointRelay::OnEndpointsChanged() {
  const std::set<std::string> known = KnownEndpoints();
  m_paths.Retain(known);
  // What is still being found out about an endpoint that has just left counts.
  for (auto it = m_lost_calls.begin(); it != m_lost_calls.end();) {
    const bool open =
        !it->second.empty() || m_suspect_probes.count(it->first) > 0 || m_open_checks.count(it->first) > 0;
    it = known.count(it->first) > 0 || open ? std::next(it) : m_lost_calls.erase(it);
  }
  NotifyReach();
}

std::set<std::string> EndpointRelay::KnownEndpoints() const {
  std::set<std::string> known;
  for (const auto& [id, endpoint] : m_context.endpoints->endpoints()) {
    known.insert(id);
  }
  return known;
}

void EndpointRelay::CheckReachability(const std::string& endpoint, Duration age,
                                      const std::function<void(Reachability)>& callback) {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  if (known == nullptr || !m_paths.IsDirect(endpoint)) {
    callback(Reachability::kUnknown);
    return;
  }
  if (m_paths.HasContactSince(endpoint, Now() - age)) {
    callback(Reachability::kReached);
    return;
  }
  if (!MayProbe(endpoint)) {
    callback(Reachability::kUnknown);
    return;
  }
  m_context.prober->Probe(endpoint, known->entry.address, [callback](bool responded) {
    callback(responded ? Reachability::kReached : Reachability::kNotReached);
  });
}

void EndpointRelay::CheckPath(const std::string& endpoint, TimePoint failed_since) {
  if (m_checked.count(endpoint) > 0) {
    // The latest check, unless it is still open, has found that the others do not reach the endpoint either.
    if (m_open_checks.count(endpoint) == 0) {
      OnEndpointDown(endpoint);
    }
    return;
  }
  m_open_checks.insert(endpoint);
  m_checked[endpoint] = m_context.scheduler->After(kPathCheckInterval, [this, endpoint] {
    const std::unique_ptr<Timer> ended = std::move(m_checked[endpoint]);
    m_checked.erase(endpoint);
  });
  auto check = std::make_shared<PathCheck>();
  check->endpoint = endpoint;
  check->failed_since = failed_since;
  for (size_t i = 0; i < kPeersPerPathCheck; ++i) {
    AskNext(check);
  }
  if (check->open_questions == 0) {
    OnEndpointDown(endpoint);
  }
}

void EndpointRelay::AskNext(const std::shared_ptr<PathCheck>& check) {
  if (check->decided || check->asked.size() >= kMaxPeersPerPathCheck) {
    return;
  }
  const std::string peer = m_peers.Choose(m_context.other_instances(), check->asked);
  if (peer.empty()) {
    return;
  }
  check->asked.insert(peer);
  ++check->open_questions;
  m_context.peers->AskReachability(peer, check->endpoint, Now() - check->failed_since,
                                   m_guard.Wrap([this, check](Reachability answer) { OnAnswer(check, answer); }));
}

void EndpointRelay::OnAnswer(const std::shared_ptr<PathCheck>& check, Reachability answer) {
  --check->open_questions;
  if (check->decided) {
    return;
  }
  if (answer == Reachability::kReached) {
    check->decided = true;
    m_open_checks.erase(check->endpoint);
    m_lost_calls.erase(check->endpoint);
    OnPathFailed(*check);
    return;
  }
  if (answer == Reachability::kUnknown) {
    AskNext(check);
  }
  if (check->open_questions == 0) {
    OnEndpointDown(check->endpoint);
  }
}

void EndpointRelay::NoteLostConnection(const EndpointCall& call) {
  if (m_context.crashes == nullptr) {
    return;
  }
  const uint64_t fingerprint = FingerprintOf(call);
  std::vector<CrashedRequest>& calls = m_lost_calls[call.endpoint_id];
  if (fingerprint != 0) {
    calls.push_back({fingerprint, call.runs_alone});
    ProbeSuspect(call.endpoint_id);
  }
}

// Before the ends of the calls are released, since the requests are placed again then.
void EndpointRelay::OnEndpointDown(const std::string& endpoint) {
  m_open_checks.erase(endpoint);
  const auto lost = m_lost_calls.find(endpoint);
  if (lost != m_lost_calls.end()) {
    const std::vector<CrashedRequest> calls = std::move(lost->second);
    m_lost_calls.erase(lost);
    m_context.crashes->OnCrash(endpoint, calls);
  }
  ReleaseHeldEnds(endpoint);
}

void EndpointRelay::OnPathFailed(const PathCheck& check) {
  const std::vector<std::string> lost = m_paths.OnPathFailed(check.endpoint, check.failed_since, KnownEndpoints());
  if (lost.empty()) {
    ReleaseHeldEnds(check.endpoint);
    return;
  }
  Log(LogEvent::kEndpointPathLost, {{"endpoint", check.endpoint},
                                    {"all", m_paths.is_isolated() ? "yes" : "no"},
                                    {"lost", std::to_string(m_paths.lost_count())},
                                    {"after_ms", std::to_string((Now() - check.failed_since).ms())}});
  std::set<std::string> called;
  for (const Exchange* call : m_direct_calls) {
    called.insert(call->call().endpoint_id);
  }
  for (const std::string& endpoint : lost) {
    const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
    if (known != nullptr) {
      // Connections that outlive a failure of the path may be known to one side only.
      m_context.drop_connections(known->entry.address);
    }
    if (endpoint != check.endpoint && called.count(endpoint) > 0) {
      ProbeSuspect(endpoint);
    }
  }
  ProbeLostPaths();
  ContinueSweep();
  NotifyReach();
  // Last, since it calls observers.
  for (const std::string& endpoint : lost) {
    ReleaseHeldEnds(endpoint);
  }
  EndSilentCalls(check.endpoint, check.failed_since);
}

bool EndpointRelay::ReachesMost() const {
  return static_cast<size_t>(m_paths.lost_count()) * 2 <= m_context.endpoints->endpoints().size();
}

void EndpointRelay::NotifyReach() {
  const bool reaches_most = ReachesMost();
  if (reaches_most != std::exchange(m_reached_most, reaches_most) && m_reach_changed) {
    m_reach_changed();
  }
}

// Connections that live on while new ones fail hide that the paths have failed.
void EndpointRelay::ContinueSweep() {
  if (m_sweep.empty() && (!m_sweep_began_at.has_value() || Now() - *m_sweep_began_at >= kSweepInterval)) {
    m_sweep_began_at = Now();
    for (const auto& [id, endpoint] : m_context.endpoints->endpoints()) {
      m_sweep.push_back(id);
    }
  }
  for (size_t probed = 0; probed < kSweepStep && !m_sweep.empty();) {
    const std::string endpoint = m_sweep.back();
    m_sweep.pop_back();
    if (m_paths.IsDirect(endpoint)) {
      ProbeSuspect(endpoint);
      ++probed;
    }
  }
}

void EndpointRelay::ProbeSuspect(const std::string& endpoint) {
  const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
  if (known != nullptr && !known->may_probe()) {
    // Without a probe, nothing is known about the path, and the call that has failed ends as its connection did.
    m_lost_calls.erase(endpoint);
    return;
  }
  if (known == nullptr || !m_suspect_probes.insert(endpoint).second) {
    return;
  }
  const TimePoint began_at = Now();
  m_context.prober->Probe(endpoint, known->entry.address, m_guard.Wrap([this, endpoint, began_at](bool responded) {
    m_suspect_probes.erase(endpoint);
    if (responded || !m_paths.IsDirect(endpoint)) {
      m_lost_calls.erase(endpoint);
    }
    if (responded) {
      m_silence_limit = std::min(m_silence_limit * 2, kMaxSilenceLimit);
      ReleaseHeldEnds(endpoint);
    } else if (m_paths.IsDirect(endpoint)) {
      CheckPath(endpoint, began_at);
    } else {
      EndSilentCalls(endpoint, began_at);
    }
  }));
}

void EndpointRelay::ReleaseHeldEnds(const std::string& endpoint) {
  const std::set<Exchange*> calls = m_held_calls;
  for (Exchange* call : calls) {
    // The end of one call may end others.
    if (m_held_calls.count(call) > 0 && call->call().endpoint_id == endpoint) {
      call->ReleaseEnd();
    }
  }
}

void EndpointRelay::EndSilentCalls(const std::string& endpoint, TimePoint since) {
  const std::set<Exchange*> calls = m_direct_calls;
  for (Exchange* call : calls) {
    // The end of one call may end others.
    if (m_direct_calls.count(call) > 0 && call->call().endpoint_id == endpoint && call->call().is_repeatable &&
        (!call->has_part() || call->last_part_at() < since)) {
      call->EndByPathFailure();
    }
  }
}

void EndpointRelay::ProbeLostPaths() {
  if (m_paths.lost_count() == 0) {
    m_probe_timer.reset();
    return;
  }
  const TimePoint began_at = Now();
  for (const std::string& endpoint : m_paths.BeginProbes()) {
    const DirectoryEndpoint* known = m_context.endpoints->Find(endpoint);
    if (known == nullptr || !known->may_probe()) {
      m_paths.OnProbeResult(endpoint, false);
      continue;
    }
    m_context.prober->Probe(endpoint, known->entry.address, m_guard.Wrap([this, endpoint, began_at](bool responded) {
      OnProbeResult(endpoint, began_at, responded);
    }));
  }
  const Duration delay = std::max(m_paths.next_probes_at() - Now(), kMinTimerDelay);
  m_probe_timer = m_context.scheduler->After(delay, [this] { ProbeLostPaths(); });
}

void EndpointRelay::OnProbeResult(const std::string& endpoint, TimePoint began_at, bool responded) {
  if (m_paths.OnProbeResult(endpoint, responded)) {
    NotifyReach();
    if (m_paths.lost_count() == 0) {
      Log(LogEvent::kEndpointPathsRestored, {{"last", endpoint}});
    }
  }
  if (!responded) {
    EndSilentCalls(endpoint, began_at);
  }
}

void EndpointRelay::ScheduleSilenceCheck() {
  if (m_silence_timer != nullptr || m_direct_calls.empty()) {
    return;
  }
  m_silence_check_at = Now() + m_silence_limit;
  m_silence_timer = m_context.scheduler->After(m_silence_limit, [this] { CheckSilence(); });
}

void EndpointRelay::CheckSilence() {
  m_silence_timer.reset();
  const bool held_up = Now() - m_silence_check_at > kMaxTimerDelay;
  const Exchange* longest_silent = nullptr;
  for (const Exchange* call : m_direct_calls) {
    if (m_paths.IsDirect(call->call().endpoint_id) &&
        (longest_silent == nullptr || call->last_part_at() < longest_silent->last_part_at())) {
      longest_silent = call;
    }
  }
  const bool is_silent = longest_silent != nullptr && Now() - longest_silent->last_part_at() >= m_silence_limit &&
                         !m_paths.HasAnyContactSince(Now() - m_silence_limit);
  if (is_silent && !held_up) {
    ProbeSuspect(longest_silent->call().endpoint_id);
  }
  ScheduleSilenceCheck();
}

}  // namespace quetzalridge
