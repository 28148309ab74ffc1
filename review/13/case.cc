// The end of a batch job is refused with 503 while the store is down. By this answer the job goes on, so its items must
// run once the store is back.

#include <algorithm>
#include <iostream>
#include <map>

#include "review/common-3/stand_ins.h"

namespace quetzalridge::review {
namespace {

using Json = nlohmann::json;

constexpr char kJob[] = "7c41e09b52d6a3f8";
constexpr int kItems = 16;
constexpr int kItemsPerGroup = 4;
constexpr int kEvents = 100;
constexpr Duration kEventGap = Duration::Milliseconds(30);
constexpr Duration kBeforeOutage = Duration::Milliseconds(700);
constexpr Duration kOutage = Duration::Milliseconds(1500);
// The bounds: `ContactMs`, how long an item may be at no server in steady state, and the trainer's deadline.
constexpr Duration kContact = Duration::Seconds(3);
constexpr Duration kMaxAtNoServer = Duration::Seconds(5);
constexpr Duration kDeadline = Duration::Seconds(12);
constexpr Duration kReadPause = Duration::Milliseconds(500);

// A trainer that reads its results, at any machine.
class Trainer {
 public:
  explicit Trainer(Deployment* deployment) : m_deployment(deployment) {}

  bool Submit() {
    Json items = Json::array();
    for (int i = 0; i < kItems; ++i) {
      items.push_back(MakeItem("e5b2907c14da6f" + std::to_string(10 + i),
                               std::string(kBatchPrefix) + "3/" + std::to_string(i), "a skull",
                               "g" + std::to_string(i / kItemsPerGroup)));
    }
    HttpCall call =
        m_deployment->CallTo(*m_deployment->machines()[0], "POST", std::string(kBatchPrefix) + "7c41e0", kKey);
    call.headers.push_back({"x-quetzalridge-request-id", kJob});
    call.body = MakeJob(items, kItems / kItemsPerGroup);
    return m_deployment->Send(std::move(call), "a batch job").status == 202;
  }
  void Read() {
    const size_t count = m_deployment->machines().size();
    HttpCall call =
        m_deployment->CallTo(*m_deployment->machines()[m_reads++ % count], "GET",
                             std::string("/api/lots/") + kJob + "?After=" + std::to_string(m_results), kKey);
    const HttpResponse page = m_deployment->Send(std::move(call), "a read");
    if (page.status == 200) {
      const Json body = Json::parse(page.body);
      m_results += body.at("Results").size();
    }
  }
  size_t results() const { return m_results; }

 private:
  Deployment* m_deployment;
  size_t m_reads = 0;
  size_t m_results = 0;
};

int Run(int argc, char** argv) {
  Deployment deployment(argc, argv, CaseOptions());
  for (const std::unique_ptr<Server>& server : deployment.servers()) {
    server->SetEvents([](const std::string&) { return kEvents; }, kEventGap);
  }
  if (!deployment.WaitUntilReady()) {
    return 2;
  }
  deployment.Wait(kContact);
  const TimePoint began_at = deployment.Now();
  Trainer trainer(&deployment);
  if (!trainer.Submit()) {
    return 2;
  }
  deployment.Wait(kBeforeOutage);
  const auto set_store = [&deployment](Store::Mode mode) {
    deployment.record()->Add(mode == Store::Mode::kBusy ? "the store is down" : "the store is back");
    for (size_t i = 0; i < deployment.machines().size(); ++i) {
      deployment.store()->SetMode(i, mode);
    }
  };
  if (deployment.trouble()) {
    set_store(Store::Mode::kBusy);
  }
  const TimePoint outage_began_at = deployment.Now();
  deployment.Wait(Duration::Milliseconds(300));
  const HttpResponse ended =
      deployment.Send(deployment.CallTo(*deployment.machines()[0], "DELETE", std::string("/api/lots/") + kJob, kKey),
                      "the end of the job, from another client of the tenant");
  deployment.Wait(kOutage - (deployment.Now() - outage_began_at));
  if (deployment.trouble()) {
    set_store(Store::Mode::kServes);
  }
  const TimePoint steady_since = deployment.Now() + kContact;
  // Since when no item is at any server, in steady state.
  TimePoint idle_since = steady_since;
  TimePoint next_read = deployment.Now();
  while (deployment.Now() - began_at < kDeadline && trainer.results() < static_cast<size_t>(kItems)) {
    const bool any_runs = std::any_of(deployment.servers().begin(), deployment.servers().end(),
                                      [](const auto& server) { return server->running() > 0; });
    idle_since = any_runs ? std::max(deployment.Now(), steady_since) : idle_since;
    if (deployment.Now() >= next_read) {
      trainer.Read();
      next_read = deployment.Now() + kReadPause;
    }
    deployment.Wait(Duration::Milliseconds(20));
  }
  const Duration idle = deployment.Now() - idle_since;
  deployment.record()->Add("the end was answered " + std::to_string(ended.status) + "; " +
                           std::to_string(trainer.results()) + " of " + std::to_string(kItems) +
                           " results are listed; no item was at a server in the last " + std::to_string(idle.ms()) +
                           " ms of steady state");
  if (deployment.store()->HasRow("batch", kJob, "end")) {
    deployment.record()->Add("the store has a row that ends the job");
  }
  if (ended.status != (deployment.trouble() ? 503 : 200)) {
    return 2;
  }
  if (ended.status == 503 && trainer.results() < static_cast<size_t>(kItems) && idle >= kMaxAtNoServer) {
    deployment.record()->Break("LOST: the step runs out of time with " + std::to_string(kItems - trainer.results()) +
                               " items that no server has finished and that were at none for " +
                               std::to_string(idle.ms()) + " ms of steady state; its end was answered 503, which " +
                               "promises that it has not run and never will");
  }
  return deployment.Result();
}

}  // namespace
}  // namespace quetzalridge::review

int main(int argc, char** argv) {
  try {
    return quetzalridge::review::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
