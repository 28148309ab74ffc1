#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace quetzalridge {

enum class Better {
  kLower,
  kHigher,
};

// One measured value of one seed.
struct Result {
  std::string deployment;
  // The decision or the baseline.
  std::string variant;
  std::string measure;
  std::string unit;
  Better better = Better::kLower;
  uint64_t seed = 0;
  double value = 0;
};

// Collects results and summarizes them by median and worst seed.
class ResultTable {
 public:
  void Add(Result result) { m_results.push_back(std::move(result)); }
  // Median over the seeds; throws Error(kNotFound) when there is no such result.
  double Median(const std::string& deployment, const std::string& variant, const std::string& measure) const;
  double Worst(const std::string& deployment, const std::string& variant, const std::string& measure) const;

  void PrintSummary(std::ostream& os) const;
  void WriteCsv(std::ostream& os) const;

 private:
  std::vector<const Result*> Find(const std::string& deployment, const std::string& variant,
                                  const std::string& measure) const;

  std::vector<Result> m_results;
};

// The value below which `fraction` of the values lie; 0 for none.
double Percentile(std::vector<double> values, double fraction);

}  // namespace quetzalridge
