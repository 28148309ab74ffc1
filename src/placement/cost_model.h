#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace quetzalridge {

// What is known about the length of an item before it runs. The estimates are 0 if unknown.
struct ItemTraits {
  std::string route;
  std::string workspace;
  // Identifies the group among the groups of all jobs.
  std::string group;
  // The caller's estimate of the number of generated tokens.
  int64_t length_hint = 0;
  // Tokens of the prompt and the largest number of output tokens.
  int64_t requested_tokens = 0;
  // See CostModel::GroupDeviation. Absent if no item of the group has finished.
  std::optional<double> group_deviation;
};

// The predicted number of events of an item.
struct LengthPrediction {
  double events = 0.0;
  // Standard deviation of the natural logarithm of the ratio of actual to predicted length.
  double log_error = 0.0;
  // False if there are too few results, or if the predictions so far were hardly better than the mean of all items. The
  // caller must then decide without the prediction.
  bool usable = false;
};

// A line fitted to pairs of numbers by least squares, in which later pairs have more weight.
class LineFit {
 public:
  void Add(double x, double y);
  // By how much the value of the line at x differs from the mean of y.
  double DeviationAt(double x) const;
  double MeanOfY() const { return m_mean_y; }
  int count() const { return m_count; }

 private:
  int m_count = 0;
  double m_mean_x = 0.0;
  double m_mean_y = 0.0;
  double m_xx = 0.0;
  double m_xy = 0.0;
};

// Predicts the lengths of items from the results of earlier ones. It works on logarithms, since the errors of the
// estimates are ratios and lengths have long tails. A fitted line per source of information gives each source the
// weight that it has earned: the line of estimates that say nothing is flat.
class CostModel {
 public:
  LengthPrediction Predict(const ItemTraits& traits) const;
  // By how much the logarithms of the lengths of the group's finished items differ from what was predicted without the
  // group. Nothing if none has finished.
  std::optional<double> GroupDeviation(const std::string& group) const;
  // Records the number of events of an item that has finished. `traits` are those of its start: the items that finish
  // in between are the short ones, and a prediction that used them could not have been made.
  void OnFinished(const ItemTraits& traits, int64_t events);

 private:
  // The results of one route and workspace, or of one route.
  struct Class {
    LineFit by_hint;
    // Fitted to what the mean and the previous lines left unexplained.
    LineFit by_requested_tokens;
    LineFit by_group;
    // Lengths without any information on the item.
    LineFit lengths;
    // Mean squared errors of the predictions, and of the mean length as a prediction, for the same items. None of them
    // used the result of its item.
    double squared_error = 0.0;
    double squared_error_of_mean = 0.0;
    int error_count = 0;
    int64_t last_use = 0;
  };
  // The deviations of the finished items of a group from the predictions without the group.
  struct GroupResults {
    double sum = 0.0;
    int count = 0;
  };
  // The logarithm of a predicted length, and its parts.
  struct LogPrediction {
    double by_hint = 0.0;
    double without_group = 0.0;
    double value = 0.0;
  };

  static LogPrediction PredictLog(const Class& results, const ItemTraits& traits);
  static void Learn(Class* results, const ItemTraits& traits, double log_length);
  Class* FindOrAdd(const std::string& key);

  std::map<std::string, Class> m_classes;
  std::map<std::string, GroupResults> m_groups;
  // The keys of m_groups, oldest first.
  std::deque<std::string> m_group_order;
  int64_t m_uses = 0;
};

}  // namespace quetzalridge
