// The operator adds a public route with the prefix "/" on the host of the batch jobs. A batch job that was accepted,
// and of which results were read, is then read again, with the key of its tenant.

#include "fleet.h"

namespace review {

constexpr int kMachines = 3;
constexpr size_t kItems = 4;
// Of the settings.
constexpr int64_t kConfigApplyMs = 2000;

int Play(Lab* lab, Record* record, bool trouble) {
  BatchClient client(lab->fleet.get(), record, kKeyA);
  const std::vector<Machine>& machines = lab->fleet->machines();
  const std::string job = "7c41e09b52d6a3f8";
  std::vector<Item> items;
  for (size_t i = 1; i <= kItems; ++i) {
    const std::string id = "e5b2907c14da6f3" + std::to_string(i);
    items.push_back({id, std::string(kBatchPrefix) + "3/" + std::to_string(i), {}, "prompt " + id, "group-1"});
  }
  if (client.Submit(machines[0], std::string(kBatchPrefix) + "a1", job, BatchBody(items, 1)) != 202 ||
      client.Results(machines[1], job, kItems, 15'000).size() != kItems) {
    return kNotRun;
  }
  if (trouble) {
    nlohmann::json configuration = Configuration(9);
    configuration["Routes"].push_back({{"Name", "r-home"},
                                       {"Host", kHost},
                                       {"Prefix", "/"},
                                       {"Kind", "idempotent"},
                                       {"TimeoutMs", 1500},
                                       {"TargetLatencyMs", 150},
                                       {"Priority", 2},
                                       {"Service", kPlainService},
                                       {"MaxAttempts", 2},
                                       {"Public", true}});
    record->Line("configuration 9 adds a public route with the prefix /");
    lab->platform.Put("op", "config", configuration);
  }
  SleepMs(2 * kConfigApplyMs);
  int refused = 0;
  for (const Machine& machine : machines) {
    const Response page = client.Send(machine, "GET", "/api/lots/" + job + "?After=0", {}, "");
    record->Line("read " + job + " at " + machine.name + ": " + std::to_string(page.status) + " " + page.body);
    const Response again = client.Send(machine, "GET", "/api/lots/" + job + "?After=2", {}, "");
    record->Line("read " + job + " from position 2 at " + machine.name + ": " + std::to_string(again.status));
    refused += page.status == 404 || page.status == 410 ? 1 : 0;
    refused += again.status == 404 || again.status == 410 ? 1 : 0;
  }
  client.End(machines[0], job);
  record->Line(std::to_string(refused) + " reads of an accepted job were answered 404 or 410");
  return refused > 0 ? kBroken : kHeld;
}

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::kMachines, 2, review::Play);
}
