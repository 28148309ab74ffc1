#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <vector>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"

namespace quetzalridge::history {
namespace {

constexpr Duration kTurn = Duration::Milliseconds(20);
constexpr Duration kReadyLimit = Duration::Seconds(60);
constexpr int64_t kMinRunMs = 1000;
constexpr int64_t kMaxRunMs = 3000;
// Pooled connections are dropped after 4 s without use, so the pause ends just after that.
constexpr int64_t kMinPauseMs = 4100;
constexpr int64_t kMaxPauseMs = 4300;

int64_t Between(Random* random, int64_t min, int64_t max) {
  return min + static_cast<int64_t>(random->Below(max - min));
}

// Kills, starts and pauses one instance again and again.
class PauseCycle {
 public:
  PauseCycle(ProcessHarness* harness, DaemonProcess* daemon) : m_harness(harness), m_daemon(daemon) {}

  void Step() {
    if (m_harness->NowMs() < m_due_ms) {
      return;
    }
    if (!m_paused) {
      m_daemon->process->Signal(SIGSTOP);
      m_paused = true;
      m_due_ms = m_harness->NowMs() + Between(m_harness->random(), kMinPauseMs, kMaxPauseMs);
    } else {
      m_daemon->process->Signal(SIGCONT);
      const bool ready = m_harness->WaitUntil(
          [&] { return m_daemon->process->HasEnded() || m_harness->IsReady(*m_daemon); }, kReadyLimit);
      CHECK(ready);
      CHECK_FALSE(m_daemon->process->HasEnded());
      ++m_pauses;
      Begin();
    }
  }

  void Begin() {
    m_daemon->process->Signal(SIGKILL);
    m_harness->WaitEnded(m_daemon->process.get());
    m_harness->Restart(m_daemon);
    m_paused = false;
    m_due_ms = m_harness->NowMs() + Between(m_harness->random(), kMinRunMs, kMaxRunMs);
  }

  int pauses() const { return m_pauses; }
  bool paused() const { return m_paused; }
  DaemonProcess* daemon() { return m_daemon; }

 private:
  ProcessHarness* m_harness;
  DaemonProcess* m_daemon;
  int64_t m_due_ms = 0;
  bool m_paused = false;
  int m_pauses = 0;
};

int RunPauses(uint64_t seed, int daemons, int64_t seconds) {
  DeploymentOptions options;
  options.daemons = daemons;
  Deployment deployment(seed, options);
  ProcessHarness* harness = deployment.harness();
  std::vector<PauseCycle> cycles;
  for (int i = 1; i < daemons; ++i) {
    cycles.emplace_back(harness, deployment.daemon(i));
    cycles.back().Begin();
  }
  const int64_t end_ms = harness->NowMs() + seconds * 1000;
  for (int64_t round = 0; harness->NowMs() < end_ms; ++round) {
    for (PauseCycle& cycle : cycles) {
      cycle.Step();
    }
    if (round % 5 == 0 && deployment.traffic()->in_flight() < 60) {
      const Caller& caller = deployment.caller(round % 2);
      deployment.traffic()->StartCompletion(*deployment.AnyDaemon(), caller,
                                            {"model", deployment.UniqueText("ask"), 20, round % 2 == 0});
      deployment.traffic()->StartPlain(*deployment.AnyDaemon(), caller,
                                       {"score", "/score", deployment.UniqueText("score")});
    }
    harness->RunFor(kTurn);
  }
  int pauses = 0;
  for (PauseCycle& cycle : cycles) {
    pauses += cycle.pauses();
    cycle.daemon()->process->Signal(SIGCONT);
  }
  std::cout << "pauses " << pauses << std::endl;
  CHECK(harness->WaitReady());
  CHECK(deployment.traffic()->WaitAll());
  CHECK(deployment.Judge() == Violations{});
  return pauses;
}

// Guards against an instance that never becomes ready when it is paused soon after its start, while its first reads of
// the store, its first leases and its first pooled connections are under way.
TEST_CASE("an instance that is paused after its start becomes ready", "[daemon]") {
  CHECK(RunPauses(44, 5, 15) > 0);
}

// The same for longer, with the seed and the seconds in the environment.
TEST_CASE("many pauses after a start", "[.][soak]") {
  const char* seed = std::getenv("QUETZALRIDGE_SOAK_SEED");
  const char* seconds = std::getenv("QUETZALRIDGE_SOAK_SECONDS");
  REQUIRE(seed != nullptr);
  REQUIRE(seconds != nullptr);
  CHECK(RunPauses(std::strtoull(seed, nullptr, 10), 9, std::atoll(seconds)) > 0);
}

}  // namespace
}  // namespace quetzalridge::history
