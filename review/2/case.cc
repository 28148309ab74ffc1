// Most machines are lost for good at the same moment. Exits with 1 if a step that was accepted runs out of time while
// one of its items has been at no replica for 5 s of steady state.

#include <unistd.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "review/common/clients.h"
#include "review/common/harness.h"
#include "review/common/step_rule.h"

namespace quetzalridge::review {
namespace {

constexpr int kMachines = 100;
constexpr int kLostMachines = 80;
constexpr int kMemoryMb = 512;
constexpr int kEngines = 12;
constexpr int kEngineSlots = 12;
// Eight trainers with one job in 4 s each, over the time of 6 s for which their jobs are open.
constexpr int kJobs = 12;
constexpr int kGroups = 8;
constexpr int kItemsInGroup = 4;
constexpr Duration kTurn = Duration::Milliseconds(2);
// The traffic begins 14 s after the machines do.
constexpr Duration kStartTime = Duration::Seconds(20);
constexpr Duration kLead = Duration::Milliseconds(400);
constexpr Duration kHeartbeat = Duration::Milliseconds(1200);
// A bound of the sheet.
constexpr Duration kContact = Duration::Seconds(5);

int Run() {
  const CaseOptions options = ReadCaseOptions();
  EventLoop loop;
  Record record(&loop.clock(), options.record_file);
  soak::SoakLog log(&loop.clock());
  soak::UsersPlatform platform(&loop, &log, 1);
  platform.Put("op", "config", OperatorConfig());
  Replicas replicas;
  for (int i = 0; i < kEngines; ++i) {
    replicas.push_back(std::make_unique<Replica>(&loop, &record, &platform, kEngineService, i, kEngineSlots));
  }
  Fleet fleet(&loop, &record, &platform, options.folder, kMachines, options.program, kMemoryMb);
  Trainer trainer(&loop, &record, &fleet, static_cast<uint64_t>(getpid()));
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
  const Repeated advance(&loop, Duration::Milliseconds(400), [&trainer] { trainer.Advance(); });
  for (int i = 0; i < kJobs; ++i) {
    trainer.BeginStep(kGroups, kItemsInGroup);
  }
  run_for(kLead);
  const TimePoint trouble_at = loop.clock().Now();
  record.Add(std::string("trouble ") + (options.trouble ? "begins" : "is off"));
  for (int i = 0; options.trouble && i < kLostMachines; ++i) {
    Machine* machine = fleet.machines()[static_cast<size_t>(i)].get();
    record.Add("lost machine=" + machine->name);
    fleet.Remove(machine);
  }
  run_for(Trainer::kPatience + Duration::Seconds(12));
  const int broken_jobs = CountNeglectedSteps(replicas, trainer, trouble_at + kContact, &record);
  std::cout << trainer.accepted() << " jobs accepted, " << trainer.whole() << " read whole, " << trainer.given_up()
            << " given up, " << broken_jobs << " of them with items at no replica for 5 s" << std::endl;
  record.Add("jobs accepted=" + std::to_string(trainer.accepted()) + " whole=" + std::to_string(trainer.whole()) +
             " given_up=" + std::to_string(trainer.given_up()) + " broken=" + std::to_string(broken_jobs));
  for (const std::unique_ptr<Machine>& machine : fleet.machines()) {
    fleet.Remove(machine.get());
  }
  if (trainer.accepted() == 0) {
    return kCouldNotRun;
  }
  const bool broken = broken_jobs > 0;
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
