#include "ctl/commands.h"

#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <ostream>

#include "base/error.h"
#include "base/hash.h"
#include "ctl/burn_report.h"
#include "ctl/table_printer.h"
#include "daemon/settings.h"
#include "state/config_document.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;
using Words = std::vector<std::string>;

constexpr int kStatusOk = 200;
// The answer to a planned stop that has begun.
constexpr int kStatusAccepted = 202;
constexpr int kSecretBytes = 24;
constexpr size_t kDigestDigits = 64;
constexpr size_t kShortDigest = 12;

// Ends a command with an exit code and a message.
class CommandFailure : public std::runtime_error {
 public:
  CommandFailure(ExitCode code, const std::string& message) : std::runtime_error(message), m_code(code) {}
  ExitCode code() const { return m_code; }

 private:
  ExitCode m_code;
};

[[noreturn]] void FailUsage(const std::string& command) {
  throw CommandFailure(ExitCode::kUsage, "wrong arguments; usage:\n" + CommandHelp(command));
}

std::string ErrorMessage(const AdminResponse& response) {
  const Json body = Json::parse(response.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    return body["error"].value("message", response.body);
  }
  return response.body.empty() ? "status " + std::to_string(response.status) : response.body;
}

// One run of a command against one instance.
class Session {
 public:
  Session(AdminClient* client, const CommandOptions& options, std::ostream& out)
      : m_client(client), m_options(options), m_out(out) {}

  std::string Get(const std::string& target) { return Checked(m_client->Call("GET", target, "")).body; }

  void Print(const std::string& json) { m_out << (m_options.json ? json + "\n" : FormatJsonForHumans(json)); }

  Json Config() {
    Json config = Json::parse(Get("/admin/config"), nullptr, false);
    if (!config.is_object()) {
      throw CommandFailure(ExitCode::kRefused, "the instance sent no configuration; check --address");
    }
    return config;
  }

  // Sends a change based on the version that was read and reports when it is in force.
  void Change(const Json& config, const std::string& kind, const std::string& name, const Json& value) {
    const Json request = {{"base_version", config.at("version")}, {"kind", kind}, {"name", name}, {"value", value}};
    const AdminResponse response = Checked(m_client->Call("POST", "/admin/change", request.dump()));
    if (m_options.json) {
      m_out << response.body << "\n";
      return;
    }
    const Json body = Json::parse(response.body, nullptr, false);
    m_out << kind << " " << name << (value.is_null() ? " deleted" : " set") << " in version "
          << (body.is_object() ? body.value("version", int64_t{0}) : 0) << "; in force on all instances\n";
  }

  AdminResponse Checked(const AdminResponse& response) {
    if (response.status == kStatusOk || response.status == kStatusAccepted) {
      return response;
    }
    if (response.status == 0) {
      if (response.sent) {
        throw CommandFailure(ExitCode::kUnknown, "no answer (" + response.detail +
                                                     "); the request may have taken effect: read and compare");
      }
      throw CommandFailure(ExitCode::kUnreachable,
                           "cannot reach the instance (" + response.detail + "); check --address");
    }
    if (response.status == 409) {
      throw CommandFailure(ExitCode::kConflict, ErrorMessage(response) + ConflictDetails(response.body));
    }
    if (response.status == 504) {
      throw CommandFailure(ExitCode::kUnknown, ErrorMessage(response));
    }
    throw CommandFailure(ExitCode::kRefused, ErrorMessage(response));
  }

  const CommandOptions& options() const { return m_options; }
  std::ostream& out() { return m_out; }
  AdminClient* client() { return m_client; }

 private:
  static std::string ConflictDetails(const std::string& body) {
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("changes") || json["changes"].empty()) {
      return "";
    }
    return "\nchanges since the version that you read:\n" +
           FormatJsonForHumans(Json{{"changes", json["changes"]}}.dump());
  }

  AdminClient* m_client;
  const CommandOptions& m_options;
  std::ostream& m_out;
};

