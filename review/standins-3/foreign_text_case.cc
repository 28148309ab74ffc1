// Two tenants number the items of their batch jobs alike and train the same model. The first one ends its job while
// the items run; then the second one submits its own.

#include "fleet.h"

namespace review {

constexpr int kItems = 4;

std::vector<Item> ItemsOf(const std::string& tenant) {
  std::vector<Item> items;
  for (int i = 1; i <= kItems; ++i) {
    const std::string number = std::to_string(i);
    items.push_back({"step-7-item-" + number,
                     kBatchPrefix + tenant + "/" + number,
                     {},
                     "prompt " + number + " of " + tenant,
                     "group-1"});
  }
  return items;
}

int Play(Lab* lab, Record* record, bool trouble) {
  for (const auto& replica : lab->replicas) {
    replica->gap_ms = 80;
  }
  const int events = lab->replicas.front()->events;
  const std::vector<Machine>& machines = lab->fleet->machines();
  BatchClient first(lab->fleet.get(), record, kKeyA);
  BatchClient second(lab->fleet.get(), record, kKeyB);
  if (first.Submit(machines[0], std::string(kBatchPrefix) + "a1", "7c41e09b52d6a3f8",
                   BatchBody(ItemsOf(kTenantA), 1)) != 202) {
    return kNotRun;
  }
  if (trouble) {
    // Half of the time that the items take.
    SleepMs(1000);
    if (first.End(machines[0], "7c41e09b52d6a3f8") != 200) {
      return kNotRun;
    }
    SleepMs(500);
  } else if (first.Results(machines[0], "7c41e09b52d6a3f8", kItems, 20'000).size() != kItems) {
    return kNotRun;
  }
  if (second.Submit(machines[1], std::string(kBatchPrefix) + "b1", "1d05f2a86be94c73",
                    BatchBody(ItemsOf(kTenantB), 1)) != 202) {
    return kNotRun;
  }
  const std::vector<nlohmann::json> results = second.Results(machines[1], "1d05f2a86be94c73", kItems, 20'000);
  if (results.size() != kItems) {
    return kNotRun;
  }
  bool broken = false;
  for (const nlohmann::json& result : results) {
    const std::string id = result.at("Id").get<std::string>();
    const std::string output = result.at("Output").get<std::string>();
    const std::string prompt = "prompt " + id.substr(id.rfind('-') + 1) + " of " + kTenantB;
    const bool whole = output == Replica::WholeOutput(prompt, events);
    record->Line("result " + id + " " + result.at("State").get<std::string>() +
                 (whole ? ": its own whole output" : ": NOT its own output, it begins with: " + output.substr(0, 120)));
    broken = broken || (result.at("State") == "completed" && !whole);
  }
  record->Line(broken ? "MIXED is broken" : "the rule held");
  return broken ? kBroken : kHeld;
}

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, 3, 2, review::Play);
}
