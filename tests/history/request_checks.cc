#include <algorithm>
#include <cctype>
#include <map>
#include <set>

#include "standins/common/token_text.h"
#include "tests/history/checks.h"

namespace quetzalridge::history {

namespace {

constexpr int64_t kWithdrawalBoundMs = 5000;
// The page's allowance for the way from an instance to the caller.
constexpr int64_t kTransferMs = 100;
constexpr size_t kMaxCrashes = 2;

std::string Name(const Call& call) {
  return "call " + call.hash + " to " + call.instance;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

int HexDigit(char c) {
  return std::isdigit(static_cast<unsigned char>(c)) != 0 ? c - '0' : std::tolower(c) - 'a' + 10;
}

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool is_escape =
        text[i] == '%' && i + 2 < text.size() && std::isxdigit(text[i + 1]) != 0 && std::isxdigit(text[i + 2]) != 0;
    if (is_escape) {
      decoded.push_back(static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::map<std::string, std::vector<const Execution*>> ExecutionsByHash(const History& history) {
  std::map<std::string, std::vector<const Execution*>> result;
  for (const Execution& execution : history.executions) {
    result[execution.hash].push_back(&execution);
  }
  return result;
}

bool IsWholeCompletion(const Call& call) {
  const auto tokens = ParseTokens(call.text);
  if (!tokens || static_cast<int64_t>(tokens->size()) != call.expected_tokens) {
    return false;
  }
  int64_t index = 0;
  for (const AnswerToken& token : *tokens) {
    if (token.prompt_hash != call.hash || token.index != index++) {
      return false;
    }
  }
  return true;
}

}  // namespace

Violations CheckWorkspaceIsolation(const History& history) {
  Violations violations;
  const auto executions = ExecutionsByHash(history);
  std::set<std::string> authorized;
  for (const Call& call : history.calls) {
    if (call.is_authorized || call.is_open_route) {
      authorized.insert(call.hash);
    }
  }
  for (const Call& call : history.calls) {
    if (call.is_authorized || call.is_open_route) {
      continue;
    }
    if (call.outcome == Outcome::kOk) {
      violations.push_back(Name(call) + " was answered without a valid key of its workspace");
    }
    if (executions.count(call.hash) != 0 && authorized.count(call.hash) == 0) {
      violations.push_back(Name(call) + " ran without a valid key of its workspace");
    }
  }
  return violations;
}

Violations CheckKeySecrecy(const History& history) {
  Violations violations;
  const std::set<std::string> forbidden = {"authorization", "x-api-key", "cookie", "proxy-authorization"};
  for (const EndpointRequest& request : history.endpoint_requests) {
    std::string all = request.target + "\n" + PercentDecode(request.target) + "\n" + request.body;
    for (const auto& [name, value] : request.headers) {
      all += "\n" + name + "\n" + value;
      if (forbidden.count(LowerCase(name)) != 0) {
        violations.push_back(request.endpoint + " received the header " + name);
      }
    }
    all = LowerCase(all);
    for (const std::string& secret : history.secrets) {
      if (all.find(LowerCase(secret)) != std::string::npos) {
        violations.push_back(request.endpoint + " received a caller's key with " + request.target);
      }
    }
  }
  return violations;
}

Violations CheckKeyWithdrawal(const History& history) {
  Violations violations;
  const auto executions = ExecutionsByHash(history);
  for (const Withdrawal& withdrawal : history.withdrawals) {
    const int64_t end_ms = withdrawal.committed_ms + kWithdrawalBoundMs;
    for (const Call& call : history.calls) {
      if (call.key != withdrawal.key || call.is_open_route) {
        continue;
      }
      const bool got_data = call.status == 200 && call.last_piece_ms > end_ms + kTransferMs;
      if (got_data) {
        violations.push_back(Name(call) + " got data " + std::to_string(call.last_piece_ms - withdrawal.committed_ms) +
                             " ms after its key was withdrawn");
      }
      const auto ran = executions.find(call.hash);
      if (ran == executions.end()) {
        continue;
      }
      for (const Execution* execution : ran->second) {
        if (execution->ms > end_ms + kTransferMs) {
          violations.push_back(Name(call) + " ran " + std::to_string(execution->ms - withdrawal.committed_ms) +
                               " ms after its key was withdrawn");
        }
      }
    }
  }
  return violations;
}

Violations CheckWholeAnswers(const History& history) {
  Violations violations;
  for (const Call& call : history.calls) {
    if (call.outcome != Outcome::kOk) {
      continue;
    }
    const bool is_right = call.expected_tokens > 0 ? IsWholeCompletion(call) : call.text == call.hash;
    if (!is_right) {
      violations.push_back(Name(call) + " with " + std::to_string(call.expected_tokens) +
                           " tokens ended as whole with another answer: '" + call.text + "'");
    }
  }
  return violations;
}

Violations CheckNotRun(const History& history) {
  Violations violations;
  const auto executions = ExecutionsByHash(history);
  std::map<std::string, int> calls_of_hash;
  for (const Call& call : history.calls) {
    ++calls_of_hash[call.hash];
  }
  for (const Call& call : history.calls) {
    // Of a repeated operation, another attempt may have run.
    if (call.ran == "no" && calls_of_hash[call.hash] == 1 && executions.count(call.hash) != 0) {
      violations.push_back(Name(call) + " was refused as not run, but it ran");
    }
  }
  return violations;
}

Violations CheckAtMostOnce(const History& history) {
  Violations violations;
  const auto executions = ExecutionsByHash(history);
  std::set<std::string> seen;
  for (const Call& call : history.calls) {
    const auto ran = executions.find(call.hash);
    if (call.is_idempotent || ran == executions.end() || !seen.insert(call.hash).second) {
      continue;
    }
    if (ran->second.size() > 1) {
      violations.push_back("the non-idempotent " + Name(call) + " ran " + std::to_string(ran->second.size()) +
                           " times");
    }
  }
  return violations;
}

Violations CheckCrashContainment(const History& history) {
  std::map<std::string, size_t> crashes;
  for (const Crash& crash : history.crashes) {
    ++crashes[crash.cause];
  }
  Violations violations;
  for (const auto& [cause, count] : crashes) {
    if (count > kMaxCrashes) {
      violations.push_back("one request crashed endpoints " + std::to_string(count) + " times: " + cause);
    }
  }
  return violations;
}

}  // namespace quetzalridge::history
