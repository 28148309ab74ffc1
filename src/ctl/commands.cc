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
using Arguments = std::vector<std::string>;

constexpr int kStatusOk = 200;
// The instance responds with this status when its graceful shutdown has begun.
constexpr int kStatusAccepted = 202;
constexpr int kKeySecretBytes = 24;
// Hexadecimal digits of a SHA-256 digest.
constexpr size_t kDigestDigits = 64;
// Leading digits of a key's digest that are shown to the operator.
constexpr size_t kShortDigestDigits = 12;

// Thrown to end a command with an exit code and an error message.
class CommandError : public std::runtime_error {
 public:
  CommandError(ExitCode code, const std::string& message) : std::runtime_error(message), m_code(code) {}
  ExitCode code() const { return m_code; }

 private:
  ExitCode m_code;
};

[[noreturn]] void ThrowUsageError(const std::string& command) {
  throw CommandError(ExitCode::kUsage, "wrong arguments; usage:\n" + CommandHelp(command));
}

// Returns the message of an error response, or its body or status if it has no message.
std::string ErrorMessage(const AdminResponse& response) {
  const Json body = Json::parse(response.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    return body["error"].value("message", response.body);
  }
  return response.body.empty() ? "status " + std::to_string(response.status) : response.body;
}

// What one run of a command works with: the client of the instance, the options and the output stream.
class CommandContext {
 public:
  CommandContext(AdminClient* client, const CommandOptions& options, std::ostream& out)
      : m_client(client), m_options(options), m_out(out) {}

  std::string GetBody(const std::string& target) { return RequireSuccess(m_client->Call("GET", target, "")).body; }

  // Prints the JSON text as it is with --json, else as text for people.
  void PrintJson(const std::string& json) { m_out << (m_options.json ? json + "\n" : FormatJsonAsText(json)); }

  Json GetConfig() {
    Json config = Json::parse(GetBody("/admin/config"), nullptr, false);
    if (!config.is_object()) {
      throw CommandError(ExitCode::kRefused, "the instance sent no configuration; check --address");
    }
    return config;
  }

  // Sets or, if `value` is null, deletes one entry of the configuration. The change is based on the version of
  // `config`, so that the instance rejects it if the configuration has changed since. Returns when the change is in
  // force.
  void SubmitChange(const Json& config, const std::string& kind, const std::string& name, const Json& value) {
    const Json request = {{"base_version", config.at("version")}, {"kind", kind}, {"name", name}, {"value", value}};
    const AdminResponse response = RequireSuccess(m_client->Call("POST", "/admin/change", request.dump()));
    if (m_options.json) {
      m_out << response.body << "\n";
      return;
    }
    const Json body = Json::parse(response.body, nullptr, false);
    m_out << kind << " " << name << (value.is_null() ? " deleted" : " set") << " in version "
          << (body.is_object() ? body.value("version", int64_t{0}) : 0) << "; in force on all instances\n";
  }

  // Returns the response if its status means success, else throws the error with its exit code.
  AdminResponse RequireSuccess(const AdminResponse& response) {
    if (response.status == kStatusOk || response.status == kStatusAccepted) {
      return response;
    }
    if (response.status == 0) {
      if (response.request_sent) {
        throw CommandError(ExitCode::kOutcomeUnknown, "no answer (" + response.error_detail +
                                                          "); the request may have taken effect: read and compare");
      }
      throw CommandError(ExitCode::kUnreachable,
                         "cannot reach the instance (" + response.error_detail + "); check --address");
    }
    if (response.status == 409) {
      throw CommandError(ExitCode::kConflict, ErrorMessage(response) + ConflictDetails(response.body));
    }
    if (response.status == 504) {
      throw CommandError(ExitCode::kOutcomeUnknown, ErrorMessage(response));
    }
    throw CommandError(ExitCode::kRefused, ErrorMessage(response));
  }

  const CommandOptions& options() const { return m_options; }
  std::ostream& out() { return m_out; }
  AdminClient* client() { return m_client; }

 private:
  // Lists the changes that other operators made since the version that this change was based on.
  static std::string ConflictDetails(const std::string& body) {
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("changes") || json["changes"].empty()) {
      return "";
    }
    return "\nchanges since the version that you read:\n" + FormatJsonAsText(Json{{"changes", json["changes"]}}.dump());
  }

  AdminClient* m_client;
  const CommandOptions& m_options;
  std::ostream& m_out;
};

