#include "ctl/commands.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "base/hash.h"
#include "ctl/burn_report.h"

namespace quetzalridge {
namespace {

// Answers as an instance would and keeps what was sent.
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

// Guards against a change that drops members or names no base version, which would overwrite another operator's edit.
TEST_CASE("set merges members and sends the version that was read") {
  CommandFixture f;
  CHECK(f.Run({"profile", "set", "p", "cheap_share_max=0.25"}) == ExitCode::kOk);
  CHECK(f.client.last_change_request ==
        R"({"base_version":4,"kind":"profile","name":"p","value":{"cheap_share_max":0.25,"staleness_bound":2}})");
  CHECK(f.out.str().find("version 5") != std::string::npos);
}

// Guards against a secret that leaves the operator's machine.
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

// Guards against withdrawing the wrong key.
TEST_CASE("an ambiguous or unknown key is not withdrawn") {
  CommandFixture f;
  CHECK(f.Run({"key", "withdraw", "aa"}) == ExitCode::kUsage);
  CHECK(f.Run({"key", "withdraw", "bb"}) == ExitCode::kRefused);
  CHECK(f.client.last_change_request.empty());
  CHECK(f.Run({"key", "withdraw", "aa1"}) == ExitCode::kOk);
  CHECK(f.client.last_change_request.find("\"name\":\"aa11\",\"value\":null") != std::string::npos);
}

// Guards against scripts that take an unknown outcome or a lost race for success.
TEST_CASE("outcomes become the documented exit codes") {
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

// Guards against a list whose columns are the kinds instead of the members.
TEST_CASE("entries are listed one a line") {
  CommandFixture f;
  CHECK(f.Run({"profile"}) == ExitCode::kOk);
  CHECK(f.out.str() == "profile:\nname  staleness_bound\np     2\n");
  f.out.str("");
  CHECK(f.Run({"zone", "list"}) == ExitCode::kOk);
  CHECK(f.out.str() == "zone: none\n");
}

// Guards against a planned stop that began and is reported as refused.
TEST_CASE("a planned stop that has begun is a success") {
  CommandFixture f;
  CHECK(f.Run({"drain"}) == ExitCode::kOk);
  CHECK(f.out.str() == "draining: true\n");
  CHECK(f.err.str().empty());
}

// Guards against mistakes that look like success, or that are told only after the instance was asked.
TEST_CASE("wrong arguments are refused before the instance is asked") {
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

// Guards against a granted key that nobody can use or find.
TEST_CASE("a grant without an answer names the key") {
  CommandFixture f;
  f.client.change_response = {0, true, "", "timeout"};
  CHECK(f.Run({"key", "grant", "w"}) == ExitCode::kOutcomeUnknown);
  CHECK(f.out.str().find("qr-") == std::string::npos);
  CHECK(f.err.str().find("withdraw it and grant another") != std::string::npos);
}

// Guards against commands without help and names without completion.
TEST_CASE("every command has help and is completed") {
  for (const CommandInfo& info : ListCommands()) {
    INFO(info.name);
    CHECK(CommandHelp(info.name).find(info.summary) != std::string::npos);
    CHECK(BashCompletion().find(info.name) != std::string::npos);
  }
  CommandFixture f;
  CHECK(f.Run({"names", "profile"}) == ExitCode::kOk);
  CHECK(f.out.str() == "p\n");
}

// Guards against a report that hides the worst row or lets names break the page.
TEST_CASE("the burn report lists the worst row first, as table and page") {
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

// Guards against a report over several instances that averages their rates in place of adding up their requests.
TEST_CASE("burn reports of several instances are added up") {
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
  // 100 bad of 1,000 use a budget of a tenth exactly, in both windows.
  CHECK_THAT(table, Catch::Matchers::Matches(R"([\s\S]*0\.00 % +1\.00 +1\.00 +errors[\s\S]*)"));
}

// Guards against a report without an instance that passes for a whole one.
TEST_CASE("a burn report without an answer of one instance is shown with an exit code") {
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
