#include "daemon/daemon.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "coordination/config_log.h"
#include "coordination/duty_manager.h"
#include "coordination/idempotency_store.h"
#include "coordination/membership.h"
#include "coordination/roster.h"
#include "coordination/usage_recorder.h"
#include "daemon/caller_api.h"
#include "daemon/caller_http_handler.h"
#include "daemon/client_limit_monitor.h"
#include "daemon/component_options.h"
#include "daemon/dispatched_sample_engine.h"
#include "daemon/dispatcher.h"
#include "daemon/duty_set.h"
#include "daemon/endpoint_registry.h"
#include "daemon/load_exchange.h"
#include "daemon/metrics.h"
#include "daemon/operator_api.h"
#include "daemon/peer_exchange.h"
#include "daemon/rollout_api.h"
#include "protocol/peer_codec.h"
#include "state/fair_share_policy.h"
#include "state/prefix_affinity_router.h"
#include "state/sunset_planner.h"
#include "transport/engine_client.h"
#include "transport/http_client.h"
#include "transport/http_engine_control.h"
#include "transport/http_object_store.h"
#include "transport/http_platform.h"
#include "transport/http_server.h"
#include "transport/http_table_store.h"
#include "transport/udp_peer_channel.h"

namespace quetzalridge {

namespace {

constexpr int kIncarnationBytes = 8;
// The time that the load balancer needs to notice that the instance is not ready. Requests are still served in this
// time.
constexpr Duration kNotReadyNoticeTime = Duration::Seconds(3);
// How long a shutdown waits for the release of leases and sample groups. They cannot be released while the store is
// unreachable; other instances then take them over later.
constexpr Duration kReleaseTimeout = Duration::Seconds(10);
// How long a shutdown waits for the last usage counters to be written and the roster row to be removed, which is not
// possible while the store is unreachable.
constexpr Duration kFinalWritesTimeout = Duration::Seconds(5);
constexpr Duration kDrainCheckInterval = Duration::Milliseconds(50);

}  // namespace

class Daemon::Impl {
 public:
  Impl(EventLoop* loop, Settings settings, const Mechanisms& mechanisms)
      : m_loop(loop),
        m_settings(std::move(settings)),
        m_mechanisms(mechanisms),
        m_incarnation(RandomHex(kIncarnationBytes)),
        m_http_client(loop),
        m_engine_client(&m_http_client),
        m_table(&m_http_client, MakePlatformClientOptions(m_settings)),
        m_objects(&m_http_client, MakePlatformClientOptions(m_settings)),
        m_platform(&m_http_client, MakePlatformClientOptions(m_settings)),
        m_config(&m_table, &m_objects, loop, MakeConfigLogOptions(m_settings, m_incarnation)),
        m_peer_codec(m_settings.instance.cluster),
        m_peer_channel(loop, m_settings.listen.peer),
        m_roster(&m_table, loop, MakeRosterOptions(m_settings, m_incarnation)),
        m_membership(loop, &m_peer_channel, &m_peer_codec, &m_roster, &m_config,
                     MakeMembershipOptions(m_settings, m_incarnation)),
        m_usage_recorder(&m_table, loop, &WallClockMilliseconds, MakeUsageRecorderOptions(m_settings, m_incarnation)),
        m_metrics(&loop->clock(), &m_config),
        m_router(Hash64(m_incarnation)),
        m_peer_exchange(&loop->clock(), &m_config, &m_admission, &m_quarantine),
        m_endpoints(loop, &m_config, &m_platform, &m_engine_client, &m_router,
                    {m_settings.timing.load_poll, EndpointRegistryOptions().list_poll_interval, mechanisms}),
        m_dispatcher({loop, &m_config, &m_endpoints, &m_engine_client, &m_router, &m_admission, &m_quarantine},
                     MakeDispatcherOptions(m_settings, mechanisms)),
        m_load_exchange(loop, &m_endpoints, MakeLoadExchangeHooks()),
        m_kv_transfer(&m_engine_client, &m_endpoints),
        m_sample_engine(&m_dispatcher, &m_usage_recorder, &m_kv_transfer),
        m_idempotency_store(&m_table, loop, m_settings.instance.id + "/" + m_incarnation),
        m_engine_control(&m_http_client),
        m_order_targets(
            &m_config, [this] { return std::make_unique<SunsetPlanner>(MakeLocation(m_settings)); },
            [this](const std::string& service) { return m_peer_exchange.DemandOf(service); }, &WallClockMilliseconds),
        m_duty_manager(&m_table, loop, MakeDutyManagerOptions(m_settings, m_incarnation)),
        m_duty_set({&m_table, &m_objects, loop, &m_platform, &m_endpoints, &m_engine_control, &m_order_targets,
                    &m_config, &m_duty_manager},
                   MakeOrderDutyOptions(m_settings), MakeUsageDutyOptions(m_settings), MakeCleanupOptions(m_settings)),
        m_caller_api({loop, &m_config, &m_dispatcher, &m_idempotency_store, &m_usage_recorder, &m_metrics},
                     {m_settings.timing.stream_hold, CallerApiOptions().max_pending_bytes, mechanisms}),
        m_rollout_api({&m_table, &m_objects, &m_platform, &m_sample_engine, &m_roster, loop, m_settings.instance.id,
                       m_incarnation},
                      &m_config, m_settings.timing.version_freshness),
        m_caller_front(&m_config, loop, &m_caller_api, &m_rollout_api),
        m_operator_api(&m_config, loop, m_settings.admin.token, MakeOperatorHooks()),
        m_client_limits(MakeClientLimits(m_settings)),
        m_client_memory(m_client_limits.memory_bytes),
        m_caller_server(loop, MakeCallerServerOptions(m_settings, m_client_limits, &m_client_memory), &m_caller_front),
        m_admin_server(loop, MakeAdminServerOptions(m_settings, m_client_limits, &m_client_memory), &m_operator_api),
        m_limit_monitor(loop, m_client_limits, &m_client_memory, {&m_caller_server, &m_admin_server}) {
    ConnectComponents();
    m_config.Start();
    m_roster.Start();
    m_membership.Start();
    m_usage_recorder.Start();
    m_endpoints.Start();
    m_load_exchange.Start();
    m_duty_set.Start();
    m_limit_monitor.Start();
    Log(LogEvent::kDaemonStarted, m_settings.instance.id + " incarnation " + m_incarnation + " caller " +
                                      m_settings.listen.caller + " admin " + m_settings.listen.admin);
  }

