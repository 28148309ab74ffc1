// The batch route is split: nine tenths of its items go to one service, a tenth to another one that has one replica.
// That replica is lost.

#include "lab/step_check.h"

namespace review {

constexpr int kMachines = 3;
constexpr int kModelServers = 5;
constexpr int kSlots = 12;
constexpr char kCanaryService[] = "tavo31c";
// Of the users' sheets: a step is given up after 12 s.
constexpr int64_t kStepTimeMs = 12'000;
constexpr int kSteps = 3;
constexpr int kItems = 112;

int Play(Lab* lab, Record* record, bool trouble) {
  // Its threads run until the process ends.
  auto* canary = new Replica(&lab->platform, record, kCanaryService, "i-canary1", true);
  nlohmann::json configuration = Configuration(9);
  nlohmann::json& route = configuration["Routes"][1];
  route.erase("Service");
  route["Split"] = {{{"Service", kModelService}, {"Weight", 90}}, {{"Service", kCanaryService}, {"Weight", 10}}};
  nlohmann::json service = configuration["Services"][0];
  service["Name"] = kCanaryService;
  configuration["Services"].push_back(service);
  lab->platform.Put("op", "config", configuration);
  SleepMs(5000);
  if (trouble) {
    canary->Crash();
  }
  // The entry of the lost replica is gone, and steady state has begun.
  SleepMs(10'000);
  BatchClient trainer(lab->fleet.get(), record, kKeyA);
  int lost = 0;
  int accepted = 0;
  for (int step = 0; step < kSteps; ++step) {
    const Machine& machine = lab->fleet->machines()[static_cast<size_t>(step)];
    const std::string job = "a" + std::to_string(step);
    std::vector<Item> items;
    for (int i = 0; i < kItems; ++i) {
      constexpr int kGroupSize = 8;
      const std::string id = job + "-" + std::to_string(i);
      items.push_back(
          {id, std::string(kBatchPrefix) + id, {}, "prompt of " + id, "group-" + std::to_string(i / kGroupSize)});
    }
    const int64_t submitted_ms = NowMs();
    if (trainer.Submit(machine, std::string(kBatchPrefix) + job, job, BatchBody(items, 14)) != 202) {
      continue;
    }
    ++accepted;
    const size_t results = trainer.Results(machine, job, kItems, kStepTimeMs - (NowMs() - submitted_ms)).size();
    if (results < kItems) {
      lost += IsLost(lab, record, job, kItems, submitted_ms, kModelServers * kSlots) ? 1 : 0;
    }
    trainer.End(machine, job);
  }
  record->Line(std::to_string(lost) + " of " + std::to_string(accepted) + " steps break LOST");
  if (accepted == 0) {
    return kNotRun;
  }
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::kMachines, review::kModelServers, review::Play);
}