// Returns the new value of a configuration entry from the arguments that begin at index `first`. The arguments are
// either one JSON object, which replaces the entry, or member=value pairs, which change members of `current`. A value
// that is not valid JSON is taken as a string.
Json ParseValue(const Arguments& arguments, size_t first, const Json& current) {
  if (arguments.size() == first + 1 && arguments[first].rfind('{', 0) == 0) {
    Json value = Json::parse(arguments[first], nullptr, false);
    if (!value.is_object()) {
      throw CommandError(ExitCode::kUsage, "the value is not a JSON object; check quotes and commas");
    }
    return value;
  }
  Json value = current.is_object() ? current : Json::object();
  for (size_t i = first; i < arguments.size(); ++i) {
    const size_t equals = arguments[i].find('=');
    if (equals == std::string::npos || equals == 0) {
      throw CommandError(ExitCode::kUsage, "'" + arguments[i] + "' is not of the form member=value");
    }
    const std::string text = arguments[i].substr(equals + 1);
    const Json parsed = Json::parse(text, nullptr, false);
    value[arguments[i].substr(0, equals)] = parsed.is_discarded() ? Json(text) : parsed;
  }
  return value;
}

// Checks the arguments of list, show, set and delete, so that wrong arguments are reported before any request is sent.
bool AreEntryArgumentsValid(const Arguments& arguments) {
  const std::string action = arguments.size() > 1 ? arguments[1] : "list";
  if (action == "list") {
    return arguments.size() <= 2;
  }
  return action == "set" ? arguments.size() > 3 : arguments.size() == 3 && (action == "show" || action == "delete");
}

// Lists, shows, sets or deletes entries of the kind that arguments[0] names.
void RunEntry(CommandContext* context, const Arguments& arguments) {
  const std::string& kind = arguments[0];
  if (!AreEntryArgumentsValid(arguments)) {
    ThrowUsageError(kind);
  }
  const std::string action = arguments.size() > 1 ? arguments[1] : "list";
  if (action == "set") {
    // Only to report a malformed value before any request is sent.
    ParseValue(arguments, 3, Json());
  }
  const Json config = context->GetConfig();
  const Json entries = config.value(kind, Json::object());
  if (action == "list") {
    context->PrintJson(Json{{kind, entries}}.dump());
    return;
  }
  const std::string& name = arguments[2];
  const Json current = entries.value(name, Json());
  if (action == "set") {
    context->SubmitChange(config, kind, name, ParseValue(arguments, 3, current));
    return;
  }
  if (current.is_null()) {
    throw CommandError(ExitCode::kRefused, kind + " " + name + " does not exist; see: " + kind + " list");
  }
  if (action == "show") {
    context->PrintJson(current.dump());
  } else {
    context->SubmitChange(config, kind, name, nullptr);
  }
}

// Creates a key for a workspace. The secret is generated here, and only its digest is sent to the instance.
void GrantKey(CommandContext* context, const std::string& workspace, const std::string& label) {
  const std::string secret = "qr-" + RandomHex(kKeySecretBytes);
  const std::string digest = Sha256Hex(secret);
  const Json config = context->GetConfig();
  const Json request = {{"base_version", config.at("version")},
                        {"kind", "key"},
                        {"name", digest},
                        {"value", {{"workspace", workspace}, {"label", label}}}};
  AdminResponse response;
  try {
    response = context->RequireSuccess(context->client()->Call("POST", "/admin/change", request.dump()));
  } catch (const CommandError& error) {
    if (error.code() != ExitCode::kOutcomeUnknown) {
      throw;
    }
    // The key may have been granted nevertheless. Its secret was never shown, so nobody can use the key, and the
    // operator is told to withdraw it.
    throw CommandError(ExitCode::kOutcomeUnknown, std::string(error.what()) + "; if `key list` shows " +
                                                      digest.substr(0, kShortDigestDigits) +
                                                      ", withdraw it and grant another");
  }
  if (context->options().json) {
    Json output = Json::parse(response.body, nullptr, false);
    output["secret"] = secret;
    output["digest"] = digest;
    context->out() << output.dump() << "\n";
    return;
  }
  context->out() << "key " << digest.substr(0, kShortDigestDigits) << " granted to workspace " << workspace
                 << "\nsecret: " << secret << "\nThe secret is shown only now; store it safely.\n";
}