  // First reports the instance as not ready, so that the load balancer stops sending requests to it. After
  // kNotReadyNoticeTime, refuses new requests as not run, and waits until the requests in progress have finished.
  void BeginDrain() {
    if (m_draining) {
      return;
    }
    m_draining = true;
    Log(LogEvent::kDaemonDraining, m_settings.instance.id);
    if (!m_mechanisms.graceful_shutdown) {
      m_drained = true;
      return;
    }
    m_membership.SetLeaving();
    m_rollout_api.Drain([this] { m_rollouts_drained = true; });
    m_duty_manager.Drain([this] { m_duties_drained = true; });
    m_drain_deadline = m_loop->clock().Now() + m_settings.limits.drain_timeout;
    m_release_deadline = m_loop->clock().Now() + kReleaseTimeout;
    m_drain_timer = m_loop->After(kNotReadyNoticeTime, [this] {
      m_caller_front.BeginDrain();
      m_caller_api.BeginDrain();
      CheckDrained();
    });
  }

  void ReloadTls() {
    if (m_settings.listen.tls_certificate.empty()) {
      return;
    }
    const bool loaded = m_caller_server.ReloadTls();
    Log(loaded ? LogEvent::kTlsCertificateLoaded : LogEvent::kTlsCertificateRejected,
        m_settings.listen.tls_certificate);
  }

  bool drained() const { return m_drained; }

