#include "tools/experiment/result_table.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ostream>
#include <set>

#include "base/error.h"

namespace quetzalridge {

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0.0;
  }
  const auto rank = std::lround(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[rank];
}

std::vector<const Result*> ResultTable::Find(const std::string& deployment, const std::string& variant,
                                             const std::string& measure) const {
  std::vector<const Result*> found;
  for (const Result& result : m_results) {
    if (result.deployment == deployment && result.variant == variant && result.measure == measure) {
      found.push_back(&result);
    }
  }
  if (found.empty()) {
    throw Error(ErrorCode::kNotFound, "no result of " + variant + " for " + measure + "; add it before asking for it");
  }
  std::sort(found.begin(), found.end(), [](const Result* a, const Result* b) { return a->value < b->value; });
  return found;
}

double ResultTable::Median(const std::string& deployment, const std::string& variant,
                           const std::string& measure) const {
  const std::vector<const Result*> found = Find(deployment, variant, measure);
  return found[found.size() / 2]->value;
}

double ResultTable::Worst(const std::string& deployment, const std::string& variant, const std::string& measure) const {
  const std::vector<const Result*> found = Find(deployment, variant, measure);
  return (found.front()->better == Better::kLower ? found.back() : found.front())->value;
}

void ResultTable::PrintSummary(std::ostream& os) const {
  os << "| deployment | measure | variant | median | worst | unit |\n| --- | --- | --- | --- | --- | --- |\n";
  std::set<std::string> printed;
  for (const Result& result : m_results) {
    if (!printed.insert(result.deployment + '\n' + result.measure + '\n' + result.variant).second) {
      continue;
    }
    os << "| " << result.deployment << " | " << result.measure << " | " << result.variant << " | "
       << std::setprecision(4) << Median(result.deployment, result.variant, result.measure) << " | "
       << Worst(result.deployment, result.variant, result.measure) << " | " << result.unit << " |\n";
  }
}

void ResultTable::WriteCsv(std::ostream& os) const {
  // Names of measures contain commas.
  os << "deployment,variant,measure,unit,seed,value\n";
  for (const Result& result : m_results) {
    os << result.deployment << ',' << result.variant << ",\"" << result.measure << "\"," << result.unit << ','
       << result.seed << ',' << std::setprecision(6) << result.value << '\n';
  }
}

}  // namespace quetzalridge
