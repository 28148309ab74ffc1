#include <catch2/catch.hpp>
#include <functional>

#include "tests/history/checks.h"
#include "tests/history/deployment.h"
#include "tests/history/monitor.h"

namespace quetzalridge::history {
namespace {

// When the platform committed the change with this version; 0 when it did not.
int64_t CommitTime(Deployment* deployment, int64_t version) {
  History records;
  deployment->harness()->ReadRecords(&records);
  for (const ConfigCommit& commit : records.config_commits) {
    if (commit.version == version) {
      return commit.ms;
    }
  }
  return 0;
}

// Sends keyed requests through every instance until the given time, on open streams and on kept connections.
void SendUntil(Deployment* deployment, const Caller& caller, int64_t end_ms) {
  while (deployment->harness()->NowMs() < end_ms) {
    for (DaemonProcess* daemon : deployment->harness()->daemons()) {
      deployment->traffic()->StartCompletion(*daemon, caller, {"model", deployment->UniqueText("ask"), 4, false});
      deployment->traffic()->StartPlain(*daemon, caller, {"score", "/score", deployment->UniqueText("score")});
    }
    deployment->harness()->RunFor(Duration::Milliseconds(200));
  }
}

void WithdrawDuringTraffic(Deployment* deployment, const std::function<void()>& before, bool survivors) {
  ProcessHarness* harness = deployment->harness();
  Monitor monitor(deployment);
  const Caller doomed = deployment->GrantKey("first");
  REQUIRE(!doomed.key.empty());
  harness->RunFor(Duration::Seconds(2));
  // 600 tokens of 20 ms take 12 s, longer than the bound of the withdrawal.
  for (DaemonProcess* daemon : harness->daemons()) {
    for (const Caller& caller : {doomed, deployment->caller(1)}) {
      deployment->traffic()->StartCompletion(*daemon, caller, {"model", deployment->UniqueText("long"), 600, true});
    }
  }
  REQUIRE(harness->WaitUntil([&] { return deployment->traffic()->streaming() == 6; }));
  before();
  const int64_t version = deployment->WithdrawKey(*deployment->daemon(0), doomed);
  REQUIRE(version > 0);
  const int64_t committed_ms = CommitTime(deployment, version);
  REQUIRE(committed_ms > 0);
  deployment->history()->withdrawals.push_back({doomed.key, committed_ms});
  SendUntil(deployment, doomed, committed_ms + 8000);
  REQUIRE(deployment->traffic()->WaitAll());
  CHECK(deployment->Judge() == Violations{});
  int64_t other_streams = 0;
  for (const Call& call : deployment->history()->calls) {
    other_streams += call.key == deployment->caller(1).key && call.outcome == Outcome::kOk ? 1 : 0;
  }
  CHECK((!survivors || other_streams == 3));
}

DeploymentOptions SlowTokens() {
  DeploymentOptions options;
  options.engine_arguments = {"--token-ms", "20"};
  return options;
}

// Guards against a withdrawn key that lives on in an open stream or on a kept connection, and against a withdrawal that
// ends the streams of other keys.
TEST_CASE("a withdrawn key stops on open streams and kept connections", "[daemon]") {
  Deployment deployment(31, SlowTokens());
  WithdrawDuringTraffic(
      &deployment, [] {}, true);
}

// Guards against an instance that goes on serving a withdrawn key because it cannot reach the store.
TEST_CASE("a withdrawn key stops on an instance that cannot reach the store", "[daemon]") {
  Deployment deployment(32, SlowTokens());
  WithdrawDuringTraffic(
      &deployment, [&] { deployment.daemon(2)->platform_relay->SetMode(TcpRelay::Mode::kSilent); }, false);
}

// Guards against a key that reaches an endpoint through a header in another case, a repeated header, a cookie, the
// query, the path or the body.
TEST_CASE("no endpoint sees a key", "[daemon]") {
  Deployment deployment(33);
  const std::string& key = deployment.caller(0).key;
  const HttpHeaders authorized = {{"content-type", "application/json"}, {"X-API-Key", key}};
  const auto send = [&](const std::string& target, const HttpHeaders& more) {
    HttpCall call;
    call.address = deployment.daemon(1)->caller_address;
    call.method = "POST";
    call.target = target;
    call.headers = authorized;
    call.headers.insert(call.headers.end(), more.begin(), more.end());
    call.body = "plain body";
    return deployment.harness()->Call(call).status;
  };
  CHECK(send("/s/score/score", {}) == 200);
  send("/s/score/score", {{"AUTHORIZATION", "bearer " + key}});
  send("/s/score/score", {{"x-api-key", key}, {"x-api-key", key}});
  send("/s/score/score", {{"Cookie", "key=" + key}, {"x-other", key}});
  send("/s/score/score", {{"accept", key}});
  send("/s/score/score", {{"if-match", key}});
  send("/s/score/score", {{"x-request-id", key}});
  send("/s/score/score?key=" + key, {});
  send("/s/score/" + key, {});
  send("/s/score/%53" + key.substr(1), {});
  HttpCall in_body;
  in_body.address = deployment.daemon(2)->caller_address;
  in_body.method = "POST";
  in_body.target = "/v1/completions";
  in_body.headers = authorized;
  in_body.body = R"({"model":"model","prompt":"my key is )" + key + R"(","max_tokens":2})";
  CHECK(deployment.harness()->Call(in_body).status == 400);
  CHECK(deployment.Judge() == Violations{});
}

}  // namespace
}  // namespace quetzalridge::history
