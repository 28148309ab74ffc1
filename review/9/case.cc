// A batch route is split: nine tenths of its items go to one service, a tenth to another one that has one server. That
// server is lost.

#include "case_kit.h"

namespace quetzalridge::review {
namespace {

constexpr int kMachines = 3;
constexpr int kStartTimeoutMs = 15'000;
constexpr int kClientTimeoutMs = 4000;
constexpr int kServers = 5;
constexpr char kSmallService[] = "rollout-canary";
constexpr int kBeforeLossMs = 5000;
// The entry of the lost server has lapsed, and the steady state has begun.
constexpr int kAfterLossMs = 10'000;
constexpr int kSteps = 3;
constexpr int kItems = 112;
constexpr int kGroupSize = 8;
// A trainer gives a step up after this time.
constexpr int kStepTimeMs = 12'000;
constexpr int kReadPauseMs = 300;
// Of the rule.
constexpr int kAtNoServerMs = 5000;

// Whether the step, which runs out of time now, breaks the rule: an item has been at no server for 5 s, others had
// begun, and the servers are under half full.
bool IsLost(const std::vector<ServerRun>& runs, const std::string& job, int64_t submitted_at, Record* record) {
  const int64_t now = record->Now();
  std::multimap<std::string, ServerRun> runs_by_item;
  int running = 0;
  for (const ServerRun& run : runs) {
    runs_by_item.emplace(run.id, run);
    running += run.ended_at < 0 ? 1 : 0;
  }
  int begun = 0;
  int finished = 0;
  int lost = 0;
  for (int i = 0; i < kItems; ++i) {
    const auto [first, last] = runs_by_item.equal_range(job + "-" + std::to_string(i));
    bool is_finished = false;
    int64_t last_at_server = submitted_at;
    for (auto run = first; run != last; ++run) {
      is_finished = is_finished || run->second.finished;
      last_at_server = std::max(last_at_server, run->second.ended_at < 0 ? now : run->second.ended_at);
    }
    begun += first == last ? 0 : 1;
    finished += is_finished ? 1 : 0;
    lost += !is_finished && now - last_at_server >= kAtNoServerMs ? 1 : 0;
  }
  record->Add("step " + job + " runs out of time: " + std::to_string(begun) + " of " + std::to_string(kItems) +
              " items begun, " + std::to_string(finished) + " finished, " + std::to_string(lost) +
              " at no server for " + std::to_string(kAtNoServerMs) + " ms; " + std::to_string(running) +
              " runs at all servers");
  const bool under_half_full = 2 * running < kServers * ServerOptions().slots;
  return lost > 0 && begun > 0 && under_half_full;
}

int Run(Record* record) {
  ServerOptions engine{kEngineService};
  engine.events = 25;
  std::vector<ServerOptions> servers(kServers, engine);
  engine.service = kSmallService;
  servers.push_back(engine);
  StandIns stand_ins(record, servers);
  Json config = SmallConfig();
  Json& route = config["Routes"][1];
  route.erase("Service");
  route["Split"] = {{{"Service", kEngineService}, {"Weight", 90}}, {{"Service", kSmallService}, {"Weight", 10}}};
  Json service = config["Services"][1];
  service["Name"] = kSmallService;
  config["Services"].push_back(service);
  stand_ins.WriteConfig(config);
  Machines machines(record, stand_ins.platform_address(), kMachines, {});
  if (!machines.WaitReady(kStartTimeoutMs)) {
    record->Add("the machines did not become ready");
    return kNotRun;
  }
  SleepMs(kBeforeLossMs);
  if (WithTrouble()) {
    stand_ins.LoseServer(std::string("i-") + kSmallService + "-1");
  }
  SleepMs(kAfterLossMs);
  int broken = 0;
  for (int step = 0; step < kSteps; ++step) {
    const std::string job = "a" + std::to_string(step);
    Json items = Json::array();
    for (int i = 0; i < kItems; ++i) {
      const std::string id = job + "-" + std::to_string(i);
      items.push_back(BatchItem(id, "prompt of " + id, "group-" + std::to_string(i / kGroupSize)));
    }
    const auto send = [&](const ClientRequest& request) {
      return Exchange(machines.ip(step), machines.front_port(), ToBytes(request), kClientTimeoutMs);
    };
    const int64_t submitted_at = record->Now();
    const Answer accepted = send(Submission(job, items, kItems / kGroupSize));
    record->Add("client: batch job " + job + " answered " + std::to_string(accepted.status));
    if (accepted.status != 202) {
      return kNotRun;
    }
    size_t listed = 0;
    while (listed < kItems && record->Now() - submitted_at < kStepTimeMs) {
      ClientRequest read;
      read.target = "/api/lots/" + job + "?After=" + std::to_string(listed);
      read.key = "key-of-school";
      const Answer page = send(read);
      listed += page.status == 200 ? Json::parse(page.body).at("Results").size() : 0;
      SleepMs(kReadPauseMs);
    }
    record->Add("client has read " + std::to_string(listed) + " results of " + job);
    broken += listed < kItems && IsLost(stand_ins.Runs(), job, submitted_at, record) ? 1 : 0;
    ClientRequest end;
    end.method = "DELETE";
    end.target = "/api/lots/" + job;
    end.key = "key-of-school";
    record->Add("client ends " + job + ": " + std::to_string(send(end).status));
  }
  record->Add("LOST: " + std::to_string(broken) + " of " + std::to_string(kSteps) + " steps");
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace quetzalridge::review

int main(int argc, char** argv) {
  return quetzalridge::review::RunCase(argc, argv, quetzalridge::review::Run);
}
