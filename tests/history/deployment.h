#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tests/history/process_harness.h"
#include "tests/history/traffic.h"

namespace quetzalridge::history {

struct DeploymentOptions {
  int daemons = 3;
  int engines = 3;
  int plain_services = 2;
  int64_t staleness_bound = 2;
  std::vector<std::string> platform_arguments;
  std::vector<std::string> engine_arguments = {"--token-ms", "5"};
  // Settings section "timing".
  std::string timing = "{}";
  // A mechanism that the instances run without, see tests/mutants; empty starts quetzalridged.
  std::string mechanism_off;
};

// A small region: instances and endpoints over three availability zones, two workspaces with a key each, the inference
// route "model", the plain routes "score" (idempotent) and "book" (not idempotent), and the queue "queue" of the first
// workspace.
class Deployment {
 public:
  explicit Deployment(uint64_t seed, const DeploymentOptions& options = {});

  ProcessHarness* harness() { return &m_harness; }
  Traffic* traffic() { return &m_traffic; }
  History* history() { return &m_history; }
  DaemonProcess* daemon(size_t index) { return m_harness.daemons().at(index); }
  DaemonProcess* AnyDaemon();
  StandInProcess* engine(size_t index) { return m_engines.at(index); }
  StandInProcess* plain_service(size_t index) { return m_plain_services.at(index); }
  const Caller& caller(size_t index) const { return m_callers.at(index); }
  // A new key of a workspace; empty when it was refused.
  Caller GrantKey(const std::string& workspace);
  // The version of the change, or -1.
  int64_t WithdrawKey(const DaemonProcess& daemon, const Caller& caller);
  // A prompt or body that no other request has.
  std::string UniqueText(const std::string& purpose);

  // Reads the records and returns the violations of all checks, with the names of the checks.
  Violations Judge();

 private:
  void Configure();
  void Add(const std::string& kind, const std::string& name, const std::string& value_json);

  const DeploymentOptions m_options;
  ProcessHarness m_harness;
  History m_history;
  Traffic m_traffic;
  std::vector<StandInProcess*> m_engines;
  std::vector<StandInProcess*> m_plain_services;
  std::vector<Caller> m_callers;
  int64_t m_next_text = 0;
};

}  // namespace quetzalridge::history
