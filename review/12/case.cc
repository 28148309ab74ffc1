// A batch job of many small items whose body is inside the operator's limit. The processes that take it must stay
// within the memory of their machines.

#include <iostream>

#include "review/common-3/stand_ins.h"

namespace quetzalridge::review {
namespace {

using Json = nlohmann::json;

// The operator's limit, `MaxBodyBytes`.
constexpr size_t kMaxBodyBytes = 33'554'432;
constexpr int kItems = 52'000;
constexpr int kOrdinaryItems = 104;
constexpr size_t kItemBytes = 300;
constexpr int kItemsPerGroup = 8;
constexpr int kSteps = 3;
// The rule on faults: so many ends of the processes of a machine, at two machines or more.
constexpr int kEndsPerMachine = 3;
constexpr int kMachinesWithEnds = 2;

std::string MakeStep(int step, int count) {
  Json items = Json::array();
  for (int i = 0; i < count; ++i) {
    items.push_back(MakeItem("e5b2" + std::to_string(step) + std::to_string(10'000'000 + i),
                             std::string(kBatchPrefix) + "3/" + std::to_string(i), std::string(kItemBytes, 'x'),
                             "g" + std::to_string(i / kItemsPerGroup)));
  }
  return MakeJob(items, count / kItemsPerGroup);
}

int Run(int argc, char** argv) {
  CaseOptions options;
  options.memory_mb = 140;
  Deployment deployment(argc, argv, options);
  if (!deployment.WaitUntilReady()) {
    return 2;
  }
  int answered = 0;
  for (int step = 0; step < kSteps; ++step) {
    const std::string body = MakeStep(step, deployment.trouble() ? kItems : kOrdinaryItems);
    if (body.size() > kMaxBodyBytes) {
      return 2;
    }
    // The client sends the job again at another machine after a broken connection.
    for (const std::unique_ptr<Machine>& machine : deployment.machines()) {
      HttpCall call = deployment.CallTo(*machine, "POST", std::string(kBatchPrefix) + "7c41e0", kKey);
      call.headers.push_back({"x-quetzalridge-request-id", "7c41e09b52d6a3f" + std::to_string(step)});
      call.body = body;
      const HttpResponse response = deployment.Send(std::move(call), "step " + std::to_string(step));
      if (response.result.outcome == CallOutcome::kWhole) {
        ++answered;
        break;
      }
    }
    // Until the processes are back.
    deployment.Wait(Duration::Seconds(1));
    if (!deployment.WaitUntilReady()) {
      return 2;
    }
  }
  int machines = 0;
  for (const std::unique_ptr<Machine>& machine : deployment.machines()) {
    machines += machine->ends >= kEndsPerMachine ? 1 : 0;
  }
  if (machines >= kMachinesWithEnds) {
    deployment.record()->Break("Fault: at " + std::to_string(machines) + " machines of " +
                               std::to_string(deployment.machines().size()) + ", processes have ended " +
                               std::to_string(kEndsPerMachine) + " times or more because of their memory");
  }
  if (!deployment.trouble() && answered < kSteps) {
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
