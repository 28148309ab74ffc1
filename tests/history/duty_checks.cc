#include <map>

#include "tests/history/checks.h"

namespace quetzalridge::history {

namespace {

const std::string kUsageDuty = "usage";
const std::string kOrderDutyPrefix = "order/";

// Whether `holder` held the lease of `duty` with the epoch at the given time, by the commits of the table.
bool HeldLease(const History& history, const std::string& duty, const std::string& holder, int64_t epoch, int64_t ms) {
  const LeaseCommit* current = nullptr;
  for (const LeaseCommit& commit : history.lease_commits) {
    if (commit.duty == duty && commit.ms <= ms) {
      current = &commit;
    }
  }
  return current != nullptr && current->holder == holder && current->epoch == epoch;
}

}  // namespace

Violations CheckOrderHolder(const History& history) {
  Violations violations;
  std::map<std::string, Order> newest;
  for (const Order& order : history.orders) {
    const std::string name = "an order for " + order.zone + " by " + order.holder + " with fence " +
                             std::to_string(order.fence) + " and sequence " + std::to_string(order.sequence);
    if (!HeldLease(history, kOrderDutyPrefix + order.zone, order.holder, order.fence, order.ms)) {
      violations.push_back(name + " arrived while its sender did not hold the duty");
    }
    const auto [it, is_first] = newest.emplace(order.zone, order);
    if (is_first) {
      continue;
    }
    const Order& last = it->second;
    if (order.fence < last.fence || (order.fence == last.fence && order.holder != last.holder)) {
      violations.push_back(name + " arrived after one by " + last.holder + " with fence " + std::to_string(last.fence));
    }
    if (order.fence >= last.fence) {
      it->second = order;
    }
  }
  return violations;
}

Violations CheckUsageReports(const History& history) {
  Violations violations;
  std::map<std::string, std::string> figures;
  for (const UsageReport& report : history.usage_reports) {
    const std::string name = "window " + report.window + " of workspace " + report.workspace;
    const auto [it, is_first] = figures.emplace(report.workspace + "/" + report.window, report.figures);
    if (!is_first && it->second != report.figures) {
      violations.push_back(name + " was reported with different figures: " + it->second + " and " + report.figures);
    }
    if (!HeldLease(history, kUsageDuty, report.holder, report.fence, report.ms)) {
      violations.push_back(name + " was reported by " + report.holder + ", which did not hold the duty");
    }
  }
  return violations;
}

}  // namespace quetzalridge::history