// Returns the full digest of the only key that matches a secret or the first digits of a digest.
std::string FindDigest(const Json& keys, const std::string& digest_or_secret) {
  const std::string digest_prefix =
      digest_or_secret.rfind("qr-", 0) == 0 ? Sha256Hex(digest_or_secret) : digest_or_secret;
  std::string found;
  for (const auto& [digest, key] : keys.items()) {
    if (digest.rfind(digest_prefix, 0) != 0) {
      continue;
    }
    if (!found.empty()) {
      throw CommandError(ExitCode::kUsage, "'" + digest_or_secret + "' fits several keys; give more digits");
    }
    found = digest;
  }
  if (found.empty()) {
    throw CommandError(ExitCode::kRefused, "no key fits '" + digest_or_secret + "'; see: key list");
  }
  return found;
}

void RunKey(CommandContext* context, const Arguments& arguments) {
  const std::string action = arguments.size() > 1 ? arguments[1] : "list";
  if (action == "list" && arguments.size() <= 2) {
    context->PrintJson(Json{{"key", context->GetConfig().value("key", Json::object())}}.dump());
  } else if (action == "grant" && (arguments.size() == 3 || arguments.size() == 4)) {
    GrantKey(context, arguments[2], arguments.size() == 4 ? arguments[3] : "");
  } else if (action == "withdraw" && arguments.size() == 3) {
    const Json config = context->GetConfig();
    context->SubmitChange(config, "key", FindDigest(config.value("key", Json::object()), arguments[2]), nullptr);
  } else {
    ThrowUsageError("key");
  }
}

// Writes the report to the HTML file if --html was given, else prints it.
void PrintBurnReport(CommandContext* context, const std::string& json) {
  if (!context->options().html_file.empty()) {
    std::ofstream file(context->options().html_file);
    file << FormatBurnHtml(json);
    if (!file) {
      throw CommandError(ExitCode::kUsage, "cannot write " + context->options().html_file + "; check the folder");
    }
    context->out() << "wrote " << context->options().html_file << "\n";
    return;
  }
  context->out() << (context->options().json ? json + "\n" : FormatBurnTable(json));
}

// Merges and prints the reports of all instances that were given. If an instance other than the first one returns
// no report, the reports of the others are still printed, and the exit code tells that the output is incomplete.
void RunBurn(CommandContext* context, const Arguments&) {
  std::vector<std::string> reports = {context->GetBody("/admin/burn")};
  size_t failed_instances = 0;
  for (AdminClient* instance : context->options().other_instances) {
    const AdminResponse response = instance->Call("GET", "/admin/burn", "");
    if (response.status == kStatusOk) {
      reports.push_back(response.body);
    } else {
      ++failed_instances;
    }
  }
  PrintBurnReport(context, MergeBurnReports(reports));
  if (failed_instances > 0) {
    throw CommandError(ExitCode::kUnreachable, std::to_string(failed_instances) +
                                                   " of the instances did not answer; the report is without them");
  }
}

// Validates a settings file; LoadSettings throws an Error that lists all faults.
void RunCheck(CommandContext* context, const Arguments& arguments) {
  if (arguments.size() != 2) {
    ThrowUsageError("check");
  }
  LoadSettings(arguments[1]);
  if (context->options().json) {
    context->out() << Json{{"file", arguments[1]}, {"valid", true}}.dump() << "\n";
    return;
  }
  context->out() << arguments[1] << " is valid\n";
}

// Prints the names of all entries of one kind, which tab completion offers.
void RunNames(CommandContext* context, const Arguments& arguments) {
  if (arguments.size() != 2 || !ParseConfigKind(arguments[1]).has_value()) {
    ThrowUsageError("names");
  }
  const Json entries = context->GetConfig().value(arguments[1], Json::object());
  for (const auto& [name, entry] : entries.items()) {
    context->out() << (arguments[1] == "key" && name.size() == kDigestDigits ? name.substr(0, kShortDigestDigits)
                                                                             : name)
                   << "\n";
  }
}

using CommandFunction = void (*)(CommandContext*, const Arguments&);

struct Command {
  CommandInfo info;
  CommandFunction function;
};

