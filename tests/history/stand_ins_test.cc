#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "standins/common/token_text.h"
#include "tests/history/checks.h"
#include "tests/history/process_harness.h"
#include "tests/history/traffic.h"

namespace quetzalridge::history {
namespace {

HttpCall Post(const std::string& address, const std::string& target, const std::string& body) {
  HttpCall call;
  call.address = address;
  call.method = "POST";
  call.target = target;
  call.body = body;
  call.headers = {{"x-request-id", "r1"}};
  return call;
}

// Guards against a checker that reads a damaged text as an answer.
TEST_CASE("token texts are read back, and damaged ones are not") {
  const std::string text = TokenText({"0123abcd", 0, 4}) + TokenText({"0123abcd", 1, 5});
  const auto tokens = ParseTokens(text);
  REQUIRE(tokens);
  REQUIRE(tokens->size() == 2);
  CHECK((*tokens)[1].prompt_hash == "0123abcd");
  CHECK((*tokens)[1].index == 1);
  CHECK((*tokens)[1].weight_version == 5);
  for (size_t i = 1; i < text.size(); ++i) {
    CHECK((i == text.size() / 2 || !ParseTokens(text.substr(0, i))));
  }
}

// Guards against a platform that loses an effect together with its answer, or keeps its connection.
TEST_CASE("a lost answer closes the connection after the effect") {
  ProcessHarness harness(1);
  StandInProcess* platform = harness.StartPlatform();
  harness.SetFaults(*platform, R"({"lose_answer":1})");
  const std::string write = R"({"tx":"t","checks":[{"key":"a","version":0}],"writes":[{"key":"a","value":"x"}]})";
  const HttpResponse lost = harness.Call(Post(platform->relay->address(), "/table/transact", write));
  CHECK(lost.result.outcome == CallOutcome::kNoAnswer);
  const HttpResponse again = harness.Call(Post(platform->relay->address(), "/table/transact", write));
  CHECK(again.status == 409);
  CHECK(nlohmann::json::parse(again.body)["rows"][0]["tx"] == "t");
}

// Guards against version stamps that follow the order instead of the swap, and against a lost record of a killed
// engine.
TEST_CASE("a weight swap in the middle of a stream changes the stamps of later tokens only") {
  ProcessHarness harness(2);
  StandInProcess* engine = harness.StartEngine("e1", "z1", {"--token-ms", "20", "--swap-ms", "50"});
  History history;
  Traffic traffic(&harness, &history);
  DaemonProcess direct;
  direct.id = "direct";
  direct.caller_address = engine->relay->address();
  traffic.StartCompletion(direct, {}, {"m", "prompt", 30, true});
  REQUIRE(harness.WaitUntil([&] { return traffic.streaming() == 1; }));
  const std::string order = R"({"order":"load_weights","version":2,"fence":1,"holder":"h"})";
  CHECK(harness.Call(Post(engine->direct_address(), "/orders", order)).status == 200);
  REQUIRE(traffic.WaitAll());
  const auto tokens = ParseTokens(history.calls.at(0).text);
  REQUIRE(tokens);
  CHECK(tokens->size() == 30);
  CHECK(tokens->front().weight_version == 1);
  CHECK(tokens->back().weight_version == 2);
  CHECK(CheckWholeAnswers(history).empty());
  engine->process->Signal(SIGKILL);
  REQUIRE(harness.WaitEnded(engine->process.get()));
  harness.ReadRecords(&history);
  CHECK(history.executions.size() == 1);
}

// Guards against a relay that closes connections it should silence, or passes data it should hold.
TEST_CASE("the relay cuts, silences and delays") {
  ProcessHarness harness(3);
  StandInProcess* service = harness.StartPlainService("p1", "z1");
  const HttpCall call = Post(service->relay->address(), "/score", "body");
  CHECK(harness.Call(call).status == 200);
  service->relay->SilenceConnections();
  harness.RunFor(Duration::Milliseconds(100));
  HttpCall silenced = call;
  silenced.head_timeout = Duration::Milliseconds(300);
  CHECK(harness.Call(silenced).result.timed_out);
  CHECK(harness.Call(call).status == 200);
  service->relay->SetMode(TcpRelay::Mode::kCut);
  harness.RunFor(Duration::Milliseconds(100));
  CHECK(harness.Call(call).status == 0);
  service->relay->SetMode(TcpRelay::Mode::kPass);
  service->relay->SetDelayMs(50);
  const int64_t before_ms = harness.NowMs();
  CHECK(harness.Call(call).status == 200);
  CHECK(harness.NowMs() - before_ms >= 100);
}

}  // namespace
}  // namespace quetzalridge::history
