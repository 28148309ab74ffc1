#include "tests/history/fault_injector.h"

#include <csignal>
#include <iostream>

namespace quetzalridge::history {

namespace {

constexpr int64_t kMinPauseMs = 300;
constexpr int64_t kMaxPauseMs = 1500;
constexpr int64_t kMaxOutageMs = 5000;
// Longer than a lease and the longest request to the platform, one after the other.
constexpr int64_t kMaxSuspensionMs = 17'000;

}  // namespace

FaultInjector::FaultInjector(Deployment* deployment, uint64_t seed)
    : m_deployment(deployment), m_harness(deployment->harness()), m_random(seed), m_start_ms(m_harness->NowMs()) {}

void FaultInjector::Step() {
  const int64_t now_ms = m_harness->NowMs();
  for (auto it = m_healings.begin(); it != m_healings.end();) {
    if (it->due_ms > now_ms) {
      ++it;
      continue;
    }
    it->heal();
    it = m_healings.erase(it);
  }
  if (now_ms >= m_next_ms) {
    m_next_ms = now_ms + kMinPauseMs + Below(kMaxPauseMs);
    Inject();
  }
}

void FaultInjector::HealAll() {
  for (const Healing& healing : m_healings) {
    healing.heal();
  }
  m_healings.clear();
  // An endpoint may also have been ended by a fault inside it.
  for (StandInProcess* endpoint : m_harness->endpoints()) {
    RestartIfEnded(m_harness, endpoint);
  }
}

void FaultInjector::Inject() {
  using Fault = void (FaultInjector::*)();
  static constexpr Fault kFaults[] = {
      &FaultInjector::KillDaemon,           &FaultInjector::PauseDaemon,
      &FaultInjector::KillEndpoint,         &FaultInjector::CutOrSilenceEndpoint,
      &FaultInjector::SeparateFromPlatform, &FaultInjector::DisturbPlatform,
      &FaultInjector::DisturbEndpoint,      &FaultInjector::LoseZone,
      &FaultInjector::PublishWeights,
  };
  const Fault fault = kFaults[Below(std::size(kFaults))];
  (this->*fault)();
}

void FaultInjector::KillDaemon() {
  DaemonProcess* daemon = AnyDaemon();
  Note("kill " + daemon->id);
  daemon->process->Signal(SIGKILL);
  HealAfter(Below(kMaxOutageMs), [this, daemon] { RestartIfEnded(m_harness, daemon); });
}

void FaultInjector::PauseDaemon() {
  DaemonProcess* daemon = AnyDaemon();
  const int64_t pause_ms = Below(kMaxSuspensionMs);
  Note("pause " + daemon->id + " for " + std::to_string(pause_ms) + " ms");
  daemon->process->Signal(SIGSTOP);
  HealAfter(pause_ms, [daemon] { daemon->process->Signal(SIGCONT); });
}

void FaultInjector::KillEndpoint() {
  StandInProcess* endpoint = AnyEndpoint();
  Note("kill " + endpoint->id);
  endpoint->process->Signal(SIGKILL);
  HealAfter(Below(kMaxOutageMs), [this, endpoint] { RestartIfEnded(m_harness, endpoint); });
}

void FaultInjector::CutOrSilenceEndpoint() {
  StandInProcess* endpoint = AnyEndpoint();
  const bool cuts = Below(2) == 0;
  Note((cuts ? "cut the connections of " : "silence the connections of ") + endpoint->id);
  cuts ? endpoint->relay->CutConnections() : endpoint->relay->SilenceConnections();
}

void FaultInjector::SeparateFromPlatform() {
  DaemonProcess* daemon = AnyDaemon();
  const int64_t kind = Below(4);
  Note("separate " + daemon->id + " from the platform, kind " + std::to_string(kind));
  TcpRelay* relay = daemon->platform_relay.get();
  if (kind == 0) {
    relay->SetMode(TcpRelay::Mode::kCut);
  } else if (kind == 1) {
    relay->SetMode(TcpRelay::Mode::kSilent);
  } else if (kind == 2) {
    relay->SetDelayMs(Below(2000));
  } else {
    relay->SilenceConnections();
  }
  HealAfter(Below(kMaxOutageMs), [relay] {
    relay->SetMode(TcpRelay::Mode::kPass);
    relay->SetDelayMs(0);
  });
}

void FaultInjector::DisturbPlatform() {
  static const std::vector<std::string> kDisturbances = {"store_down",   "lose_answer_percent", "slow_answer_ms",
                                                         "weights_down", "usage_down",          "orders_down"};
  const std::string& name = kDisturbances[Below(static_cast<int64_t>(kDisturbances.size()))];
  const int64_t value = name == "slow_answer_ms" ? Below(2000) : 30;
  Note("platform " + name + " " + std::to_string(value));
  m_harness->SetFaults(*m_harness->platform(), "{\"" + name + "\":" + std::to_string(value) + "}");
  HealAfter(Below(kMaxOutageMs),
            [this, name] { m_harness->SetFaults(*m_harness->platform(), "{\"" + name + "\":null}"); });
}

void FaultInjector::DisturbEndpoint() {
  static const std::vector<std::string> kDisturbances = {
      R"({"cut_answers":3})",         R"({"wrong_id":2})",
      R"({"lose_answer":2})",         R"({"cut_answer":2})",
      R"({"no_id":2,"swap_fail":1})", R"({"straggler_percent":30})",
      R"({"crash_after_tokens":50})", R"({"late_percent":20,"late_ms":500})",
      R"({"cache_gap_percent":50})",
  };
  StandInProcess* endpoint = AnyEndpoint();
  if (endpoint->process->HasEnded()) {
    return;
  }
  const std::string& faults = kDisturbances[Below(static_cast<int64_t>(kDisturbances.size()))];
  Note(endpoint->id + " " + faults);
  m_harness->SetFaults(*endpoint, faults);
  HealAfter(kMaxOutageMs, [this, endpoint] { RestartIfEnded(m_harness, endpoint); });
}

void FaultInjector::LoseZone() {
  const int64_t zone = Below(3);
  Note("lose zone " + std::to_string(zone + 1));
  std::vector<StandInProcess*> endpoints;
  for (StandInProcess* endpoint : m_harness->endpoints()) {
    if (endpoint->zone == "z" + std::to_string(zone + 1)) {
      endpoint->process->Signal(SIGKILL);
      endpoints.push_back(endpoint);
    }
  }
  DaemonProcess* daemon = m_deployment->daemon(static_cast<size_t>(zone));
  daemon->process->Signal(SIGKILL);
  HealAfter(Below(kMaxOutageMs), [this, endpoints, daemon] {
    for (StandInProcess* endpoint : endpoints) {
      RestartIfEnded(m_harness, endpoint);
    }
    RestartIfEnded(m_harness, daemon);
  });
}

// One engine at a time takes the new version, as in a roll-out; some keep the old one for longer.
void FaultInjector::PublishWeights() {
  ++m_weight_version;
  Note("publish weights " + std::to_string(m_weight_version));
  m_harness->PublishWeights("default", m_weight_version);
}

void FaultInjector::Note(const std::string& fault) {
  m_log.push_back(std::to_string(m_harness->NowMs() - m_start_ms) + " ms: " + fault);
  std::cout << m_log.back() << std::endl;
}

void FaultInjector::HealAfter(int64_t delay_ms, std::function<void()> heal) {
  m_healings.push_back({m_harness->NowMs() + delay_ms, std::move(heal)});
}

StandInProcess* FaultInjector::AnyEndpoint() {
  const std::vector<StandInProcess*> endpoints = m_harness->endpoints();
  return endpoints[m_random.Below(endpoints.size())];
}

DaemonProcess* FaultInjector::AnyDaemon() {
  const std::vector<DaemonProcess*> daemons = m_harness->daemons();
  return daemons[m_random.Below(daemons.size())];
}

void FaultInjector::RestartIfEnded(ProcessHarness* harness, StandInProcess* endpoint) {
  if (endpoint->process->HasEnded()) {
    harness->Restart(endpoint);
  }
}

void FaultInjector::RestartIfEnded(ProcessHarness* harness, DaemonProcess* daemon) {
  if (daemon->process->HasEnded()) {
    harness->Restart(daemon);
  }
}

}  // namespace quetzalridge::history
