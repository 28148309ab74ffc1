// The operator adds a public route with the prefix "/" to the host of a batch route while a batch job is open.

#include "base/base64.h"
#include "case_kit.h"

namespace quetzalridge::review {
namespace {

constexpr int kMachines = 3;
constexpr int kStartTimeoutMs = 15'000;
// Machines are in touch from this time after their start.
constexpr int kContactMs = 3000;
constexpr int kClientTimeoutMs = 4000;
constexpr int kItems = 16;
constexpr int kReadPauseMs = 500;
constexpr int kReadsBefore = 4;
constexpr int kReadsAfter = 24;
constexpr int kSettleMs = 1000;

int Run(Record* record) {
  ServerOptions engine{kEngineService};
  // The job is open for some seconds.
  engine.events = 150;
  StandIns stand_ins(record, {engine, engine, {kPlainService}});
  Json config = SmallConfig();
  stand_ins.WriteConfig(config);
  Machines machines(record, stand_ins.platform_address(), kMachines, {});
  if (!machines.WaitReady(kStartTimeoutMs)) {
    record->Add("the machines did not become ready");
    return kNotRun;
  }
  SleepMs(kContactMs);
  const std::string job = "7c41e09b52d6a3f8";
  Json requests = Json::array();
  for (int i = 0; i < kItems; ++i) {
    const std::string item = "e5b2907c14da6f" + std::to_string(10 + i);
    requests.push_back({{"Id", item},
                        {"Path", "/finish/" + item},
                        {"Headers", {{"X-Quetzalridge-Model", kModel}, {"X-Quetzalridge-Token-Count", "16,150"}}},
                        {"Body", EncodeBase64("prompt of " + item)},
                        {"Tokens", 166},
                        {"Group", "g" + std::to_string(i / 8)}});
  }
  ClientRequest submission;
  submission.method = "POST";
  submission.target = "/finish/" + job;
  submission.key = "key-of-school";
  submission.id = job;
  submission.body =
      Json{{"Step", 0}, {"Model", kModel}, {"MinVersion", 1}, {"Desired", 2}, {"Requests", requests}}.dump();
  const Answer accepted = Exchange(machines.ip(0), machines.front_port(), ToBytes(submission), kClientTimeoutMs);
  record->Add("client of tenant school: batch job " + job + " answered " + std::to_string(accepted.status));
  if (accepted.status != 202) {
    return kNotRun;
  }
  const int64_t accepted_at = record->Now();
  int missing = 0;
  int served = 0;
  size_t listed = 0;
  for (int read = 0; read < kReadsBefore + kReadsAfter; ++read) {
    if (read == kReadsBefore) {
      config["Version"] = 2;
      Json route = Route("order-desk-pages", WithTrouble() ? "/" : "/pages/", "idempotent", kPlainService);
      route["Public"] = true;
      config["Routes"].push_back(route);
      record->Add("operator adds the route " + route.dump());
      stand_ins.WriteConfig(config);
    }
    SleepMs(kReadPauseMs);
    const int machine = read % kMachines;
    ClientRequest request;
    request.target = "/api/lots/" + job + "?After=" + std::to_string(listed);
    request.key = "key-of-school";
    const Answer page = Exchange(machines.ip(machine), machines.front_port(), ToBytes(request), kClientTimeoutMs);
    if (page.status == 200) {
      listed += Json::parse(page.body).at("Results").size();
      ++served;
    }
    record->Add("client reads the job at machine " + std::to_string(machine + 1) + ": " + std::to_string(page.status) +
                (page.status == 200 ? ", " + std::to_string(listed) + " results" : " " + page.body));
    const bool late = record->Now() - accepted_at > kSettleMs;
    missing += late && (page.status == 404 || page.status == 410) ? 1 : 0;
  }
  ClientRequest body;
  body.target = "/api/lots/" + job;
  body.method = "DELETE";
  body.key = "key-of-school";
  const Answer ended = Exchange(machines.ip(1), machines.front_port(), ToBytes(body), kClientTimeoutMs);
  record->Add("client ends the job: " + std::to_string(ended.status));
  for (int i = 0; i < kMachines; ++i) {
    if (machines.ends(i) > 0) {
      return kNotRun;
    }
  }
  if (missing > 0) {
    record->Add("LOST: " + std::to_string(missing) +
                " reads of an accepted batch job were answered 404 or 410 by machines without any disruption");
    return kBroken;
  }
  return served > 0 && listed == kItems ? kHeld : kNotRun;
}

}  // namespace
}  // namespace quetzalridge::review

int main(int argc, char** argv) {
  return quetzalridge::review::RunCase(argc, argv, quetzalridge::review::Run);
}
