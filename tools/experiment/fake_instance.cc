#include "tools/experiment/fake_instance.h"

#include <algorithm>
#include <utility>

namespace quetzalridge {

namespace {

constexpr double kConnectTimeoutMs = 1000;
constexpr double kPollMs = 1000;
constexpr double kMinLagMs = 100;
constexpr double kMaxLagMs = 800;
constexpr double kTickMs = 100;
constexpr double kLoadIntervalMs = 100;
constexpr double kLoadRepeatMs = 1000;
// Engines keep this many cache events; an instance that falls behind sees a gap.
constexpr size_t kKeptEvents = 1024;
constexpr double kGapChance = 0.02;
constexpr int kMaxAttempts = 3;
constexpr uint64_t kIdsPerInstance = 100'000'000;

}  // namespace

FakeInstance::FakeInstance(EventQueue* queue, std::vector<std::unique_ptr<FakeEngine>>* engines,
                           std::vector<EndpointState> view, std::string zone, std::unique_ptr<Router> router,
                           std::unique_ptr<AdmissionPolicy> policy, InstanceRules rules, uint64_t seed)
    : m_queue(queue),
      m_engines(engines),
      m_view(std::move(view)),
      m_zone(std::move(zone)),
      m_router(std::move(router)),
      m_policy(std::move(policy)),
      m_rules(rules),
      m_random(seed),
      // Ids are unique over the instances, since engines see the requests of all of them.
      m_last_id(seed % 1000 * kIdsPerInstance),
      m_breakers(m_view.size()),
      m_sent_at_ms(m_view.size()),
      m_next_event(m_view.size(), 0),
      m_own_starting(m_view.size(), 0) {
  for (size_t i = 0; i < m_view.size(); ++i) {
    m_queue->After(m_random.Uniform() * kPollMs, [this, i] { PollEngine(i); });
  }
  m_queue->After(m_random.Uniform() * kTickMs, [this] { Tick(); });
}

void FakeInstance::PollEngine(size_t endpoint) {
  const FakeEngine& engine = *(*m_engines)[endpoint];
  if (!engine.silent()) {
    const double lag = kMinLagMs + m_random.Uniform() * (kMaxLagMs - kMinLagMs);
    const int running = engine.running();
    const int queued = engine.queued();
    const size_t next = engine.cache_events().size();
    const double at_ms = m_queue->now_ms();
    m_queue->After(lag, [this, endpoint, running, queued, next, at_ms] {
      ApplyLoad(endpoint, running, queued, at_ms);
      ApplyCacheEvents(endpoint, next);
    });
  }
  // A poll also serves as the breaker's evidence and trial call, so that few requests have to.
  CircuitBreaker& breaker = m_breakers[endpoint];
  if (breaker.Allows(m_queue->Now())) {
    const bool trial = breaker.OnStart(m_queue->Now());
    m_queue->After(engine.silent() ? kConnectTimeoutMs : 1.0, [this, &breaker, trial, ok = !engine.silent()] {
      if (ok) {
        breaker.OnSuccess(trial);
      } else {
        breaker.OnFailure(trial, m_queue->Now());
      }
    });
  }
  m_queue->After(kPollMs, [this, endpoint] { PollEngine(endpoint); });
}

void FakeInstance::ApplyLoad(size_t endpoint, int running, int queued, double at_ms) {
  EndpointState& state = m_view[endpoint];
  state.reported_running = running;
  state.reported_queued = queued;
  state.reported_at = m_queue->Now();
  std::vector<double>& sent = m_sent_at_ms[endpoint];
  sent.erase(std::remove_if(sent.begin(), sent.end(), [&](double sent_at) { return sent_at <= at_ms; }), sent.end());
  state.own_since_report = static_cast<int>(sent.size());
}

void FakeInstance::ApplyCacheEvents(size_t endpoint, size_t next) {
  const std::vector<CacheEvent>& events = (*m_engines)[endpoint]->cache_events();
  size_t from = m_next_event[endpoint];
  if (next - std::min(from, next) > kKeptEvents || m_random.Chance(kGapChance)) {
    from = next > kKeptEvents / 2 ? next - kKeptEvents / 2 : 0;
    from = std::max(from, m_next_event[endpoint]);
    m_router->OnCacheEventsLost(m_view[endpoint].id);
  }
  for (size_t i = from; i < next; ++i) {
    if (events[i].stored) {
      m_router->OnCacheStored(m_view[endpoint].id, events[i].prefix_hash);
    } else {
      m_router->OnCacheEvicted(m_view[endpoint].id, events[i].prefix_hash);
    }
  }
  m_next_event[endpoint] = std::max(next, m_next_event[endpoint]);
}

void FakeInstance::OnPeerLoad(const std::string& peer, uint32_t sequence, const std::vector<EndpointCount>& counts) {
  m_peer_load.OnReport(peer, sequence, counts, m_queue->Now());
  SendHeld();
}

void FakeInstance::ReportLoad(std::function<void(uint32_t, const std::vector<EndpointCount>&)> send,
                              std::vector<std::string> peers) {
  m_send_load = std::move(send);
  m_peers = std::move(peers);
}

void FakeInstance::UpdatePeerCounts() {
  if (!m_rules.peer_load) {
    return;
  }
  const bool all = m_peer_load.HasReportsFrom(m_peers, m_queue->Now());
  for (size_t i = 0; i < m_view.size(); ++i) {
    const EndpointCount sum = m_peer_load.Sum(static_cast<uint32_t>(i), m_queue->Now());
    m_view[i].peer_in_flight = sum.in_flight;
    m_view[i].all_peers_counted = all;
    m_view[i].awaiting_first_token = m_own_starting[i] + sum.awaiting_first_token;
  }
}

void FakeInstance::OnLoadChanged() {
  if (!m_send_load || m_load_due) {
    return;
  }
  m_load_due = true;
  m_queue->After(std::max(0.0, m_load_sent_ms + kLoadIntervalMs - m_queue->now_ms()), [this] {
    m_load_due = false;
    SendLoad();
  });
}

void FakeInstance::SendLoad() {
  std::vector<EndpointCount> counts;
  for (size_t i = 0; i < m_view.size(); ++i) {
    if (m_view[i].own_in_flight > 0) {
      counts.push_back({static_cast<uint32_t>(i), m_view[i].own_in_flight, m_own_starting[i]});
    }
  }
  m_load_sent_ms = m_queue->now_ms();
  m_send_load(++m_load_sequence, counts);
}

// A request that finds no slot stays where it is in the queue. Later ones may still find one, since retries leave out
// endpoints that they tried.
void FakeInstance::SendHeld() {
  for (const uint64_t id : m_held.InOrder()) {
    Send(id);
  }
}

void FakeInstance::Tick() {
  Settle();
  if (m_send_load && m_queue->now_ms() - m_load_sent_ms >= kLoadRepeatMs) {
    SendLoad();
  }
  m_queue->After(kTickMs, [this] { Tick(); });
}

AdmissionRequest FakeInstance::MakeAdmissionRequest(uint64_t id) const {
  const TrafficRequest& request = *m_active.at(id).record->request;
  AdmissionRequest admission;
  admission.id = id;
  admission.workspace = request.workspace;
  admission.service = "model";
  admission.work_class = request.work_class;
  admission.rollout_share_max = 0.8;
  admission.capacity = KnownSlots();
  return admission;
}

int FakeInstance::KnownSlots() const {
  int slots = 0;
  for (size_t i = 0; i < m_view.size(); ++i) {
    const bool usable = !m_view[i].leaving && !(m_rules.breakers && m_breakers[i].open());
    slots += usable ? m_view[i].slots : 0;
  }
  return slots;
}

void FakeInstance::Serve(RequestRecord* record) {
  const uint64_t id = ++m_last_id;
  m_active[id].record = record;
  m_active[id].tokens_left = record->request->output_tokens;
  Admit(id);
}

void FakeInstance::Admit(uint64_t id) {
  const AdmissionResult result = m_policy->Decide(MakeAdmissionRequest(id), m_queue->Now());
  if (result.verdict == AdmissionVerdict::kAdmit) {
    m_active[id].priority = result.engine_priority;
    Send(id);
  } else if (result.verdict == AdmissionVerdict::kQueue) {
    Settle();
  } else if (m_active[id].record->request->work_class == WorkClass::kRollout) {
    // The rollout queue keeps the sample and asks again.
    m_queue->After(static_cast<double>(result.retry_after.ms()), [this, id] { Admit(id); });
  } else {
    m_active[id].record->shed = true;
    m_active.erase(id);
  }
}

void FakeInstance::Send(uint64_t id) {
  Active& active = m_active[id];
  const TrafficRequest& request = *active.record->request;
  RouteRequest route;
  route.service = "model";
  route.workspace = request.workspace;
  route.work_class = request.work_class;
  route.zone = m_zone;
  route.prefix_hashes = request.prefix_hashes;
  route.excluded = active.excluded;
  UpdatePeerCounts();
  std::vector<EndpointState> usable;
  std::vector<int> index;
  route.needs_free_slot = m_rules.hold;
  route.engine_priority = active.priority;
  if (active.held_since_ms >= 0) {
    route.waited = Duration::Milliseconds(static_cast<int64_t>(m_queue->now_ms() - active.held_since_ms));
  }
  for (size_t i = 0; i < m_view.size(); ++i) {
    if (!m_rules.breakers || m_breakers[i].Allows(m_queue->Now())) {
      usable.push_back(m_view[i]);
      index.push_back(static_cast<int>(i));
    }
  }
  const int chosen = m_router->Choose(route, usable, m_queue->Now());
  if (chosen < 0 && ShouldWaitForFreeSlot(route, usable)) {
    if (active.held_since_ms < 0) {
      active.held_since_ms = m_queue->now_ms();
    }
    m_held.Add(id, active.priority);
    return;
  }
  m_held.Remove(id);
  active.held_since_ms = -1;
  ++active.record->attempts;
  if (chosen < 0) {
    active.endpoint = -1;
    m_queue->After(0, [this, id] { OnEnded(id, false, 0); });
    return;
  }
  active.endpoint = index[chosen];
  if (active.record->endpoint < 0) {
    active.record->endpoint = active.endpoint;
  }
  EndpointState& state = m_view[active.endpoint];
  ++state.own_in_flight;
  ++state.own_since_report;
  ++m_own_starting[active.endpoint];
  active.awaiting_first_token = true;
  m_sent_at_ms[active.endpoint].push_back(m_queue->now_ms());
  active.trial = m_breakers[active.endpoint].OnStart(m_queue->Now());
  m_router->OnDispatched(state.id, request.prefix_hashes);
  EngineRequest call;
  call.id = id;
  call.priority = m_rules.engine_priority ? active.priority : 0;
  call.prefix_hashes = request.prefix_hashes;
  call.prompt_tokens = request.prompt_tokens + request.output_tokens - active.tokens_left;
  call.output_tokens = active.tokens_left;
  call.on_first_token = [this, id, record = active.record](int cached) {
    OnStarted(id);
    if (record->first_token_ms < 0) {
      record->first_token_ms = m_queue->now_ms();
      record->cached_tokens = cached;
    }
  };
  call.on_ended = [this, id](bool ok, int tokens) { OnEnded(id, ok, tokens); };
  OnLoadChanged();
  (*m_engines)[active.endpoint]->Submit(std::move(call));
}

void FakeInstance::OnStarted(uint64_t id) {
  Active& active = m_active[id];
  if (active.awaiting_first_token) {
    active.awaiting_first_token = false;
    --m_own_starting[active.endpoint];
    OnLoadChanged();
  }
}

void FakeInstance::OnEnded(uint64_t id, bool ok, int tokens) {
  OnStarted(id);
  Active active = m_active[id];
  if (active.endpoint >= 0) {
    --m_view[active.endpoint].own_in_flight;
    OnLoadChanged();
    if (ok) {
      m_breakers[active.endpoint].OnSuccess(active.trial);
    } else {
      m_breakers[active.endpoint].OnFailure(active.trial, m_queue->Now());
    }
  }
  active.tokens_left -= tokens;
  m_active[id].tokens_left = active.tokens_left;
  // A stream to an interactive caller that was cut off is reported as such; a rollout is resumed from its text.
  const bool cut_off = tokens > 0 && active.record->request->work_class == WorkClass::kInteractive;
  if (!ok && !cut_off && active.record->attempts < kMaxAttempts) {
    if (active.endpoint >= 0) {
      m_active[id].excluded.push_back(m_view[active.endpoint].id);
    }
    Send(id);
    return;
  }
  m_policy->OnFinished(MakeAdmissionRequest(id), m_queue->Now());
  m_active.erase(id);
  if (ok && active.preempted && active.tokens_left > 0) {
    ++active.record->preemptions;
    active.preempted = false;
    const uint64_t resumed = ++m_last_id;
    m_active[resumed] = active;
    // Admission of the request that preempted this one comes first.
    m_queue->After(0, [this, resumed] { Admit(resumed); });
  } else if (ok) {
    active.record->end_ms = m_queue->now_ms();
  }
  Settle();
}

void FakeInstance::Settle() {
  SendHeld();
  for (const QueueOutcome& outcome : m_policy->NextQueued(m_queue->Now())) {
    if (outcome.result.verdict == AdmissionVerdict::kAdmit) {
      m_active[outcome.id].priority = outcome.result.engine_priority;
      Send(outcome.id);
      continue;
    }
    const auto it = m_active.find(outcome.id);
    if (it->second.record->request->work_class == WorkClass::kRollout) {
      m_queue->After(static_cast<double>(outcome.result.retry_after.ms()), [this, id = outcome.id] { Admit(id); });
    } else {
      it->second.record->shed = true;
      m_active.erase(it);
    }
  }
  if (!m_rules.preempt) {
    return;
  }
  for (const uint64_t id : m_policy->TakePreemptions(m_queue->Now())) {
    m_active[id].preempted = true;
    m_queue->After(0, [this, id] {
      const auto it = m_active.find(id);
      if (it == m_active.end()) {
        return;
      }
      if (it->second.held_since_ms >= 0) {
        m_held.Remove(id);
        it->second.held_since_ms = -1;
        it->second.endpoint = -1;
        OnEnded(id, true, 0);
      } else if (it->second.endpoint >= 0) {
        (*m_engines)[it->second.endpoint]->Cancel(id);
      }
    });
  }
}

}  // namespace quetzalridge
