#pragma once

#include <functional>
#include <list>
#include <string>
#include <vector>

#include "tests/history/deployment.h"

namespace quetzalridge::history {

// Injects faults at random times, several at once, and heals each after a while. The faults and their times depend on
// the seed alone, not on the traffic. Call Step from the test's own loop, never from a callback.
class FaultInjector {
 public:
  FaultInjector(Deployment* deployment, uint64_t seed);

  // Heals what is due, and injects the next fault when its time has come.
  void Step();
  void HealAll();
  const std::vector<std::string>& log() const { return m_log; }

 private:
  struct Healing {
    int64_t due_ms = 0;
    std::function<void()> heal;
  };

  void Inject();
  void KillDaemon();
  void PauseDaemon();
  void KillEndpoint();
  void CutOrSilenceEndpoint();
  void SeparateFromPlatform();
  void DisturbPlatform();
  void DisturbEndpoint();
  void LoseZone();
  void PublishWeights();

  int64_t Below(int64_t bound) { return static_cast<int64_t>(m_random.Below(bound)); }
  void Note(const std::string& fault);
  void HealAfter(int64_t delay_ms, std::function<void()> heal);
  StandInProcess* AnyEndpoint();
  DaemonProcess* AnyDaemon();
  static void RestartIfEnded(ProcessHarness* harness, StandInProcess* endpoint);
  static void RestartIfEnded(ProcessHarness* harness, DaemonProcess* daemon);

  Deployment* m_deployment;
  ProcessHarness* m_harness;
  Random m_random;
  const int64_t m_start_ms;
  int64_t m_next_ms = 0;
  int64_t m_weight_version = 1;
  std::list<Healing> m_healings;
  std::vector<std::string> m_log;
};

}  // namespace quetzalridge::history
