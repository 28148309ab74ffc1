// A machine freezes while it waits for the store's answer to a batch job that it takes. Another machine takes the job
// over. Once the first one is back, a position of the job must hold one result, whichever machine is asked. What
// happens depends on the order of two answers of the store, so there are several rounds.

#include <csignal>
#include <iostream>
#include <map>
#include <set>

#include "base/hash.h"
#include "review/common-3/stand_ins.h"

namespace quetzalridge::review {
namespace {

using Json = nlohmann::json;
using Results = std::map<size_t, std::string>;

constexpr int kRounds = 9;
// No round begins later than this, since the whole case has 120 s.
constexpr Duration kLatestRound = Duration::Seconds(80);
constexpr int kItems = 120;
// A read gives many results from its position on, so clients begin at one position of three, at others in each pass.
// These are 40 reads at once at most, fewer than a machine answers.
constexpr size_t kPositionStep = 3;
constexpr int kItemsPerGroup = 4;
constexpr int kLeastEvents = 15;
constexpr int kMoreEvents = 45;
// An event repeats the body of its item, and takes about as many bytes as the site file says.
constexpr size_t kBodyBytes = 300;
// Servers of one service differ in speed.
constexpr int64_t kEventGapsMs[] = {20, 30, 45, 25, 35, 50};
// A freeze goes on for this time after another machine has taken the job over.
constexpr Duration kAfterTakeover = Duration::Milliseconds(30);
// A client waits so long for the answer to its submission before it tries another machine.
constexpr Duration kSubmitTimeout = Duration::Seconds(2);
// The longest freeze of the site file.
constexpr Duration kFreeze = Duration::Seconds(4);
// The results are read for this time, then the trainer has enough of them and ends the job.
constexpr Duration kReadTime = Duration::Seconds(6);

// Reads the results from some positions on at one machine, and compares them with those that were read before.
void ReadAt(Deployment* deployment, const std::string& job, const Machine& machine,
            const std::vector<size_t>& positions, Results* known, std::set<std::string>* reported) {
  auto waiting = std::make_shared<size_t>(positions.size());
  for (const size_t after : positions) {
    HttpCall call =
        deployment->CallTo(machine, "GET", std::string("/api/lots/") + job + "?After=" + std::to_string(after), kKey);
    call.connect_timeout = Duration::Milliseconds(500);
    call.head_timeout = Duration::Seconds(2);
    call.total_timeout = Duration::Seconds(2);
    deployment->SendLater(std::move(call), [deployment, waiting, after, known, reported,
                                            name = machine.name](const HttpResponse& response) {
      --*waiting;
      if (response.status != 200 || response.result.outcome != CallOutcome::kWhole) {
        return;
      }
      size_t position = after;
      const Json page = Json::parse(response.body);
      for (const Json& result : page.at("Results")) {
        const std::string text = result.at("Id").get<std::string>() + " " + result.at("State").get<std::string>() +
                                 " versions " + result.at("Versions").dump() + " output " +
                                 result.at("Output").get<std::string>();
        const auto [entry, is_new] = known->emplace(position, text);
        const std::string shown = text.substr(0, text.find(" output "));
        if (is_new) {
          deployment->record()->Add("position " + std::to_string(position) + " at " + name + ": " + shown);
        } else if (entry->second != text && reported->insert(name + " " + std::to_string(position)).second) {
          deployment->record()->Break("TWICE: position " + std::to_string(position) + " holds " +
                                      entry->second.substr(0, entry->second.find(" output ")) + ", and at " + name +
                                      " " + shown);
        }
        ++position;
      }
    });
  }
  deployment->WaitFor([&waiting] { return *waiting == 0; }, Duration::Seconds(4));
}

// Reads all results, as one client does from the start and others do from any position.
void ReadEverywhere(Deployment* deployment, const std::string& job, size_t first_position, Results* known,
                    std::set<std::string>* reported) {
  for (const std::unique_ptr<Machine>& machine : deployment->machines()) {
    if (machine->process == nullptr) {
      continue;
    }
    ReadAt(deployment, job, *machine, {0}, known, reported);
    std::vector<size_t> positions;
    for (size_t position = first_position; position < known->size(); position += kPositionStep) {
      positions.push_back(position);
    }
    ReadAt(deployment, job, *machine, positions, known, reported);
  }
}

Json MakeItems(int first_id) {
  Json items = Json::array();
  for (int i = 0; i < kItems; ++i) {
    items.push_back(MakeItem("e5b2907c14da6" + std::to_string(first_id + i),
                             std::string(kBatchPrefix) + "3/" + std::to_string(i), std::string(kBodyBytes, 'x'),
                             "g" + std::to_string(i / kItemsPerGroup)));
  }
  return items;
}

// A job of which the trainer needs no more than some groups. Its unfinished texts stay in the store for later jobs.
bool RunEarlierJob(Deployment* deployment) {
  const std::string job = "0a1b2c3d4e5f6071";
  const Machine& machine = *deployment->machines()[0];
  HttpCall call = deployment->CallTo(machine, "POST", std::string(kBatchPrefix) + "7c41e0", kKey);
  call.headers.push_back({"x-quetzalridge-request-id", job});
  call.body = MakeJob(MakeItems(100), kItems / kItemsPerGroup);
  const bool accepted = deployment->Send(std::move(call), "an earlier batch job").status == 202;
  deployment->Wait(Duration::Milliseconds(1200));
  return accepted &&
         deployment->Send(deployment->CallTo(machine, "DELETE", "/api/lots/" + job, kKey), "its end").status == 200;
}

// Sends a job to `first`, which freezes then, and reads the results everywhere. Returns false if the case could not
// run.
bool RunRound(Deployment* deployment, int round, Machine* first, const Machine& second) {
  const std::string job = "7c41e09b52d6a3f" + std::to_string(round);
  const Json items = MakeItems(1000 * (round + 1));
  const std::string body = MakeJob(items, kItems / kItemsPerGroup);
  const auto submission = [&](const Machine& machine) {
    HttpCall call = deployment->CallTo(machine, "POST", std::string(kBatchPrefix) + "7c41e0", kKey);
    call.headers.push_back({"x-quetzalridge-request-id", job});
    call.head_timeout = kSubmitTimeout;
    call.total_timeout = kSubmitTimeout;
    call.body = body;
    return call;
  };
  bool frozen = false;
  bool stored = false;
  bool taken_over = false;
  deployment->store()->SetObserver([&](size_t number, const HttpRequest& request) {
    Machine* machine = deployment->machines()[number].get();
    if (request.path != "/api/rows-tx" || request.body.find(job) == std::string::npos) {
      return;
    }
    if (machine == first && !stored && request.body.find("\"head\"") != std::string::npos) {
      stored = true;
      if (deployment->trouble()) {
        deployment->Signal(first, SIGSTOP, "SIGSTOP");
        frozen = true;
      }
    } else if (machine != first && !taken_over && request.body.find("\"owner\"") != std::string::npos) {
      taken_over = true;
      deployment->record()->Add(machine->name + " takes the job over");
    }
  });
  const TimePoint began_at = deployment->Now();
  bool accepted = deployment->Send(submission(*first), "batch job " + job).status == 202;
  if (!accepted) {
    accepted = deployment->Send(submission(second), "batch job " + job + " again").status == 202;
  }
  if (!accepted || !stored) {
    return false;
  }
  if (frozen) {
    deployment->WaitFor([&taken_over] { return taken_over; },
                        kFreeze - kAfterTakeover - (deployment->Now() - began_at));
    deployment->Wait(kAfterTakeover);
    deployment->Signal(first, SIGCONT, "SIGCONT");
  }
  // The trainer of another step names the next version.
  deployment->store()->Put("op", std::string("version/") + kModel, {{"Model", kModel}, {"Version", round + 2}});
  deployment->record()->Add("version " + std::to_string(round + 2) + " is named");
  Results known;
  std::set<std::string> reported;
  const TimePoint until = deployment->Now() + kReadTime;
  for (size_t pass = 0; deployment->Now() < until; ++pass) {
    ReadEverywhere(deployment, job, pass % kPositionStep, &known, &reported);
    deployment->Wait(Duration::Milliseconds(50));
  }
  deployment->store()->SetObserver(nullptr);
  deployment->Send(deployment->CallTo(second, "DELETE", "/api/lots/" + job, kKey), "the end of batch job " + job);
  deployment->record()->Add(std::to_string(known.size()) + " of " + std::to_string(kItems) + " positions were read");
  return true;
}

int Run(int argc, char** argv) {
  CaseOptions options;
  options.engines = 6;
  Deployment deployment(argc, argv, options);
  for (int i = 0; i < options.engines; ++i) {
    deployment.servers()[i]->SetEvents(
        [](const std::string& path) { return kLeastEvents + static_cast<int>(Hash64(path) % kMoreEvents); },
        Duration::Milliseconds(kEventGapsMs[i]));
  }
  if (!deployment.WaitUntilReady()) {
    return 2;
  }
  // Until all machines know of each other.
  deployment.Wait(Duration::Seconds(4));
  if (!RunEarlierJob(&deployment)) {
    return 2;
  }
  const TimePoint began_at = deployment.Now();
  for (int round = 0; round < kRounds && !deployment.record()->broken(); ++round) {
    if (deployment.Now() - began_at > kLatestRound) {
      break;
    }
    deployment.Wait(Duration::Seconds(1));
    const size_t count = deployment.machines().size();
    if (!RunRound(&deployment, round, deployment.machines()[round % count].get(),
                  *deployment.machines()[(round + 1) % count])) {
      return 2;
    }
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
