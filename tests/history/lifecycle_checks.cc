#include <algorithm>
#include <map>
#include <utility>

#include "tests/history/checks.h"

namespace quetzalridge::history {

namespace {

constexpr int64_t kLeavingBoundMs = 3000;
constexpr int64_t kConfigBoundMs = 5000;
// The page's allowance for the way of a message.
constexpr int64_t kTransferMs = 100;

}  // namespace

Violations CheckLeavingEndpoints(const History& history) {
  Violations violations;
  for (const Leaving& leaving : history.leavings) {
    for (const Execution& execution : history.executions) {
      if (execution.endpoint == leaving.endpoint && execution.ms > leaving.visible_ms + kLeavingBoundMs + kTransferMs) {
        violations.push_back(leaving.endpoint + " got new work " + std::to_string(execution.ms - leaving.visible_ms) +
                             " ms after it was shown as leaving");
      }
    }
  }
  return violations;
}

Violations CheckPlannedStops(const History& history) {
  Violations violations;
  for (const PlannedStop& stop : history.planned_stops) {
    if (!stop.exited_cleanly) {
      violations.push_back(stop.instance + " did not end cleanly after a planned stop");
    }
    for (const Call& call : history.calls) {
      const bool was_in_flight = call.instance == stop.instance && call.started_ms < stop.signalled_ms - kTransferMs &&
                                 call.ended_ms > stop.signalled_ms;
      if (was_in_flight && call.outcome != Outcome::kOk) {
        violations.push_back("the planned stop of " + stop.instance + " cut off call " + call.hash);
      }
    }
  }
  return violations;
}

Violations CheckConfiguration(const History& history) {
  Violations violations;
  std::map<int64_t, std::string> accepted;
  for (const ConfigCommit& change : history.config_accepted) {
    const auto [it, is_first] = accepted.emplace(change.version, change.change);
    if (!is_first && it->second != change.change) {
      violations.push_back("version " + std::to_string(change.version) + " was accepted for two changes");
    }
  }
  std::map<std::pair<std::string, int>, int64_t> seen;
  for (const ConfigObservation& observation : history.config_observations) {
    int64_t& highest = seen[{observation.instance, observation.incarnation}];
    if (observation.version < highest) {
      violations.push_back(observation.instance + " went back from version " + std::to_string(highest) + " to " +
                           std::to_string(observation.version));
    }
    highest = std::max(highest, observation.version);
    for (const ConfigCommit& commit : history.config_commits) {
      if (observation.is_serving && observation.version < commit.version &&
          observation.ms > commit.ms + kConfigBoundMs + kTransferMs) {
        violations.push_back(observation.instance + " served with version " + std::to_string(observation.version) +
                             " later than 5 s after version " + std::to_string(commit.version) + " was committed");
        break;
      }
    }
  }
  return violations;
}

const std::vector<NamedCheck>& AllChecks() {
  static const std::vector<NamedCheck> checks = {
      {"1 sample versions", CheckSampleVersions},   {"2 sample freshness", CheckSampleFreshness},
      {"3 sample delivery", CheckSampleDelivery},   {"4 workspace isolation", CheckWorkspaceIsolation},
      {"5 key secrecy", CheckKeySecrecy},           {"6 key withdrawal", CheckKeyWithdrawal},
      {"7 order holder", CheckOrderHolder},         {"8 usage reports", CheckUsageReports},
      {"9 whole answers", CheckWholeAnswers},       {"10 not run", CheckNotRun},
      {"11 at most once", CheckAtMostOnce},         {"12 leaving endpoints", CheckLeavingEndpoints},
      {"13 planned stops", CheckPlannedStops},      {"14 configuration", CheckConfiguration},
      {"crash containment", CheckCrashContainment},
  };
  return checks;
}

}  // namespace quetzalridge::history
