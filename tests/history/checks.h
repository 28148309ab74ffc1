#pragma once

#include <vector>

#include "tests/history/history.h"

namespace quetzalridge::history {

// One pure check for each guarantee of section 1.2 of docs/design.md, by its number.

Violations CheckSampleVersions(const History& history);      // 1
Violations CheckSampleFreshness(const History& history);     // 2
Violations CheckSampleDelivery(const History& history);      // 3
Violations CheckWorkspaceIsolation(const History& history);  // 4
Violations CheckKeySecrecy(const History& history);          // 5
Violations CheckKeyWithdrawal(const History& history);       // 6
Violations CheckOrderHolder(const History& history);         // 7
Violations CheckUsageReports(const History& history);        // 8
Violations CheckWholeAnswers(const History& history);        // 9
Violations CheckNotRun(const History& history);              // 10
Violations CheckAtMostOnce(const History& history);          // 11
Violations CheckLeavingEndpoints(const History& history);    // 12
Violations CheckPlannedStops(const History& history);        // 13
Violations CheckConfiguration(const History& history);       // 14
// Section 1.5: a request that crashes endpoints is stopped after two crashes.
Violations CheckCrashContainment(const History& history);

struct NamedCheck {
  const char* name;
  Violations (*check)(const History&);
};

const std::vector<NamedCheck>& AllChecks();

}  // namespace quetzalridge::history
