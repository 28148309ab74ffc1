#include "daemon/daemon.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "coordination/config_log.h"
#include "coordination/duty_manager.h"
#include "coordination/once_ledger.h"
#include "coordination/roster_view.h"
#include "daemon/caller_api.h"
#include "daemon/caller_front.h"
#include "daemon/dispatched_sample_engine.h"
#include "daemon/dispatcher.h"
#include "daemon/endpoint_registry.h"
#include "daemon/operator_api.h"
#include "daemon/rollout_api.h"
#include "state/fair_share_policy.h"
#include "state/prefix_affinity_router.h"
#include "transport/engine_client.h"
#include "transport/http_client.h"
#include "transport/http_object_store.h"
#include "transport/http_platform.h"
#include "transport/http_server.h"
#include "transport/http_table_store.h"

namespace quetzalridge {

namespace {

constexpr int kIncarnationBytes = 8;
// The load balancer needs this long to notice that the instance is not ready; requests are served meanwhile.
constexpr Duration kLameDuckTime = Duration::Seconds(3);
constexpr Duration kDrainCheck = Duration::Milliseconds(50);

struct HostPort {
  std::string ip;
  int port = 0;
};

HostPort SplitAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {address.substr(0, colon), std::stoi(address.substr(colon + 1))};
}

PlatformClientOptions PlatformOptions(const Settings& settings) {
  PlatformClientOptions options;
  options.address = settings.platform.address;
  options.request_timeout = settings.timing.platform_request_timeout;
  return options;
}

ConfigLogOptions ConfigOptions(const Settings& settings, const std::string& incarnation) {
  ConfigLogOptions options;
  options.poll = settings.timing.config_poll;
  options.permission = settings.timing.permission;
  options.accept_wait = settings.timing.accept_wait;
  options.incarnation = incarnation;
  return options;
}

DispatcherOptions DispatchOptions(const Settings& settings) {
  DispatcherOptions options;
  options.zone = settings.instance.zone;
  options.connect_timeout = settings.limits.connect_timeout;
  options.first_token_timeout = settings.limits.first_token_timeout;
  options.token_gap_timeout = settings.limits.token_gap_timeout;
  options.total_timeout = settings.limits.total_timeout;
  return options;
}

HttpServerOptions ListenOptions(const std::string& address, const Settings& settings) {
  const HostPort host_port = SplitAddress(address);
  HttpServerOptions options;
  options.ip = host_port.ip;
  options.port = host_port.port;
  options.max_body_bytes = settings.limits.max_body_bytes;
  options.request_timeout = settings.limits.request_read_timeout;
  return options;
}

HttpServerOptions CallerListenOptions(const Settings& settings) {
  HttpServerOptions options = ListenOptions(settings.listen.caller, settings);
  options.tls_certificate_file = settings.listen.tls_certificate;
  options.tls_key_file = settings.listen.tls_key;
  return options;
}

class IgnoreUsage : public UsageSink {
 public:
  void Add(const std::string&, const UsageFigures&) override {}
};

class IgnoreMetrics : public RequestMetrics {
 public:
  void OnRequestEnd(const RequestRecord&) override {}
};

class SelfRoster : public RosterView {
 public:
  bool known() const override { return false; }
  std::vector<RosterMember> live_members() const override { return {}; }
};

}  // namespace

