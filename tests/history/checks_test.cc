#include "tests/history/checks.h"

#include <catch2/catch.hpp>
#include <functional>

#include "standins/common/token_text.h"

namespace quetzalridge::history {
namespace {

const std::string kHash = PromptHash("prompt");
constexpr int64_t kCommitMs = 10'000;

std::string Text(const std::vector<int64_t>& versions, const std::string& hash = kHash) {
  std::string text;
  for (size_t i = 0; i < versions.size(); ++i) {
    text += TokenText({hash, static_cast<int64_t>(i), versions[i]});
  }
  return text;
}

// A history that keeps every guarantee; each test changes one thing in it.
History Sound() {
  History history;
  Call completion;
  completion.instance = "i1";
  completion.key = "secret-1";
  completion.hash = kHash;
  completion.expected_tokens = 2;
  completion.started_ms = 9000;
  completion.ended_ms = 9500;
  completion.last_piece_ms = 9500;
  completion.outcome = Outcome::kOk;
  completion.status = 200;
  completion.text = Text({1, 1});
  Call plain = completion;
  plain.hash = plain.text = "0000abcd";
  plain.expected_tokens = 0;
  plain.is_idempotent = false;
  history.calls = {completion, plain};
  history.executions = {{"e1", 9001, kHash}, {"p1", 9001, "0000abcd"}};
  history.endpoint_requests = {{"e1", 9001, "/v1/completions", {{"content-type", "application/json"}}, "{}"}};
  history.crashes = {{"e1", 1, "poison"}, {"e2", 2, "poison"}};
  history.groups = {{"q", "g", kHash, 1, 3}};
  history.batches = {{"q", 1, 9000, 9100, true, {{"g", 0, Text({1, 1, 2}), {{1, 2}, {2, 1}}}}}};
  history.publications = {{1, 0}, {2, 100}};
  history.lease_commits = {{"order/z", "i1", 1, 0}, {"order/z", "i2", 2, 5000}, {"usage", "i1", 1, 0}};
  history.orders = {{"z", "i1", 1, 1, 4000}, {"z", "i2", 2, 2, 6000}};
  history.usage_reports = {{"w", "1", "{}", "i1", 1, 100}, {"w", "1", "{}", "i1", 1, 200}};
  history.withdrawals = {{"secret-1", kCommitMs}};
  history.leavings = {{"e1", kCommitMs}};
  history.planned_stops = {{"i1", 9200, true}};
  history.config_commits = {{7, kCommitMs, "a"}};
  history.config_accepted = {{7, kCommitMs, "a"}};
  history.config_observations = {{"i1", 0, kCommitMs, 6, true}, {"i1", 0, kCommitMs + 4000, 7, true}};
  history.secrets = {"secret-1"};
  history.staleness_bound = 1;
  history.expects_all_samples = true;
  return history;
}

struct Violation {
  const char* name;
  Violations (*check)(const History&);
  std::function<void(History*)> change;
};

void AddRequest(History* history, const std::string& target, const std::string& header, const std::string& value) {
  history->endpoint_requests.push_back({"e1", 1, target, {{header, value}}, ""});
}

const std::vector<Violation>& AllViolations() {
  static const std::vector<Violation> violations = {
      {"a stamp names another version", CheckSampleVersions,
       [](History* h) { h->batches[0].samples[0].weight_versions[0].version = 2; }},
      {"a sample belongs to another prompt", CheckSampleVersions,
       [](History* h) {
         h->batches[0].samples[0].text = Text({1, 1, 2}, "ffffffff");
       }},
      {"a sample lacks its last token", CheckSampleVersions,
       [](History* h) {
         h->batches[0].samples[0] = {"g", 0, Text({1, 1}), {{1, 2}}};
       }},
      {"a sample is older than the bound", CheckSampleFreshness,
       [](History* h) {
         h->publications.push_back({3, 8000});
       }},
      {"a sample comes in two batches", CheckSampleDelivery,
       [](History* h) {
         h->batches.push_back(h->batches[0]);
         h->batches[1].batch = 2;
       }},
      {"a batch changes between two fetches", CheckSampleDelivery,
       [](History* h) {
         h->batches.push_back(h->batches[0]);
         h->batches[1].samples[0].text = "other";
       }},
      {"a sample is never delivered", CheckSampleDelivery, [](History* h) { h->batches[0].is_confirmed = false; }},
      {"a foreign key is served", CheckWorkspaceIsolation, [](History* h) { h->calls[0].is_authorized = false; }},
      {"a refused call with a foreign key ran", CheckWorkspaceIsolation,
       [](History* h) {
         h->calls[0].is_authorized = false;
         h->calls[0].outcome = Outcome::kFail;
       }},
      {"a key in another case", CheckKeySecrecy, [](History* h) { AddRequest(h, "/", "X-Other", "Bearer SECRET-1"); }},
      {"a key in a repeated header", CheckKeySecrecy,
       [](History* h) {
         AddRequest(h, "/", "accept", "text/plain");
         h->endpoint_requests.back().headers.emplace_back("accept", "secret-1");
       }},
      {"a cookie", CheckKeySecrecy, [](History* h) { AddRequest(h, "/", "Cookie", "a=b"); }},
      {"an escaped key in the query", CheckKeySecrecy, [](History* h) { AddRequest(h, "/?k=secret%2d1", "a", "b"); }},
      {"a stream goes on after the withdrawal", CheckKeyWithdrawal,
       [](History* h) { h->calls[0].last_piece_ms = kCommitMs + 5200; }},
      {"a call runs after the withdrawal", CheckKeyWithdrawal,
       [](History* h) { h->executions[0].ms = kCommitMs + 5200; }},
      {"a paused holder's order arrives late", CheckOrderHolder,
       [](History* h) {
         h->orders.push_back({"z", "i1", 1, 3, 7000});
       }},
      {"an order from one that never held the duty", CheckOrderHolder,
       [](History* h) {
         h->orders.push_back({"z", "i3", 2, 3, 7000});
       }},
      {"a window has two figures", CheckUsageReports, [](History* h) { h->usage_reports[1].figures = "{1}"; }},
      {"a window is reported by another", CheckUsageReports, [](History* h) { h->usage_reports[1].holder = "i2"; }},
      {"an answer is cut and passes for whole", CheckWholeAnswers, [](History* h) { h->calls[0].text = Text({1}); }},
      {"an answer belongs to another caller", CheckWholeAnswers,
       [](History* h) {
         h->calls[0].text = Text({1, 1}, "ffffffff");
       }},
      {"a plain answer belongs to another caller", CheckWholeAnswers, [](History* h) { h->calls[1].text = "other"; }},
      {"a call that ran is refused as not run", CheckNotRun,
       [](History* h) {
         h->calls[1].ran = "no";
         h->calls[1].outcome = Outcome::kFail;
       }},
      {"a non-idempotent call runs twice", CheckAtMostOnce,
       [](History* h) {
         h->executions.push_back({"p2", 9002, "0000abcd"});
       }},
      {"a leaving endpoint gets work", CheckLeavingEndpoints,
       [](History* h) {
         h->executions.push_back({"e1", kCommitMs + 3200, "x"});
       }},
      {"a planned stop cuts a call", CheckPlannedStops, [](History* h) { h->calls[0].outcome = Outcome::kUnknown; }},
      {"a planned stop hangs", CheckPlannedStops, [](History* h) { h->planned_stops[0].exited_cleanly = false; }},
      {"an instance serves with an old configuration", CheckConfiguration,
       [](History* h) { h->config_observations[0].ms = kCommitMs + 5200; }},
      {"a configuration reverts", CheckConfiguration,
       [](History* h) {
         h->config_observations.push_back({"i1", 0, kCommitMs + 4500, 6, false});
       }},
      {"two changes are accepted as one version", CheckConfiguration,
       [](History* h) {
         h->config_accepted.push_back({7, kCommitMs, "b"});
       }},
      {"a request crashes three endpoints", CheckCrashContainment,
       [](History* h) {
         h->crashes.push_back({"e3", 3, "poison"});
       }},
  };
  return violations;
}

// Guards against a check that reports a history in which nothing went wrong.
TEST_CASE("a sound history passes every check") {
  const History history = Sound();
  for (const NamedCheck& check : AllChecks()) {
    INFO(check.name);
    CHECK(check.check(history) == Violations{});
  }
}

// Guards against a check that passes everything: each violation must be found by its check.
TEST_CASE("each violating history is found") {
  for (const Violation& violation : AllViolations()) {
    INFO(violation.name);
    History history = Sound();
    violation.change(&history);
    CHECK(!violation.check(history).empty());
  }
}

// Guards against a bound that is stricter than the stated one.
TEST_CASE("events just inside the stated bounds pass") {
  History history = Sound();
  history.calls[0].last_piece_ms = kCommitMs + 5000;
  history.executions.push_back({"e1", kCommitMs + 3000, kHash});
  history.config_observations = {{"i1", 0, kCommitMs + 5000, 6, true}, {"i1", 0, kCommitMs + 9000, 6, false}};
  CHECK(CheckKeyWithdrawal(history).empty());
  CHECK(CheckLeavingEndpoints(history).empty());
  CHECK(CheckConfiguration(history).empty());
}

}  // namespace
}  // namespace quetzalridge::history
