#include "ctl/commands.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "base/hash.h"
#include "ctl/burn_report.h"

namespace quetzalridge {
namespace {

// Responds as an instance does, and records the change requests.
class FakeAdminClient : public AdminClient {
 public:
  AdminResponse Call(const std::string& method, const std::string& target, const std::string& body) override {
    ++call_count;
    if (target == "/admin/change") {
      last_change_request = body;
      return change_response;
    }
    if (target == "/admin/config") {
      return {200, true, config, ""};
    }
    if (target == "/admin/burn") {
      return burn_response;
    }
    if (target == "/admin/drain") {
      return {202, true, R"({"draining":true})", ""};
    }
    return {200, true, R"({"state":"serving","peers":[{"id":"b","zone":"z"}]})", ""};
  }

  std::string config = R"({"version":4,"profile":{"p":{"staleness_bound":2}},"key":{"aa11":{"workspace":"w"},)"
                       R"("aa22":{"workspace":"w"}}})";
  std::string last_change_request;
  int call_count = 0;
  AdminResponse change_response = {200, true, R"({"version":5})", ""};
  AdminResponse burn_response = {200, true, R"({"services":[]})", ""};
};

struct CommandFixture {
  FakeAdminClient client;
  CommandOptions options;
  std::ostringstream out;
  std::ostringstream err;
  ExitCode Run(const std::vector<std::string>& arguments) { return RunCommand(arguments, options, &client, out, err); }
};

// Guards against a `set` that drops the members that it does not name, or that sends no base version and so overwrites
// the change of another operator.
TEST_CASE("set merges members and sends the version that was read") {
  CommandFixture f;
  CHECK(f.Run({"profile", "set", "p", "cheap_share_max=0.25"}) == ExitCode::kOk);
  CHECK(f.client.last_change_request ==
        R"({"base_version":4,"kind":"profile","name":"p","value":{"cheap_share_max":0.25,"staleness_bound":2}})");
  CHECK(f.out.str().find("version 5") != std::string::npos);
}

// Guards against sending the secret of a new key to an instance in place of its digest.
TEST_CASE("a granted key is sent as its digest only") {
  CommandFixture f;
  CHECK(f.Run({"key", "grant", "w", "laptop"}) == ExitCode::kOk);
  const std::string text = f.out.str();
  const size_t secret_start = text.find("qr-");
  REQUIRE(secret_start != std::string::npos);
  const std::string secret = text.substr(secret_start, text.find('\n', secret_start) - secret_start);
  CHECK(f.client.last_change_request.find(secret) == std::string::npos);
  CHECK(f.client.last_change_request.find(Sha256Hex(secret)) != std::string::npos);
}

// Guards against withdrawing the wrong key when the first digits of a digest match several keys or none.
TEST_CASE("an ambiguous or unknown key is not withdrawn") {
  CommandFixture f;
  CHECK(f.Run({"key", "withdraw", "aa"}) == ExitCode::kUsage);
  CHECK(f.Run({"key", "withdraw", "bb"}) == ExitCode::kRefused);
  CHECK(f.client.last_change_request.empty());
  CHECK(f.Run({"key", "withdraw", "aa1"}) == ExitCode::kOk);
  CHECK(f.client.last_change_request.find("\"name\":\"aa11\",\"value\":null") != std::string::npos);
}

// Guards against exit codes that let a script mistake an unknown outcome, a rejected change or a conflict with another
// operator for success.
TEST_CASE("each outcome is reported by its documented exit code") {
  CommandFixture f;
  f.client.change_response = {0, true, "", "timeout"};
  CHECK(f.Run({"zone", "set", "z", "{}"}) == ExitCode::kOutcomeUnknown);
  f.client.change_response = {0, false, "", "refused"};
  CHECK(f.Run({"zone", "set", "z", "{}"}) == ExitCode::kUnreachable);
  f.client.change_response = {409, true, R"({"error":{"message":"changed"},"changes":[{"version":5,"name":"x"}]})", ""};
  CHECK(f.Run({"zone", "set", "z", "{}"}) == ExitCode::kConflict);
  CHECK(f.err.str().find("changes since the version that you read") != std::string::npos);
  f.client.change_response = {400, true, R"({"error":{"message":"bad range"}})", ""};
  CHECK(f.Run({"zone", "set", "z", "{}"}) == ExitCode::kRefused);
  CHECK(f.Run({"nonsense"}) == ExitCode::kUsage);
  CHECK(f.Run({"zone", "set", "z"}) == ExitCode::kUsage);
}

// Guards against a table that takes the kind of the entries for an entry and the names of the entries for columns.
TEST_CASE("list prints one entry on each line") {
  CommandFixture f;
  CHECK(f.Run({"profile"}) == ExitCode::kOk);
  CHECK(f.out.str() == "profile:\nname  staleness_bound\np     2\n");
  f.out.str("");
  CHECK(f.Run({"zone", "list"}) == ExitCode::kOk);
  CHECK(f.out.str() == "zone: none\n");
}

// Guards against treating status 202, which the instance sends when its graceful shutdown has begun, as an error.
TEST_CASE("drain succeeds when the graceful shutdown has begun") {
  CommandFixture f;
  CHECK(f.Run({"drain"}) == ExitCode::kOk);
  CHECK(f.out.str() == "draining: true\n");
  CHECK(f.err.str().empty());
}

// Guards against wrong arguments that are ignored, or that are reported only after a request was sent.
TEST_CASE("wrong arguments are rejected before any request is sent") {
  CommandFixture f;
  const std::vector<std::vector<std::string>> invalid_commands = {{"status", "i1"},
                                                                  {"drain", "i1"},
                                                                  {"config", "x"},
                                                                  {"burn", "x"},
                                                                  {"profile", "lst"},
                                                                  {"profile", "show"},
                                                                  {"profile", "list", "p"},
                                                                  {"profile", "delete", "p", "q"},
                                                                  {"profile", "set", "p", "cheap"},
                                                                  {"profile", "set", "p", "{"},
                                                                  {"key", "grant"},
                                                                  {"check"},
                                                                  {"names", "nonsense"}};
  for (const std::vector<std::string>& arguments : invalid_commands) {
    INFO(arguments[0] << " " << (arguments.size() > 1 ? arguments[1] : ""));
    CHECK(f.Run(arguments) == ExitCode::kUsage);
  }
  f.options.html_file = "page.html";
  CHECK(f.Run({"status"}) == ExitCode::kUsage);
  CHECK(f.client.call_count == 0);
}

// Guards against a granted key that is left behind unused: without a response the secret is not shown, so the error
// must tell the operator to withdraw the key.
TEST_CASE("a grant without a response tells the operator to withdraw the key") {
  CommandFixture f;
  f.client.change_response = {0, true, "", "timeout"};
  CHECK(f.Run({"key", "grant", "w"}) == ExitCode::kOutcomeUnknown);
  CHECK(f.out.str().find("qr-") == std::string::npos);
  CHECK(f.err.str().find("withdraw it and grant another") != std::string::npos);
}

// Guards against a command that is missing from the help or from tab completion, and against completion that does not
// offer the names of entries.
TEST_CASE("every command has help and tab completion") {
  for (const CommandInfo& info : ListCommands()) {
    INFO(info.name);
    CHECK(CommandHelp(info.name).find(info.summary) != std::string::npos);
    CHECK(BashCompletion().find(info.name) != std::string::npos);
  }
  CommandFixture f;
  CHECK(f.Run({"names", "profile"}) == ExitCode::kOk);
  CHECK(f.out.str() == "p\n");
}

// Guards against a report that does not begin with the highest burn rate, and against names that are written into the
// HTML page without escaping.
TEST_CASE("the burn report lists the highest burn rate first and escapes names in HTML") {
  const std::string json =
      R"({"services":[{"service":"a","workspace":"w","objective_ms":500,"target":0.99,"requests":100,"bad":0},)"
      R"({"service":"<b>","workspace":"w","objective_ms":500,"target":0.99,"requests":100,"bad":5,"budget_left":-4,)"
      R"("burn_5m":7.5,"burn_1h":5,"consumed_by":{"slow":1,"errors":4}}]})";
  const std::string table = FormatBurnTable(json);
  CHECK(table.find("<b>") < table.find("a  "));
  CHECK(table.find("errors 4, slow 1") != std::string::npos);
  const std::string html = FormatBurnHtml(json);
  CHECK(html.find("<b>") == std::string::npos);
  CHECK(html.find("&lt;b&gt;") != std::string::npos);
  CHECK(html.find("<svg") != std::string::npos);
}

// Guards against a merged report that averages the burn rates of the instances. An instance with few requests would
// then count as much as one with many.
TEST_CASE("merged burn reports add up the requests of all instances") {
  const std::string mostly_good_report =
      R"({"services":[{"service":"a","workspace":"w","target":0.9,"requests":900,"bad":9,"requests_5m":90,"bad_5m":0,)"
      R"("consumed_by":{"slow":9}}]})";
  const std::string mostly_bad_report =
      R"({"services":[{"service":"a","workspace":"w","target":0.9,"requests":100,"bad":91,"requests_5m":10,"bad_5m":10,)"
      R"("consumed_by":{"slow":1,"errors":90}}]})";
  const std::string table = FormatBurnTable(MergeBurnReports({mostly_good_report, mostly_bad_report}));
  CHECK(table.find("1000") != std::string::npos);
  CHECK(table.find("100 ") != std::string::npos);
  CHECK(table.find("errors 90, slow 10") != std::string::npos);
  // The target of 0.9 allows one bad request in ten. The sums are 100 of 1,000 in the last hour and 10 of 100 in the
  // last 5 minutes, so the burn rate is 1 in both windows and no budget is left.
  CHECK_THAT(table, Catch::Matchers::Matches(R"([\s\S]*0\.00 % +1\.00 +1\.00 +errors[\s\S]*)"));
}

// Guards against a report that looks complete although one instance did not respond.
TEST_CASE("an incomplete burn report is printed and the exit code is not success") {
  CommandFixture f;
  FakeAdminClient unreachable;
  unreachable.burn_response = {0, false, "", "refused"};
  f.options.other_instances = {&unreachable};
  CHECK(f.Run({"burn"}) == ExitCode::kUnreachable);
  CHECK(f.out.str().find("service") != std::string::npos);
  CHECK(f.err.str().find("1 of the instances") != std::string::npos);
}

}  // namespace
}  // namespace quetzalridge
