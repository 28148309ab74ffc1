// A request crashes each replica that begins to run it, and its client sends it again. Exits with 1 if it reaches
// replicas in more than three of the tries that the client sent later than ContactMs after the third crash.

#include <unistd.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "review/common/clients.h"
#include "review/common/harness.h"

namespace quetzalridge::review {
namespace {

constexpr int kMachines = 5;
constexpr int kMemoryMb = 390;
constexpr int kPlainReplicas = 3;
constexpr int kPlainSlots = 6;
constexpr Duration kTurn = Duration::Milliseconds(2);
constexpr Duration kStartTime = Duration::Seconds(8);
constexpr Duration kTraffic = Duration::Seconds(60);
constexpr Duration kHeartbeat = Duration::Milliseconds(1200);
// A crashed replica is back after some seconds.
constexpr Duration kDown = Duration::Seconds(4);
// The client of the request sends it again at this interval, to any machine.
constexpr Duration kSendInterval = Duration::Seconds(5);
constexpr Duration kContact = Duration::Seconds(3);
constexpr size_t kCrashesUntilKnown = 3;
constexpr size_t kMostTries = 3;

struct Crash {
  TimePoint at;
  std::string request;
};

int Run() {
  const CaseOptions options = ReadCaseOptions();
  EventLoop loop;
  Record record(&loop.clock(), options.record_file);
  soak::SoakLog log(&loop.clock());
  soak::UsersPlatform platform(&loop, &log, 1);
  platform.Put("op", "config", OperatorConfig());
  std::vector<Crash> crashes;
  std::vector<std::unique_ptr<Replica>> replicas;
  const std::string path = std::string(kPlainPrefix) + "hide-4711";
  for (int i = 0; i < kPlainReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(&loop, &record, &platform, kPlainService, i, kPlainSlots));
    replicas.back()->SetInterceptor(
        [&](Replica* replica, const HttpRequest& request, const std::shared_ptr<HttpResponder>&) {
          if (!options.trouble || request.path != path) {
            return false;
          }
          crashes.push_back({loop.clock().Now(), HeaderOf(request.headers, "x-quetzalridge-request-id")});
          replica->Crash(kDown);
          return true;
        });
  }
  Fleet fleet(&loop, &record, &platform, options.folder, kMachines, options.program, kMemoryMb);
  PlainClients clients(&loop, &record, &fleet, 2);
  Random random(4);
  HttpClient client(&loop);
  // When each try of the request was sent.
  std::map<std::string, TimePoint> tries;
  const auto send_again = [&] {
    const std::string id = UniqueId();
    const Machine* machine = AnyRunning(&fleet, &random);
    HttpCall call = ClientCall(fleet.FrontAddress(*machine), id);
    call.method = "POST";
    call.target = path;
    call.headers.push_back({"x-quetzalridge-deadline-ms", "2000"});
    call.body = "hide 4711";
    tries[id] = loop.clock().Now();
    record.Add("sent again request=" + id + " machine=" + machine->name);
    client.Fetch(std::move(call), [&record, id](const HttpResponse& response) {
      record.Add("answered again request=" + id + " status=" + std::to_string(response.status));
    });
  };
  const Repeated beats(&loop, kHeartbeat, [&replicas] {
    for (const std::unique_ptr<Replica>& replica : replicas) {
      replica->Renew();
    }
  });
  const Repeated watch(&loop, Duration::Milliseconds(50), [&fleet] { fleet.Watch(); });
  const auto run_for = [&loop](Duration time) {
    const TimePoint end = loop.clock().Now() + time;
    while (loop.clock().Now() < end) {
      loop.RunOnce(kTurn);
    }
  };
  run_for(kStartTime);
  {
    const Repeated plain(&loop, Duration::Milliseconds(160), [&clients] { clients.SendOne(); });
    const Repeated again(&loop, kSendInterval, send_again);
    run_for(kTraffic);
  }
  run_for(Duration::Seconds(3));
  std::set<std::string> late_tries;
  if (crashes.size() >= kCrashesUntilKnown) {
    const TimePoint known_at = crashes[kCrashesUntilKnown - 1].at + kContact;
    for (const Crash& crash : crashes) {
      if (tries.at(crash.request) > known_at) {
        late_tries.insert(crash.request);
      }
    }
  }
  std::cout << tries.size() << " tries of the request, " << crashes.size() << " crashes of replicas, "
            << late_tries.size() << " late tries reached a replica; of " << clients.sent() << " other requests "
            << clients.answered() << " were answered with success and " << clients.unanswered() << " not at all"
            << std::endl;
  record.Add("tries=" + std::to_string(tries.size()) + " crashes=" + std::to_string(crashes.size()) +
             " late_tries=" + std::to_string(late_tries.size()) + " other_requests=" + std::to_string(clients.sent()) +
             " answered=" + std::to_string(clients.answered()));
  for (const std::unique_ptr<Machine>& machine : fleet.machines()) {
    fleet.Remove(machine.get());
  }
  if (clients.answered() == 0 || tries.empty()) {
    return kCouldNotRun;
  }
  const bool broken = late_tries.size() > kMostTries;
  record.Add(broken ? "broken" : "held");
  std::cout.flush();
  // The loop's sockets refer to objects that would end here.
  _exit(broken ? kBroken : kHeld);
}

}  // namespace
}  // namespace quetzalridge::review

int main() {
  _exit(quetzalridge::review::Run());
}