class Daemon::Impl {
 public:
  Impl(EventLoop* loop, Settings settings)
      : m_loop(loop),
        m_settings(std::move(settings)),
        m_incarnation(RandomHex(kIncarnationBytes)),
        m_client(loop),
        m_engines(&m_client),
        m_table(&m_client, PlatformOptions(m_settings)),
        m_objects(&m_client, PlatformOptions(m_settings)),
        m_platform(&m_client, PlatformOptions(m_settings)),
        m_config(&m_table, &m_objects, loop, ConfigOptions(m_settings, m_incarnation)),
        m_router(Hash64(m_incarnation)),
        m_endpoints(loop, &m_config, &m_platform, &m_engines, &m_router, {m_settings.timing.load_poll}),
        m_dispatcher({loop, &m_config, &m_endpoints, &m_engines, &m_router, &m_admission, &m_quarantine},
                     DispatchOptions(m_settings)),
        m_sample_engine(&m_dispatcher, &m_usage),
        m_once(&m_table, loop, m_settings.instance.id + "/" + m_incarnation),
        m_caller_api({loop, &m_config, &m_dispatcher, &m_once, &m_usage, &m_metrics}, {m_settings.timing.stream_hold}),
        m_rollout_api({&m_table, &m_objects, &m_platform, &m_sample_engine, &m_roster, loop, m_settings.instance.id,
                       m_incarnation},
                      &m_config, m_settings.timing.version_freshness),
        m_caller_front(&m_config, loop, &m_caller_api, &m_rollout_api),
        m_operator_api(&m_config, loop, m_settings.admin.token, MakeHooks()),
        m_caller_server(loop, CallerListenOptions(m_settings), &m_caller_front),
        m_admin_server(loop, ListenOptions(m_settings.listen.admin, m_settings), &m_operator_api) {
    m_config.Start();
    m_endpoints.Start();
    Log(LogEvent::kDaemonStarted, m_settings.instance.id + " incarnation " + m_incarnation + " caller " +
                                      m_settings.listen.caller + " admin " + m_settings.listen.admin);
  }

  // Not ready first, so that the load balancer stops sending; then new requests are refused as not run, and those in
  // progress run to their end.
  void BeginDrain() {
    if (m_draining) {
      return;
    }
    m_draining = true;
    Log(LogEvent::kDaemonDraining, m_settings.instance.id);
    m_rollout_api.Drain([this] { m_rollouts_drained = true; });
    m_drain_deadline = m_loop->clock().Now() + m_settings.limits.drain_timeout;
    m_drain_timer = m_loop->After(kLameDuckTime, [this] {
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
  OperatorHooks MakeHooks() {
    OperatorHooks hooks;
    hooks.metrics = [] { return std::string(); };
    hooks.burn = [] { return std::string(R"({"services":[]})"); };
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
                                   {"endpoints", endpoints}};
    return status.dump();
  }

  void CheckDrained() {
    const bool expired = m_loop->clock().Now() >= m_drain_deadline;
    const bool idle = m_caller_api.active() == 0 && m_rollouts_drained;
    if (!idle && !expired) {
      m_drain_timer = m_loop->After(kDrainCheck, [this] { CheckDrained(); });
      return;
    }
    m_caller_server.BeginShutdown();
    m_admin_server.BeginShutdown();
    m_drain_timer = m_loop->After(kDrainCheck, [this] { CloseWhenSent(); });
  }

  // The last bytes of the last answers may still wait in their sockets.
  void CloseWhenSent() {
    if (m_caller_server.open_connections() > 0 && m_loop->clock().Now() < m_drain_deadline) {
      m_drain_timer = m_loop->After(kDrainCheck, [this] { CloseWhenSent(); });
      return;
    }
    m_drained = true;
    Log(LogEvent::kDaemonStopped, m_settings.instance.id);
    m_loop->Stop();
  }

  EventLoop* m_loop;
  Settings m_settings;
  std::string m_incarnation;
  HttpClient m_client;
  EngineClient m_engines;
  HttpTableStore m_table;
  HttpObjectStore m_objects;
  HttpPlatform m_platform;
  ConfigLog m_config;
  PrefixAffinityRouter m_router;
  FairSharePolicy m_admission;
  Quarantine m_quarantine;
  EndpointRegistry m_endpoints;
  Dispatcher m_dispatcher;
  IgnoreUsage m_usage;
  IgnoreMetrics m_metrics;
  SelfRoster m_roster;
  DispatchedSampleEngine m_sample_engine;
  OnceLedger m_once;
  CallerApi m_caller_api;
  RolloutApi m_rollout_api;
  CallerFront m_caller_front;
  OperatorApi m_operator_api;
  HttpServer m_caller_server;
  HttpServer m_admin_server;
  bool m_draining = false;
  bool m_rollouts_drained = false;
  bool m_drained = false;
  TimePoint m_drain_deadline;
  std::unique_ptr<Timer> m_drain_timer;
};

Daemon::Daemon(EventLoop* loop, Settings settings) : m_impl(std::make_unique<Impl>(loop, std::move(settings))) {}

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