 private:
  // Sets the callbacks between components that were not passed to their constructors.
  void ConnectComponents() {
    m_config.SetPeers(&m_membership);
    m_roster.SetLastReceivedSource(
        [this](const std::string& incarnation) { return m_membership.peers().LastReceivedAt(incarnation); });
    m_duty_manager.SetInstanceCount([this] { return m_roster.live_count(); });
    m_duty_manager.SetLiveInstances(m_settings.instance.id, [this] { return MemberIds(); });
    m_membership.SetDigestSource([this] { return m_peer_exchange.MakeDigest(); });
    m_membership.SetDigestReceiver([this](const std::string& incarnation, const PeerDigest& digest) {
      m_peer_exchange.OnDigest(incarnation, digest, m_membership.RoundDuration());
    });
    m_membership.SetLoadReceiver([this](const PeerLoad& load) { m_load_exchange.OnPeerLoad(load); });
    m_endpoints.SetListReceiver([this](const InstanceListResult& list) { m_roster.OnInstanceList(list); });
  }

  LoadExchange::Hooks MakeLoadExchangeHooks() {
    LoadExchange::Hooks hooks;
    hooks.send = [this](const std::vector<EndpointCount>& counts) { m_membership.SendLoad(counts); };
    hooks.peers = [this] { return m_membership.OtherIncarnations(); };
    hooks.load_changed = [this] { m_dispatcher.OnLoadChanged(); };
    return hooks;
  }

  std::vector<std::string> MemberIds() const {
    std::vector<std::string> ids;
    for (const RosterMember& member : m_roster.live_members()) {
      ids.push_back(member.instance);
    }
    return ids;
  }

  OperatorHooks MakeOperatorHooks() {
    OperatorHooks hooks;
    hooks.metrics = [this] {
      Counters counters;
      m_limit_monitor.SetCounters(&counters);
      return m_metrics.Text() + counters.Text();
    };
    hooks.burn = [this] { return m_metrics.BurnReportJson(); };
    hooks.status = [this] { return StatusJson(); };
    hooks.drain = [this] { BeginDrain(); };
    hooks.draining = [this] { return m_draining; };
    return hooks;
  }

  std::string StatusJson() const {
    nlohmann::json endpoints = nlohmann::json::array();
    for (const EndpointState& endpoint : m_endpoints.endpoints()) {
      endpoints.push_back({{"id", endpoint.id},
                           {"service", endpoint.service},
                           {"zone", endpoint.zone},
                           {"address", endpoint.address},
                           {"cheap", endpoint.cheap},
                           {"leaving", endpoint.leaving},
                           {"set_aside", endpoint.set_aside},
                           {"running", endpoint.reported_running},
                           {"queued", endpoint.reported_queued},
                           {"own_in_flight", endpoint.own_in_flight},
                           {"weight_version", endpoint.weight_version}});
    }
    const nlohmann::json status = {{"instance", m_settings.instance.id},
                                   {"incarnation", m_incarnation},
                                   {"zone", m_settings.instance.zone},
                                   {"requests_in_progress", m_caller_api.active()},
                                   {"rollout_groups", m_rollout_api.owned_groups()},
                                   {"peers", PeersJson()},
                                   {"duties", DutiesJson()},
                                   {"endpoints", endpoints}};
    return status.dump();
  }

  nlohmann::json PeersJson() const {
    nlohmann::json peers = nlohmann::json::array();
    const TimePoint now = m_loop->clock().Now();
    for (const auto& [id, entry] : m_roster.others()) {
      nlohmann::json peer = {{"id", id}, {"zone", entry.record.zone}, {"address", entry.record.peer_address}};
      if (const auto last_received_at = m_membership.peers().LastReceivedAt(entry.record.incarnation)) {
        peer["heard_ms_ago"] = (now - *last_received_at).ms();
      }
      peers.push_back(peer);
    }
    return peers;
  }

  nlohmann::json DutiesJson() const {
    nlohmann::json duties = nlohmann::json::array();
    for (const std::string& name : m_duty_manager.DutyNames()) {
      const Lease* lease = m_duty_manager.FindLease(name);
      duties.push_back(
          {{"duty", name}, {"held_here", lease->IsHeld(m_loop->clock().Now())}, {"epoch", lease->epoch()}});
    }
    return duties;
  }