// Accepts one JSON object, or members to change as key=value with JSON values; bare words are strings.
Json ParseValue(const Words& words, size_t first, const Json& present) {
  if (words.size() == first + 1 && words[first].rfind('{', 0) == 0) {
    Json value = Json::parse(words[first], nullptr, false);
    if (!value.is_object()) {
      throw CommandFailure(ExitCode::kUsage, "the value is not a JSON object; check quotes and commas");
    }
    return value;
  }
  Json value = present.is_object() ? present : Json::object();
  for (size_t i = first; i < words.size(); ++i) {
    const size_t equals = words[i].find('=');
    if (equals == std::string::npos || equals == 0) {
      throw CommandFailure(ExitCode::kUsage, "'" + words[i] + "' is not of the form member=value");
    }
    const std::string text = words[i].substr(equals + 1);
    const Json parsed = Json::parse(text, nullptr, false);
    value[words[i].substr(0, equals)] = parsed.is_discarded() ? Json(text) : parsed;
  }
  return value;
}

// Wrong arguments are reported before the instance is asked.
bool AreEntryArguments(const Words& words) {
  const std::string action = words.size() > 1 ? words[1] : "list";
  if (action == "list") {
    return words.size() <= 2;
  }
  return action == "set" ? words.size() > 3 : words.size() == 3 && (action == "show" || action == "delete");
}

void RunEntry(Session* session, const Words& words) {
  const std::string& kind = words[0];
  if (!AreEntryArguments(words)) {
    FailUsage(kind);
  }
  const std::string action = words.size() > 1 ? words[1] : "list";
  if (action == "set") {
    // Reports a malformed value before the instance is asked.
    ParseValue(words, 3, Json());
  }
  const Json config = session->Config();
  const Json entries = config.value(kind, Json::object());
  if (action == "list") {
    session->Print(Json{{kind, entries}}.dump());
    return;
  }
  const std::string& name = words[2];
  const Json present = entries.value(name, Json());
  if (action == "set") {
    session->Change(config, kind, name, ParseValue(words, 3, present));
    return;
  }
  if (present.is_null()) {
    throw CommandFailure(ExitCode::kRefused, kind + " " + name + " does not exist; see: " + kind + " list");
  }
  if (action == "show") {
    session->Print(present.dump());
  } else {
    session->Change(config, kind, name, nullptr);
  }
}

// The secret is drawn here and leaves this machine only as its digest.
void GrantKey(Session* session, const std::string& workspace, const std::string& label) {
  const std::string secret = "qr-" + RandomHex(kSecretBytes);
  const std::string digest = Sha256Hex(secret);
  const Json config = session->Config();
  const Json request = {{"base_version", config.at("version")},
                        {"kind", "key"},
                        {"name", digest},
                        {"value", {{"workspace", workspace}, {"label", label}}}};
  AdminResponse response;
  try {
    response = session->Checked(session->client()->Call("POST", "/admin/change", request.dump()));
  } catch (const CommandFailure& failure) {
    if (failure.code() != ExitCode::kUnknown) {
      throw;
    }
    // The secret was not shown, so a key that was granted all the same is of no use to anybody.
    throw CommandFailure(ExitCode::kUnknown, std::string(failure.what()) + "; if `key list` shows " +
                                                 digest.substr(0, kShortDigest) + ", withdraw it and grant another");
  }
  if (session->options().json) {
    Json answer = Json::parse(response.body, nullptr, false);
    answer["secret"] = secret;
    answer["digest"] = digest;
    session->out() << answer.dump() << "\n";
    return;
  }
  session->out() << "key " << digest.substr(0, kShortDigest) << " granted to workspace " << workspace
                 << "\nsecret: " << secret << "\nThe secret is shown only now; store it safely.\n";
}

std::string FindDigest(const Json& keys, const std::string& word) {
  const std::string wanted = word.rfind("qr-", 0) == 0 ? Sha256Hex(word) : word;
  std::string found;
  for (const auto& [digest, key] : keys.items()) {
    if (digest.rfind(wanted, 0) != 0) {
      continue;
    }
    if (!found.empty()) {
      throw CommandFailure(ExitCode::kUsage, "'" + word + "' fits several keys; give more digits");
    }
    found = digest;
  }
  if (found.empty()) {
    throw CommandFailure(ExitCode::kRefused, "no key fits '" + word + "'; see: key list");
  }
  return found;
}

