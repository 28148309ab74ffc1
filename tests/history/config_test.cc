#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"
#include "tests/history/monitor.h"

namespace quetzalridge::history {
namespace {

constexpr int kChangesOfEachOperator = 12;
constexpr int kServiceUnavailable = 503;

// Makes changes one after another through changing instances; after a lost race it sends the change again on the new
// base, and after a refusal as not run on the same base. An unknown outcome is left open.
class Operator {
 public:
  Operator(Deployment* deployment, std::string name) : m_deployment(deployment), m_name(std::move(name)) {}
  void Start() { Propose(); }
  bool done() const { return m_change >= kChangesOfEachOperator; }
  int accepted() const { return m_accepted; }

 private:
  void Propose() {
    const DaemonProcess* daemon = m_deployment->AnyDaemon();
    const std::string workspace = m_name + "-" + std::to_string(m_change);
    HttpCall call;
    call.address = daemon->admin_address;
    call.method = "POST";
    call.target = "/admin/change";
    call.head_timeout = Duration::Seconds(20);
    call.body =
        nlohmann::json{{"base_version", m_base}, {"kind", "workspace"}, {"name", workspace}, {"value", {{"share", 1}}}}
            .dump();
    m_deployment->harness()->client()->Fetch(
        call, [this, workspace](const HttpResponse& response) { OnAnswer(response, workspace); });
  }

  void OnAnswer(const HttpResponse& response, const std::string& workspace) {
    const nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status == 200) {
      m_base = json.at("version");
      m_deployment->history()->config_accepted.push_back({m_base, m_deployment->harness()->NowMs(), workspace});
      ++m_accepted;
      ++m_change;
    } else if (response.status == 409) {
      m_base = json.at("version");
    } else if (response.status != kServiceUnavailable) {
      ++m_change;
    }
    if (done()) {
      return;
    }
    const int64_t pause_ms = 20 + static_cast<int64_t>(m_deployment->harness()->random()->Below(200));
    m_timer = m_deployment->harness()->loop()->After(Duration::Milliseconds(pause_ms), [this] { Propose(); });
  }

  Deployment* m_deployment;
  const std::string m_name;
  int64_t m_base = 0;
  int m_change = 0;
  int m_accepted = 0;
  std::unique_ptr<Timer> m_timer;
};

// Every change that was accepted is in the configuration of every instance that runs.
void CheckAcceptedChangesArePresent(Deployment* deployment) {
  for (const DaemonProcess* daemon : deployment->harness()->daemons()) {
    HttpCall call;
    call.address = daemon->admin_address;
    call.target = "/admin/config";
    const nlohmann::json config = nlohmann::json::parse(deployment->harness()->Call(call).body);
    for (const ConfigCommit& change : deployment->history()->config_accepted) {
      INFO(daemon->id << " lacks the accepted change " << change.change);
      CHECK(config.at("workspace").contains(change.change));
    }
  }
}

void RaceOperators(uint64_t seed, const std::function<void(Deployment*)>& faults) {
  Deployment deployment(seed);
  Monitor monitor(&deployment);
  Operator first(&deployment, "first-operator");
  Operator second(&deployment, "second-operator");
  first.Start();
  second.Start();
  faults(&deployment);
  REQUIRE(deployment.harness()->WaitUntil([&] { return first.done() && second.done(); }, Duration::Seconds(200)));
  // The bound of the guarantee, after the last change.
  deployment.harness()->RunFor(Duration::Milliseconds(5200));
  CHECK(deployment.Judge() == Violations{});
  CHECK(first.accepted() + second.accepted() > 0);
  CheckAcceptedChangesArePresent(&deployment);
}

// Guards against two changes accepted on the same base, and against an accepted change that another one overwrites.
TEST_CASE("racing operators lose no accepted change", "[daemon]") {
  RaceOperators(61, [](Deployment*) {});
}

// Guards against a lost or doubled change when the store's answer is lost after the effect, and against a configuration
// that reverts when an instance is killed and starts again or wakes up after a pause.
TEST_CASE("accepted changes stay in force under faults", "[daemon]") {
  RaceOperators(62, [](Deployment* deployment) {
    ProcessHarness* harness = deployment->harness();
    harness->SetFaults(*harness->platform(), R"({"lose_answer_percent":25})");
    harness->RunFor(Duration::Seconds(1));
    deployment->daemon(1)->process->Signal(SIGKILL);
    deployment->daemon(2)->process->Signal(SIGSTOP);
    harness->RunFor(Duration::Seconds(5));
    harness->Restart(deployment->daemon(1));
    deployment->daemon(2)->process->Signal(SIGCONT);
    harness->RunFor(Duration::Seconds(1));
    harness->SetFaults(*harness->platform(), R"({"lose_answer_percent":null,"slow_answer_ms":800})");
    harness->RunFor(Duration::Seconds(2));
    harness->SetFaults(*harness->platform(), R"({"slow_answer_ms":null})");
  });
}

}  // namespace
}  // namespace quetzalridge::history