  // Waits until no request is in progress and the leases and sample groups are released, but not longer than the drain
  // timeout.
  void CheckDrained() {
    const TimePoint now = m_loop->clock().Now();
    const bool expired = now >= m_drain_deadline;
    const bool released = (m_rollouts_drained && m_duties_drained) || now >= m_release_deadline;
    const bool idle = m_caller_api.active() == 0 && released;
    if (!idle && !expired) {
      m_drain_timer = m_loop->After(kDrainCheckInterval, [this] { CheckDrained(); });
      return;
    }
    WriteFinalRows();
  }

  // Writes the last usage counters and removes the row of this instance from the roster. The timer closes the servers
  // if this takes longer than kFinalWritesTimeout, as it does while the store is unreachable.
  void WriteFinalRows() {
    m_drain_timer = m_loop->After(kFinalWritesTimeout, [this] { CloseServers(); });
    m_usage_recorder.Finish(
        [this] { m_roster.Leave([this] { m_drain_timer = m_loop->After(Duration(), [this] { CloseServers(); }); }); });
  }

  void CloseServers() {
    m_caller_server.BeginShutdown();
    m_admin_server.BeginShutdown();
    m_drain_timer = m_loop->After(kDrainCheckInterval, [this] { StopWhenConnectionsClosed(); });
  }

  // Stops the event loop when all connections of callers are closed, or at the drain deadline. Until then, the end of
  // the last responses may still be in the send buffers of the sockets.
  void StopWhenConnectionsClosed() {
    if (m_caller_server.open_connections() > 0 && m_loop->clock().Now() < m_drain_deadline) {
      m_drain_timer = m_loop->After(kDrainCheckInterval, [this] { StopWhenConnectionsClosed(); });
      return;
    }
    m_drained = true;
    Log(LogEvent::kDaemonStopped, m_settings.instance.id);
    m_loop->Stop();
  }

  EventLoop* m_loop;
  Settings m_settings;
  const Mechanisms m_mechanisms;
  std::string m_incarnation;
  HttpClient m_http_client;
  EngineClient m_engine_client;
  HttpTableStore m_table;
  HttpObjectStore m_objects;
  HttpPlatform m_platform;
  ConfigLog m_config;
  CerealPeerCodec m_peer_codec;
  UdpPeerChannel m_peer_channel;
  Roster m_roster;
  Membership m_membership;
  UsageRecorder m_usage_recorder;
  Metrics m_metrics;
  PrefixAffinityRouter m_router;
  FairSharePolicy m_admission;
  Quarantine m_quarantine;
  PeerExchange m_peer_exchange;
  EndpointRegistry m_endpoints;
  Dispatcher m_dispatcher;
  LoadExchange m_load_exchange;
  KvTransfer m_kv_transfer;
  DispatchedSampleEngine m_sample_engine;
  IdempotencyStore m_idempotency_store;
  HttpEngineControl m_engine_control;
  PlannedTargetSource m_order_targets;
  DutyManager m_duty_manager;
  DutySet m_duty_set;
  CallerApi m_caller_api;
  RolloutApi m_rollout_api;
  CallerHttpHandler m_caller_front;
  OperatorApi m_operator_api;
  ClientLimits m_client_limits;
  MemoryBudget m_client_memory;
  HttpServer m_caller_server;
  HttpServer m_admin_server;
  ClientLimitMonitor m_limit_monitor;
  bool m_draining = false;
  bool m_rollouts_drained = false;
  bool m_duties_drained = false;
  bool m_drained = false;
  TimePoint m_drain_deadline;
  TimePoint m_release_deadline;
  std::unique_ptr<Timer> m_drain_timer;
};

Daemon::Daemon(EventLoop* loop, Settings settings, const Mechanisms& mechanisms)
    : m_impl(std::make_unique<Impl>(loop, std::move(settings), mechanisms)) {}

Daemon::~Daemon() = default;

void Daemon::BeginDrain() {
  m_impl->BeginDrain();
}

void Daemon::ReloadTls() {
  m_impl->ReloadTls();
}

bool Daemon::drained() const {
  return m_impl->drained();
}

}  // namespace quetzalridge
