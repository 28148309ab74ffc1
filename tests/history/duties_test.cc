#include <catch2/catch.hpp>
#include <csignal>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"

namespace quetzalridge::history {
namespace {

// Longer than the time to live of a lease (10 s) and the longest request to the platform (5 s), one after the other.
constexpr Duration kPause = Duration::Seconds(18);

// The instance whose name the newest commit of the duty's lease carries, or null.
DaemonProcess* FindHolder(Deployment* deployment, const std::string& duty) {
  History records;
  deployment->harness()->ReadRecords(&records);
  std::string holder;
  for (const LeaseCommit& commit : records.lease_commits) {
    holder = commit.duty == duty ? commit.holder : holder;
  }
  for (DaemonProcess* daemon : deployment->harness()->daemons()) {
    // A holder may be named with its incarnation.
    if (!holder.empty() && holder.rfind(daemon->id, 0) == 0) {
      return daemon;
    }
  }
  return nullptr;
}

// Sends traffic for a while, so that there is usage to report and demand to order for.
void Work(Deployment* deployment, Duration duration) {
  const int64_t end_ms = deployment->harness()->NowMs() + duration.ms();
  while (deployment->harness()->NowMs() < end_ms) {
    if (deployment->traffic()->in_flight() < 20) {
      deployment->traffic()->StartCompletion(*deployment->AnyDaemon(), deployment->caller(0),
                                             {"model", deployment->UniqueText("ask"), 10, true});
    }
    deployment->harness()->RunFor(Duration::Milliseconds(100));
  }
}

void PauseHolder(uint64_t seed, const std::string& duty, const std::vector<std::string>& platform_arguments) {
  DeploymentOptions options;
  options.timing = R"({"usage_window_ms":3000,"usage_flush_ms":500,"usage_grace_ms":1500})";
  options.platform_arguments = platform_arguments;
  Deployment deployment(seed, options);
  ProcessHarness* harness = deployment.harness();
  REQUIRE(harness->WaitUntil([&] { return FindHolder(&deployment, duty) != nullptr; }));
  Work(&deployment, Duration::Seconds(5));
  for (int round = 0; round < 2; ++round) {
    DaemonProcess* holder = FindHolder(&deployment, duty);
    REQUIRE(holder != nullptr);
    holder->process->Signal(SIGSTOP);
    Work(&deployment, kPause);
    holder->process->Signal(SIGCONT);
    Work(&deployment, Duration::Seconds(4));
  }
  REQUIRE(deployment.traffic()->WaitAll());
  CHECK(deployment.Judge() == Violations{});
  const History& history = *deployment.history();
  CHECK((duty == "usage" ? history.usage_reports.size() : history.orders.size()) > 0);
}

// Guards against a usage report by a holder that was paused past its lease, and against a window that its successor
// reports with other figures.
TEST_CASE("usage is reported once when the holder is paused past its lease", "[daemon]") {
  PauseHolder(81, "usage", {});
}

// Guards against an order by a holder that was paused past its lease, in a zone that checks fencing numbers.
TEST_CASE("orders come from one holder where the zone checks fencing", "[daemon]") {
  PauseHolder(82, "order/z1", {});
}

// The same in a zone that takes every order: only the holder's own check can keep the guarantee.
TEST_CASE("orders come from one holder where the zone ignores fencing", "[daemon]") {
  PauseHolder(83, "order/z1", {"--zones-without-fence", "z1,z2,z3"});
}

}  // namespace
}  // namespace quetzalridge::history