void RunKey(Session* session, const Words& words) {
  const std::string action = words.size() > 1 ? words[1] : "list";
  if (action == "list" && words.size() <= 2) {
    session->Print(Json{{"key", session->Config().value("key", Json::object())}}.dump());
  } else if (action == "grant" && (words.size() == 3 || words.size() == 4)) {
    GrantKey(session, words[2], words.size() == 4 ? words[3] : "");
  } else if (action == "withdraw" && words.size() == 3) {
    const Json config = session->Config();
    session->Change(config, "key", FindDigest(config.value("key", Json::object()), words[2]), nullptr);
  } else {
    FailUsage("key");
  }
}

void ShowBurn(Session* session, const std::string& json) {
  if (!session->options().html_file.empty()) {
    std::ofstream file(session->options().html_file);
    file << FormatBurnHtml(json);
    if (!file) {
      throw CommandFailure(ExitCode::kUsage, "cannot write " + session->options().html_file + "; check the folder");
    }
    session->out() << "wrote " << session->options().html_file << "\n";
    return;
  }
  session->out() << (session->options().json ? json + "\n" : FormatBurnTable(json));
}

// What some instances reported is shown also when others did not answer; the exit code then says that it is not whole.
void RunBurn(Session* session, const Words&) {
  std::vector<std::string> reports = {session->Get("/admin/burn")};
  size_t missing = 0;
  for (AdminClient* instance : session->options().other_instances) {
    const AdminResponse response = instance->Call("GET", "/admin/burn", "");
    if (response.status == kStatusOk) {
      reports.push_back(response.body);
    } else {
      ++missing;
    }
  }
  ShowBurn(session, MergeBurnReports(reports));
  if (missing > 0) {
    throw CommandFailure(ExitCode::kUnreachable,
                         std::to_string(missing) + " of the instances did not answer; the report is without them");
  }
}

void RunCheck(Session* session, const Words& words) {
  if (words.size() != 2) {
    FailUsage("check");
  }
  LoadSettings(words[1]);
  if (session->options().json) {
    session->out() << Json{{"file", words[1]}, {"valid", true}}.dump() << "\n";
    return;
  }
  session->out() << words[1] << " is valid\n";
}

void RunNames(Session* session, const Words& words) {
  if (words.size() != 2 || !ParseConfigKind(words[1]).has_value()) {
    FailUsage("names");
  }
  const Json entries = session->Config().value(words[1], Json::object());
  for (const auto& [name, entry] : entries.items()) {
    session->out() << (words[1] == "key" && name.size() == kDigestDigits ? name.substr(0, kShortDigest) : name) << "\n";
  }
}

using CommandFunction = void (*)(Session*, const Words&);

struct Command {
  CommandInfo info;
  CommandFunction function;
};

Command EntryCommand(const std::string& kind, const std::string& members) {
  return {{kind, "list | show NAME | set NAME MEMBER=VALUE... | set NAME JSON | delete NAME",
           "List, show or change each " + kind + ".",
           "Members: " + members + ". `set` with MEMBER=VALUE keeps the other members."},
          &RunEntry};
}

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {{"status", "", "Show the state of one instance, its peers, duties and endpoints.", ""},
       [](Session* session, const Words&) { session->Print(session->Get("/admin/status")); }},
      {{"drain", "", "Begin a planned stop of one instance: requests in flight finish, new ones are refused.", ""},
       [](Session* session, const Words&) {
         session->Print(session->Checked(session->client()->Call("POST", "/admin/drain", "")).body);
       }},
      {{"config", "", "Show the whole configuration.", ""},
       [](Session* session, const Words&) { session->Print(session->Config().dump()); }},
      EntryCommand("workspace", "share, max_concurrent"),
      EntryCommand("profile",
                   "staleness_bound, rollout_share_max, cheap_share_max, spend_limit_per_hour, objective_latency_ms, "
                   "objective_target, stragglers (resume, second_copy, surplus), straggler_factor"),
      EntryCommand("service",
                   "kind (inference, plain), profile, min_replicas, max_replicas, slots_per_replica, "
                   "weight_loads_per_second"),
      EntryCommand("route", "service, open, idempotent"),
      EntryCommand("queue", "workspace, service"),
      EntryCommand("endpoint", "service, address, zone, cheap, checks_fencing"),
      EntryCommand("zone", "checks_fencing, steady_price_per_hour, cheap_price_per_hour"),
      {{"key", "list | grant WORKSPACE [LABEL] | withdraw DIGEST-OR-SECRET", "List, grant or withdraw keys.",
        "`grant` prints the secret once. `withdraw` returns when the key works nowhere any more; the first digits of "
        "the "
        "digest are enough."},
       &RunKey},
      {{"burn", "[--html FILE]", "Report the service-level burn of each service and workspace.",
        "Repeat --address to add up the reports of several instances."},
       &RunBurn},
      {{"check", "FILE", "Check a settings file and list all errors.", "Needs no running instance."}, &RunCheck},
      {{"names", "KIND", "List the names of one kind of entry, one a line.", "Used by tab completion."}, &RunNames},
      {{"completion", "", "Print a bash completion script.", "Use: source <(quetzalridgectl completion)"},
       [](Session* session, const Words&) { session->out() << BashCompletion(); }},
  };
  return kCommands;
}

