// Trainers of two tenants number their items alike. One of them ends a batch job while its items run, as trainers do;
// then the other submits its own.

#include "base/base64.h"
#include "case_kit.h"

namespace quetzalridge::review {
namespace {

constexpr int kMachines = 3;
constexpr int kStartTimeoutMs = 15'000;
// Machines are in touch from this time after their start.
constexpr int kContactMs = 3000;
constexpr int kClientTimeoutMs = 4000;
constexpr int kItems = 8;
constexpr int kEvents = 60;
constexpr int kTimeBeforeEndMs = 700;
constexpr int kTimeBetweenJobsMs = 1500;
constexpr int kReadTimeMs = 15'000;

std::string ItemId(const std::string& prefix, int item) {
  return prefix + "step-7-group-1-item-" + std::to_string(item);
}

std::string Prompt(const std::string& tenant, int item) {
  return "prompt " + std::to_string(item) + " of tenant " + tenant;
}

Answer Submit(Record* record, Machines* machines, int machine, const std::string& tenant, const std::string& job,
              const std::string& prefix) {
  Json requests = Json::array();
  for (int i = 0; i < kItems; ++i) {
    const std::string item = ItemId(prefix, i);
    requests.push_back({{"Id", item},
                        {"Path", "/finish/" + tenant + "/" + std::to_string(i)},
                        {"Headers", {{"X-Quetzalridge-Model", kModel}, {"X-Quetzalridge-Token-Count", "16,60"}}},
                        {"Body", EncodeBase64(Prompt(tenant, i))},
                        {"Tokens", 76},
                        {"Group", prefix + "step-7-group-1"}});
  }
  ClientRequest submission;
  submission.method = "POST";
  submission.target = "/finish/" + job;
  submission.key = "key-of-" + tenant;
  submission.id = job;
  submission.body =
      Json{{"Step", 7}, {"Model", kModel}, {"MinVersion", 1}, {"Desired", 1}, {"Requests", requests}}.dump();
  const Answer answer = Exchange(machines->ip(machine), machines->front_port(), ToBytes(submission), kClientTimeoutMs);
  record->Add("trainer of tenant " + tenant + " submits batch job " + job + " at machine " +
              std::to_string(machine + 1) + ", items " + ItemId(prefix, 0) +
              " and on: " + std::to_string(answer.status));
  return answer;
}

int Run(Record* record) {
  ServerOptions engine{kEngineService};
  engine.events = kEvents;
  StandIns stand_ins(record, {engine, engine, {kPlainService}});
  stand_ins.WriteConfig(SmallConfig());
  Machines machines(record, stand_ins.platform_address(), kMachines, {});
  if (!machines.WaitReady(kStartTimeoutMs)) {
    record->Add("the machines did not become ready");
    return kNotRun;
  }
  SleepMs(kContactMs);
  const std::string first_job = "7c41e09b52d6a301";
  const std::string second_job = "7c41e09b52d6a302";
  if (Submit(record, &machines, 0, "school", first_job, "").status != 202) {
    return kNotRun;
  }
  SleepMs(kTimeBeforeEndMs);
  ClientRequest end;
  end.method = "DELETE";
  end.target = "/api/lots/" + first_job;
  end.key = "key-of-school";
  const Answer ended = Exchange(machines.ip(0), machines.front_port(), ToBytes(end), kClientTimeoutMs);
  record->Add("trainer of tenant school ends its batch job: " + std::to_string(ended.status));
  SleepMs(kTimeBetweenJobsMs);
  if (Submit(record, &machines, 1, "museum", second_job, WithTrouble() ? "" : "m-").status != 202) {
    return kNotRun;
  }
  Json results = Json::array();
  const int64_t deadline = record->Now() + kReadTimeMs;
  while (results.size() < kItems && record->Now() < deadline) {
    SleepMs(500);
    ClientRequest read;
    read.target = "/api/lots/" + second_job + "?After=0";
    read.key = "key-of-museum";
    const Answer page = Exchange(machines.ip(2), machines.front_port(), ToBytes(read), kClientTimeoutMs);
    if (page.status == 200) {
      results = Json::parse(page.body).at("Results");
    }
    record->Add("trainer of tenant museum reads its batch job: " + std::to_string(page.status) + ", " +
                std::to_string(results.size()) + " results");
  }
  int mixed = 0;
  for (const Json& result : results) {
    const std::string id = result.at("Id").get<std::string>();
    const int number = std::atoi(id.c_str() + id.rfind('-') + 1);
    const std::string output = result.at("Output").get<std::string>();
    const bool completed = result.at("State").get<std::string>() == "completed";
    if (completed && output != WholeOutput(Prompt("museum", number), kEvents)) {
      ++mixed;
      record->Add("MIXED: result " + id + " of tenant museum is completed with this text: " + output);
    }
  }
  if (mixed > 0) {
    return kBroken;
  }
  return results.size() == kItems ? kHeld : kNotRun;
}

}  // namespace
}  // namespace quetzalridge::review

int main(int argc, char** argv) {
  return quetzalridge::review::RunCase(argc, argv, quetzalridge::review::Run);
}
