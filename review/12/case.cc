// Batch jobs of more than half a megabyte whose path has a byte that is no UTF-8. The processes that take them must not
// end, and what other clients have sent must be answered.

#include <iostream>
#include <set>

#include "review/common-3/stand_ins.h"

namespace quetzalridge::review {
namespace {

using Json = nlohmann::json;

constexpr int kItems = 240;
constexpr size_t kItemBytes = 3000;
constexpr int kItemsPerGroup = 8;
constexpr int kSteps = 3;
// Other clients keep so many connections to each machine.
constexpr int kConnections = 8;
constexpr Duration kWork = Duration::Milliseconds(60);
// A machine counts as in touch some time after its process has started, `ContactMs`.
constexpr Duration kContact = Duration::Milliseconds(3500);
// The rules: closed connections of a machine beyond this number, and so many ends of the processes of a machine at so
// many machines.
constexpr int kMaxClosed = 3;
constexpr int kEndsPerMachine = 3;
constexpr int kMachinesWithEnds = 2;

// A client that sends one request after the other over a kept connection.
class OtherClient {
 public:
  OtherClient(Deployment* deployment, const Machine* machine, std::string name)
      : m_deployment(deployment), m_machine(machine), m_name(std::move(name)) {
    SendNext();
  }
  void Stop() { m_stopped = true; }
  const Machine* machine() const { return m_machine; }
  int answered() const { return m_answered; }
  // Requests on a kept connection that was closed without an answer.
  const std::vector<std::string>& unanswered() const { return m_unanswered; }

 private:
  void SendNext() {
    const std::string id = m_name + "-" + std::to_string(++m_sent);
    HttpCall call = m_deployment->CallTo(*m_machine, "POST", std::string(kPlainPrefix) + "2f", kOtherKey);
    call.headers.push_back({"x-quetzalridge-request-id", id});
    call.headers.push_back({"x-quetzalridge-deadline-ms", "1500"});
    call.body = "a request";
    call.fresh_connection = false;
    m_deployment->SendLater(std::move(call), [this, id](const HttpResponse& response) { OnAnswer(id, response); });
  }
  void OnAnswer(const std::string& id, const HttpResponse& response) {
    if (m_stopped) {
      return;
    }
    const bool whole = response.result.outcome == CallOutcome::kWhole;
    m_answered += whole && response.status == 200 ? 1 : 0;
    if (response.result.outcome == CallOutcome::kNoAnswer && !response.result.timed_out && m_kept) {
      m_unanswered.push_back(id);
    }
    m_kept = whole;
    m_timer = m_deployment->loop()->After(whole ? Duration() : kPause, [this] { SendNext(); });
  }

  static constexpr Duration kPause = Duration::Milliseconds(50);

  Deployment* m_deployment;
  const Machine* m_machine;
  std::string m_name;
  int m_sent = 0;
  int m_answered = 0;
  // The connection of the next request has served one before.
  bool m_kept = false;
  bool m_stopped = false;
  std::vector<std::string> m_unanswered;
  std::unique_ptr<Timer> m_timer;
};

std::string MakeStep(int step) {
  Json items = Json::array();
  for (int i = 0; i < kItems; ++i) {
    items.push_back(MakeItem("e5b2907c14da" + std::to_string(1000 * (step + 1) + i),
                             std::string(kBatchPrefix) + "3/" + std::to_string(i), std::string(kItemBytes, 'x'),
                             "g" + std::to_string(i / kItemsPerGroup)));
  }
  return MakeJob(items, kItems / kItemsPerGroup);
}

void Check(Deployment* deployment, const std::vector<std::unique_ptr<OtherClient>>& clients) {
  std::set<std::string> passed_on;
  for (const std::unique_ptr<Server>& server : deployment->servers()) {
    for (const ServerRun& run : server->runs()) {
      passed_on.insert(run.id);
    }
  }
  int machines = 0;
  for (const std::unique_ptr<Machine>& machine : deployment->machines()) {
    int closed = 0;
    int answered = 0;
    for (const std::unique_ptr<OtherClient>& client : clients) {
      answered += client->machine() == machine.get() ? client->answered() : 0;
      for (const std::string& id : client->unanswered()) {
        closed += client->machine() == machine.get() && passed_on.count(id) > 0 ? 1 : 0;
      }
    }
    deployment->record()->Add(machine->name + " has answered " + std::to_string(answered) + " requests and closed " +
                              std::to_string(closed) + " kept connections with a request that it had passed on");
    if (closed > kMaxClosed) {
      deployment->record()->Break("LOST: " + machine->name + " has closed " + std::to_string(closed) +
                                  " kept connections without an answer to a request that it had passed on");
    }
    machines += machine->ends >= kEndsPerMachine ? 1 : 0;
  }
  if (machines >= kMachinesWithEnds) {
    deployment->record()->Break("Fault: at " + std::to_string(machines) + " of " +
                                std::to_string(deployment->machines().size()) + " machines, processes have ended by " +
                                "themselves " + std::to_string(kEndsPerMachine) + " times or more");
  }
}

int Run(int argc, char** argv) {
  Deployment deployment(argc, argv, CaseOptions());
  for (const std::unique_ptr<Server>& server : deployment.servers()) {
    server->SetWork(kWork);
  }
  if (!deployment.WaitUntilReady()) {
    return 2;
  }
  std::vector<std::unique_ptr<OtherClient>> clients;
  for (const std::unique_ptr<Machine>& machine : deployment.machines()) {
    for (int i = 0; i < kConnections; ++i) {
      clients.push_back(
          std::make_unique<OtherClient>(&deployment, machine.get(), machine->name + "-" + std::to_string(i)));
    }
  }
  // The letter c with caron in Latin-2, or percent-encoded.
  const std::string letter = deployment.trouble() ? "\xe8" : "%C4%8D";
  int accepted = 0;
  for (int step = 0; step < kSteps; ++step) {
    deployment.Wait(kContact);
    const std::string body = MakeStep(step);
    // The client sends the job again at another machine after a broken connection.
    for (const std::unique_ptr<Machine>& machine : deployment.machines()) {
      HttpCall call = deployment.CallTo(*machine, "POST", std::string(kBatchPrefix) + letter, kKey);
      call.headers.push_back({"x-quetzalridge-request-id", "7c41e09b52d6a3f" + std::to_string(step)});
      call.body = body;
      const HttpResponse response = deployment.Send(std::move(call), "step " + std::to_string(step));
      accepted += response.status == 202 ? 1 : 0;
      if (response.result.outcome == CallOutcome::kWhole) {
        break;
      }
    }
    deployment.Wait(Duration::Seconds(1));
    if (!deployment.WaitUntilReady()) {
      return 2;
    }
  }
  for (const std::unique_ptr<OtherClient>& client : clients) {
    client->Stop();
  }
  Check(&deployment, clients);
  if (!deployment.trouble() && accepted < kSteps) {
    return 2;
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