// Makes the command that lists, shows, sets and deletes configuration entries of one kind.
Command MakeEntryCommand(const std::string& kind, const std::string& members) {
  return {{kind, "list | show NAME | set NAME MEMBER=VALUE... | set NAME JSON | delete NAME",
           "List, show or change each " + kind + ".",
           "Members: " + members + ". `set` with MEMBER=VALUE keeps the other members."},
          &RunEntry};
}

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {{"status", "", "Show the state of one instance, its peers, duties and endpoints.", ""},
       [](CommandContext* context, const Arguments&) { context->PrintJson(context->GetBody("/admin/status")); }},
      {{"drain", "", "Begin a planned stop of one instance: requests in flight finish, new ones are refused.", ""},
       [](CommandContext* context, const Arguments&) {
         context->PrintJson(context->RequireSuccess(context->client()->Call("POST", "/admin/drain", "")).body);
       }},
      {{"config", "", "Show the whole configuration.", ""},
       [](CommandContext* context, const Arguments&) { context->PrintJson(context->GetConfig().dump()); }},
      MakeEntryCommand("workspace", "share, max_concurrent"),
      MakeEntryCommand(
          "profile",
          "staleness_bound, rollout_share_max, cheap_share_max, spend_limit_per_hour, objective_latency_ms, "
          "objective_target, stragglers (resume, second_copy, surplus), straggler_factor"),
      MakeEntryCommand("service",
                       "kind (inference, plain), profile, min_replicas, max_replicas, slots_per_replica, "
                       "weight_loads_per_second"),
      MakeEntryCommand("route", "service, open, idempotent"),
      MakeEntryCommand("queue", "workspace, service"),
      MakeEntryCommand("endpoint", "service, address, zone, cheap, checks_fencing"),
      MakeEntryCommand("zone", "checks_fencing, steady_price_per_hour, cheap_price_per_hour"),
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
       [](CommandContext* context, const Arguments&) { context->out() << BashCompletion(); }},
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

const std::vector<CommandInfo>& ListCommands() {
  static const std::vector<CommandInfo> kCommandInfos = [] {
    std::vector<CommandInfo> infos;
    for (const Command& command : Commands()) {
      infos.push_back(command.info);
    }
    return infos;
  }();
  return kCommandInfos;
}

std::string CommandHelp(const std::string& name) {
  const Command* command = FindCommand(name);
  if (command == nullptr) {
    return "";
  }
  std::string help = "quetzalridgectl [OPTIONS] " + name +
                     (command->info.argument_syntax.empty() ? "" : " " + command->info.argument_syntax) + "\n" +
                     command->info.summary + "\n";
  if (!command->info.details.empty()) {
    help += command->info.details + "\n";
  }
  return help;
}

std::string BashCompletion() {
  std::string commands;
  for (const CommandInfo& info : ListCommands()) {
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

ExitCode RunCommand(const Arguments& arguments, const CommandOptions& options, AdminClient* client, std::ostream& out,
                    std::ostream& err) {
  const Command* command = arguments.empty() ? nullptr : FindCommand(arguments[0]);
  if (command == nullptr) {
    err << "quetzalridgectl: unknown command" << (arguments.empty() ? "" : " '" + arguments[0] + "'")
        << "; see: quetzalridgectl --help\n";
    return ExitCode::kUsage;
  }
  if (command->info.argument_syntax.empty() && arguments.size() > 1) {
    err << "quetzalridgectl: " << arguments[0] << " takes no arguments; leave out '" << arguments[1] << "'\n";
    return ExitCode::kUsage;
  }
  if (arguments[0] == "burn" && arguments.size() > 1) {
    err << "quetzalridgectl: burn takes only the option --html FILE; leave out '" << arguments[1] << "'\n";
    return ExitCode::kUsage;
  }
  if (arguments[0] != "burn" && !options.html_file.empty()) {
    err << "quetzalridgectl: --html belongs to burn; leave it out\n";
    return ExitCode::kUsage;
  }
  CommandContext context(client, options, out);
  try {
    command->function(&context, arguments);
    return ExitCode::kOk;
  } catch (const CommandError& error) {
    err << "quetzalridgectl: " << error.what() << "\n";
    return error.code();
  } catch (const Error& error) {
    err << "quetzalridgectl: " << error.what() << "\n";
    return ExitCode::kRefused;
  }
}

}  // namespace quetzalridge
