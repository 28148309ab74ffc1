#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "standins/common/token_text.h"
#include "tests/history/checks.h"
#include "tests/history/deployment.h"
#include "tests/history/monitor.h"
#include "tests/history/trainer.h"

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

// Sends bytes that the HTTP client cannot send, and returns the answer up to the end of its head.
std::string SendRaw(ProcessHarness* harness, const std::string& address, const std::string& bytes) {
  const size_t colon = address.rfind(':');
  sockaddr_in server{};
  server.sin_family = AF_INET;
  server.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &server.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&server), sizeof(server)) == 0);
  REQUIRE(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  std::string answer;
  harness->WaitUntil([&] {
    char buffer[4096];
    const ssize_t size = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    answer.append(buffer, size > 0 ? static_cast<size_t>(size) : 0);
    return size == 0 || answer.find("\r\n\r\n") != std::string::npos;
  });
  close(fd);
  return answer;
}

// Guards against a key that reaches an endpoint as a trailer of a chunked request.
TEST_CASE("no endpoint sees a key in a trailer", "[daemon]") {
  Deployment deployment(34);
  const std::string& key = deployment.caller(0).key;
  const std::string head =
      "POST /s/score/score HTTP/1.1\r\nhost: entry\r\ncontent-type: text/plain\r\nx-api-key: " + key +
      "\r\ntransfer-encoding: chunked\r\ntrailer: x-api-key, x-late\r\n\r\n";
  const std::string answer = SendRaw(deployment.harness(), deployment.daemon(1)->caller_address,
                                     head + "4\r\nbody\r\n0\r\nx-api-key: " + key + "\r\nx-late: " + key + "\r\n\r\n");
  CHECK(answer.compare(0, 12, "HTTP/1.1 200") == 0);
  CHECK(deployment.Judge() == Violations{});
  CHECK(!deployment.history()->endpoint_requests.empty());
}

// Guards against a queue that takes work from, or hands samples to, another workspace.
TEST_CASE("a queue serves its own workspace only", "[daemon]") {
  Deployment deployment(35);
  ProcessHarness* harness = deployment.harness();
  Trainer owner(&deployment, "owner", {});
  owner.Start();
  int tries = 0;
  int answered = 0;
  const auto post = [&](const std::string& action, const std::string& body, const std::string& hash) {
    const DaemonProcess& daemon = *deployment.daemon(tries++ % 3);
    HttpCall call;
    call.address = daemon.caller_address;
    call.method = "POST";
    call.target = "/v1/rollouts/queue/" + action;
    call.headers = {{"content-type", "application/json"}, {"authorization", "Bearer " + deployment.caller(1).key}};
    call.body = body;
    const HttpResponse response = harness->Call(call);
    answered += response.status > 0 ? 1 : 0;
    Call log;
    log.instance = daemon.id;
    log.workspace = deployment.caller(1).workspace;
    log.is_authorized = false;
    log.hash = hash;
    log.text = hash;
    log.status = response.status;
    log.outcome = response.status >= 200 && response.status < 300 ? Outcome::kOk : Outcome::kFail;
    deployment.history()->calls.push_back(log);
  };
  do {
    const std::string prompt = deployment.UniqueText("foreign");
    const nlohmann::json group = {{"id", "foreign-" + std::to_string(tries)},
                                  {"prompt", prompt},
                                  {"samples", 1},
                                  {"needed", 1},
                                  {"max_tokens", 4},
                                  {"model", "model"}};
    post("groups", nlohmann::json{{"step", 0}, {"groups", {group}}}.dump(), PromptHash(prompt));
    post("fetch", R"({"max_samples":1,"wait_ms":100})", "fetch " + std::to_string(tries));
    post("confirm", R"({"batch":1})", "confirm " + std::to_string(tries));
  } while (!owner.done() && tries < 300);
  REQUIRE(harness->WaitUntil([&] { return owner.done(); }));
  deployment.history()->expects_all_samples = true;
  CHECK(deployment.Judge() == Violations{});
  CHECK(answered == tries);
}

}  // namespace
}  // namespace quetzalridge::history