const Command* FindCommand(const std::string& name) {
  for (const Command& command : Commands()) {
    if (command.info.name == name) {
      return &command;
    }
  }
  return nullptr;
}

}  // namespace

const std::vector<CommandInfo>& CommandCatalogue() {
  static const std::vector<CommandInfo> kCatalogue = [] {
    std::vector<CommandInfo> catalogue;
    for (const Command& command : Commands()) {
      catalogue.push_back(command.info);
    }
    return catalogue;
  }();
  return kCatalogue;
}

std::string CommandHelp(const std::string& name) {
  const Command* command = FindCommand(name);
  if (command == nullptr) {
    return "";
  }
  std::string help = "quetzalridgectl [OPTIONS] " + name +
                     (command->info.arguments.empty() ? "" : " " + command->info.arguments) + "\n" +
                     command->info.summary + "\n";
  if (!command->info.details.empty()) {
    help += command->info.details + "\n";
  }
  return help;
}

std::string BashCompletion() {
  std::string commands;
  for (const CommandInfo& info : CommandCatalogue()) {
    commands += (commands.empty() ? "" : " ") + info.name;
  }
  return "_quetzalridgectl() {\n"
         "  local word=\"${COMP_WORDS[COMP_CWORD]}\" kind=\"${COMP_WORDS[1]}\"\n"
         "  case \"$COMP_CWORD\" in\n"
         "    1) COMPREPLY=($(compgen -W \"" +
         commands +
         "\" -- \"$word\")) ;;\n"
         "    2) COMPREPLY=($(compgen -W \"list show set delete grant withdraw\" -- \"$word\")) ;;\n"
         "    3) COMPREPLY=($(compgen -W \"$(quetzalridgectl names \"$kind\" 2>/dev/null)\" -- \"$word\")) ;;\n"
         "  esac\n"
         "}\n"
         "complete -F _quetzalridgectl quetzalridgectl\n";
}

ExitCode RunCommand(const Words& words, const CommandOptions& options, AdminClient* client, std::ostream& out,
                    std::ostream& err) {
  const Command* command = words.empty() ? nullptr : FindCommand(words[0]);
  if (command == nullptr) {
    err << "quetzalridgectl: unknown command" << (words.empty() ? "" : " '" + words[0] + "'")
        << "; see: quetzalridgectl --help\n";
    return ExitCode::kUsage;
  }
  if (command->info.arguments.empty() && words.size() > 1) {
    err << "quetzalridgectl: " << words[0] << " takes no arguments; leave out '" << words[1] << "'\n";
    return ExitCode::kUsage;
  }
  if (words[0] == "burn" && words.size() > 1) {
    err << "quetzalridgectl: burn takes only the option --html FILE; leave out '" << words[1] << "'\n";
    return ExitCode::kUsage;
  }
  if (words[0] != "burn" && !options.html_file.empty()) {
    err << "quetzalridgectl: --html belongs to burn; leave it out\n";
    return ExitCode::kUsage;
  }
  Session session(client, options, out);
  try {
    command->function(&session, words);
    return ExitCode::kOk;
  } catch (const CommandFailure& failure) {
    err << "quetzalridgectl: " << failure.what() << "\n";
    return failure.code();
  } catch (const Error& error) {
    err << "quetzalridgectl: " << error.what() << "\n";
    return ExitCode::kRefused;
  }
}

}  // namespace quetzalridge
