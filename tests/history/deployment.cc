#include "tests/history/deployment.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/hash.h"
#include "tests/history/checks.h"

namespace quetzalridge::history {

namespace {

constexpr int kZones = 3;

std::string ZoneName(int index) {
  return "z" + std::to_string(index % kZones + 1);
}

}  // namespace

Deployment::Deployment(uint64_t seed, const DeploymentOptions& options)
    : m_options(options), m_harness(seed), m_traffic(&m_harness, &m_history) {
  m_history.staleness_bound = options.staleness_bound;
  m_harness.SetMechanismOff(options.mechanism_off);
  m_harness.StartPlatform(options.platform_arguments);
  for (int i = 0; i < options.engines; ++i) {
    m_engines.push_back(m_harness.StartEngine("engine" + std::to_string(i + 1), ZoneName(i), options.engine_arguments));
  }
  for (int i = 0; i < options.plain_services; ++i) {
    m_plain_services.push_back(m_harness.StartPlainService("plain" + std::to_string(i + 1), ZoneName(i)));
  }
  // One instance accepts the first changes at once; later ones wait for every instance.
  m_harness.StartDaemon("entry1", ZoneName(0), options.timing);
  if (!m_harness.WaitReady()) {
    throw std::runtime_error("the first instance did not become ready");
  }
  Configure();
  for (int i = 1; i < options.daemons; ++i) {
    m_harness.StartDaemon("entry" + std::to_string(i + 1), ZoneName(i), options.timing);
  }
  if (!m_harness.WaitReady()) {
    throw std::runtime_error("the instances did not become ready");
  }
}

DaemonProcess* Deployment::AnyDaemon() {
  const std::vector<DaemonProcess*> daemons = m_harness.daemons();
  return daemons[m_harness.random()->Below(daemons.size())];
}

void Deployment::Add(const std::string& kind, const std::string& name, const std::string& value_json) {
  // An instance that is ready may not be in the roster yet. Until it is, it refuses changes as not accepted.
  const bool accepted = m_harness.WaitUntil([&] { return m_harness.Change(*daemon(0), kind, name, value_json) >= 0; });
  if (!accepted) {
    throw std::runtime_error("the change of " + kind + " " + name + " was refused");
  }
}

void Deployment::Configure() {
  for (int i = 0; i < kZones; ++i) {
    Add("zone", ZoneName(i), R"({"checks_fencing":true})");
  }
  Add("profile", "profile", nlohmann::json{{"staleness_bound", m_options.staleness_bound}}.dump());
  Add("service", "default", R"({"kind":"inference","profile":"profile"})");
  Add("service", "plain", R"({"kind":"plain","profile":"profile"})");
  Add("route", "model", R"({"service":"default"})");
  Add("route", "score", R"({"service":"plain"})");
  Add("route", "book", R"({"service":"plain","idempotent":false})");
  for (int i = 0; i < m_options.engines; ++i) {
    Add("endpoint", m_engines[i]->id,
        nlohmann::json{{"service", "default"}, {"address", m_engines[i]->relay->address()}, {"zone", ZoneName(i)}}
            .dump());
  }
  for (int i = 0; i < m_options.plain_services; ++i) {
    Add("endpoint", m_plain_services[i]->id,
        nlohmann::json{{"service", "plain"}, {"address", m_plain_services[i]->relay->address()}, {"zone", ZoneName(i)}}
            .dump());
  }
  for (const std::string workspace : {"first", "second"}) {
    Add("workspace", workspace, "{}");
    m_callers.push_back(GrantKey(workspace));
  }
  Add("queue", "queue", R"({"workspace":"first","service":"default"})");
}

Caller Deployment::GrantKey(const std::string& workspace) {
  const std::string secret =
      "Secret-" + std::to_string(m_harness.random()->Next()) + "-" + std::to_string(m_history.secrets.size());
  m_history.secrets.push_back(secret);
  const std::string value = nlohmann::json{{"workspace", workspace}, {"label", "history"}}.dump();
  const bool granted = m_harness.Change(*daemon(0), "key", Sha256Hex(secret), value) >= 0;
  return {workspace, granted ? secret : "", granted};
}

int64_t Deployment::WithdrawKey(const DaemonProcess& daemon, const Caller& caller) {
  return m_harness.Change(daemon, "key", Sha256Hex(caller.key), "null");
}

std::string Deployment::UniqueText(const std::string& purpose) {
  return purpose + " " + std::to_string(m_next_text++) + " " + std::to_string(m_harness.random()->Next());
}

Violations Deployment::Judge() {
  m_harness.ReadRecords(&m_history);
  std::cout << "calls " << m_history.calls.size() << ", executions " << m_history.executions.size() << ", batches "
            << m_history.batches.size() << ", orders " << m_history.orders.size() << ", usage reports "
            << m_history.usage_reports.size() << ", configuration observations " << m_history.config_observations.size()
            << std::endl;
  Violations all = m_harness.Crashes();
  for (const NamedCheck& named : AllChecks()) {
    for (const std::string& violation : named.check(m_history)) {
      all.push_back(std::string(named.name) + ": " + violation);
      std::cout << all.back() << std::endl;
    }
  }
  return all;
}

}  // namespace quetzalridge::history
