// A replica answers items with bytes that are no answer and have no end. Exits with 1 if the processes of at least two
// machines, and of a tenth of them, end three times or more by themselves; memory over the limit counts.

#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "review/common/clients.h"
#include "review/common/harness.h"

namespace quetzalridge::review {
namespace {

constexpr int kMachines = 5;
// The largest of the machines of the site; others have 330 and 390.
constexpr int kMemoryMb = 520;
constexpr int kEngines = 6;
constexpr int kEngineSlots = 12;
constexpr int kPlainReplicas = 3;
constexpr int kPlainSlots = 6;
constexpr Duration kTurn = Duration::Milliseconds(2);
constexpr Duration kWarmUp = Duration::Seconds(12);
constexpr Duration kTroubleTime = Duration::Seconds(60);
constexpr Duration kHeartbeat = Duration::Milliseconds(1200);
// The sick replica sends at most this much a second over all connections: 160 Mbit/s, where the link of a machine has
// 1,000 to 2,000.
constexpr size_t kBytesPerSecond = 20'000'000;
constexpr Duration kPourInterval = Duration::Milliseconds(10);
constexpr size_t kMaxPending = 1 << 20;
constexpr int kEndsPerMachine = 3;
constexpr int kLeastMachines = 2;

// Sends a line without end to all callers of the sick replica, until they close.
class Pourer {
 public:
  Pourer(EventLoop* loop, Record* record) : m_record(record), m_repeated(loop, kPourInterval, [this] { Pour(); }) {
    const std::string line = "nan\n";
    while (m_text.size() < kBytesPerSecond / 100) {
      m_text += line;
    }
  }

  bool Take(Replica* replica, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    if (!active) {
      return false;
    }
    const std::string id = HeaderOf(request.headers, "x-quetzalridge-request-id");
    responder->Start(200, {{"content-type", "text/event-stream"},
                           {"x-quetzalridge-request-id", id},
                           {"x-quetzalridge-server-stamp", replica->id() + "." + id},
                           {"x-quetzalridge-weight-versions", "1"}});
    m_record->Add("pour request=" + id + " replica=" + replica->id());
    m_open.push_back(responder);
    return true;
  }

  bool active = false;

 private:
  void Pour() {
    m_open.erase(
        std::remove_if(m_open.begin(), m_open.end(), [](const auto& responder) { return responder->closed(); }),
        m_open.end());
    if (m_open.empty()) {
      return;
    }
    const size_t share = m_text.size() / m_open.size() / 4 * 4;
    for (const std::shared_ptr<HttpResponder>& responder : m_open) {
      if (responder->pending_bytes() < kMaxPending) {
        responder->Write(std::string_view(m_text).substr(0, share));
      }
    }
  }

  Record* m_record;
  std::string m_text;
  std::vector<std::shared_ptr<HttpResponder>> m_open;
  Repeated m_repeated;
};

int Run() {
  const CaseOptions options = ReadCaseOptions();
  EventLoop loop;
  Record record(&loop.clock(), options.record_file);
  soak::SoakLog log(&loop.clock());
  soak::UsersPlatform platform(&loop, &log, 1);
  platform.Put("op", "config", OperatorConfig());
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kEngines + kPlainReplicas; ++i) {
    const bool is_engine = i < kEngines;
    replicas.push_back(std::make_unique<Replica>(&loop, &record, &platform, is_engine ? kEngineService : kPlainService,
                                                 i, is_engine ? kEngineSlots : kPlainSlots));
  }
  Pourer pourer(&loop, &record);
  replicas[0]->SetInterceptor(
      [&pourer](Replica* replica, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        return pourer.Take(replica, request, responder);
      });
  Fleet fleet(&loop, &record, &platform, options.folder, kMachines, options.program, kMemoryMb);
  PlainClients clients(&loop, &record, &fleet, 2);
  Trainer trainer(&loop, &record, &fleet, 3);
  const Repeated beats(&loop, kHeartbeat, [&replicas] {
    for (const std::unique_ptr<Replica>& replica : replicas) {
      replica->Renew();
    }
  });
  const Repeated watch(&loop, Duration::Milliseconds(10), [&fleet] { fleet.Watch(); });
  const auto run_for = [&loop](Duration time) {
    const TimePoint end = loop.clock().Now() + time;
    while (loop.clock().Now() < end) {
      loop.RunOnce(kTurn);
    }
  };
  run_for(Duration::Seconds(5));
  const Repeated advance(&loop, Duration::Milliseconds(400), [&trainer] { trainer.Advance(); });
  {
    const Repeated plain(&loop, Duration::Milliseconds(160), [&clients] { clients.SendOne(); });
    // Two trainers with one job in 4 s each.
    const Repeated steps(&loop, Duration::Seconds(2), [&trainer] { trainer.BeginStep(6, 4); });
    run_for(kWarmUp);
    pourer.active = options.trouble;
    record.Add(std::string("trouble ") + (options.trouble ? "begins" : "is off"));
    run_for(kTroubleTime);
    pourer.active = false;
    record.Add("trouble ends");
    run_for(Duration::Seconds(4));
  }
  for (int i = 0; i < 40 && !trainer.AllEnded(); ++i) {
    run_for(Duration::Milliseconds(400));
  }
  int machines = 0;
  for (const std::unique_ptr<Machine>& machine : fleet.machines()) {
    const int ends = machine->memory_ends + machine->own_ends;
    machines += ends >= kEndsPerMachine ? 1 : 0;
    record.Add("machine " + machine->name + " memory_ends=" + std::to_string(machine->memory_ends) +
               " own_ends=" + std::to_string(machine->own_ends) + " peak_mb=" + std::to_string(machine->peak_rss_mb));
    std::cout << machine->name << ": " << machine->memory_ends << " ends with too much memory, " << machine->own_ends
              << " other ends, at most " << machine->peak_rss_mb << " MB" << std::endl;
  }
  std::cout << clients.answered() << " of " << clients.sent() << " requests answered with success, "
            << clients.unanswered() << " without any answer, " << trainer.accepted() << " jobs accepted, "
            << trainer.whole() << " read whole, " << trainer.given_up() << " given up, "
            << clients.wrong() + trainer.wrong() << " wrong" << std::endl;
  record.Add("jobs accepted=" + std::to_string(trainer.accepted()) + " whole=" + std::to_string(trainer.whole()) +
             " given_up=" + std::to_string(trainer.given_up()) + " requests=" + std::to_string(clients.sent()) +
             " answered=" + std::to_string(clients.answered()) + " unanswered=" + std::to_string(clients.unanswered()));
  if (clients.answered() == 0 || trainer.accepted() == 0) {
    return kCouldNotRun;
  }
  const bool broken = machines >= kLeastMachines && machines * 10 >= kMachines;
  // The loop's sockets refer to objects that end here, so the processes are ended first.
  for (const std::unique_ptr<Machine>& machine : fleet.machines()) {
    machine->restart_timer.reset();
    machine->process.reset();
  }
  record.Add(broken ? "broken" : "held");
  std::cout.flush();
  _exit(broken ? kBroken : kHeld);
}

}  // namespace
}  // namespace quetzalridge::review

int main() {
  _exit(quetzalridge::review::Run());
}
