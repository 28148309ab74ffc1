#include "placement/cost_model.h"

#include <algorithm>
#include <cmath>

namespace quetzalridge {

namespace {

// The weight of a result falls by half after about this many further ones times 0.7: two or three jobs.
constexpr int kMemory = 400;
// Fewer results do not show whether an estimate is of use. A job has 104 items or more.
constexpr int kMinResults = 40;
// Predictions are used if the mean of their squared errors is at most this fraction of that of the mean length. Both
// are taken from the same items: the results of a job arrive in the order of their lengths, so its first results have a
// smaller spread than all.
constexpr double kMaxErrorFraction = 0.5;
// Workspaces come from the operator's configuration. The bound limits the memory to some tens of KB.
constexpr size_t kMaxClasses = 64;
// Open jobs of an instance have a few dozen groups each. The entries take some 200 bytes each.
constexpr size_t kMaxGroups = 1024;

double LogOf(int64_t number) {
  return std::log(static_cast<double>(std::max<int64_t>(number, 1)));
}

// The route is written before the workspace, so a route alone is a key of its own.
std::string RouteKey(const ItemTraits& traits) {
  return traits.route;
}
std::string WorkspaceKey(const ItemTraits& traits) {
  return traits.route + '\n' + traits.workspace;
}

}  // namespace

void LineFit::Add(double x, double y) {
  m_count = std::min(m_count + 1, kMemory);
  const double weight = 1.0 / m_count;
  const double dx = x - m_mean_x;
  const double dy = y - m_mean_y;
  m_mean_x += weight * dx;
  m_mean_y += weight * dy;
  m_xx += weight * (dx * (x - m_mean_x) - m_xx);
  m_xy += weight * (dx * (y - m_mean_y) - m_xy);
}

double LineFit::DeviationAt(double x) const {
  constexpr double kMinSpread = 1e-6;
  return m_count >= kMinResults && m_xx > kMinSpread ? m_xy / m_xx * (x - m_mean_x) : 0.0;
}

// All lines share one mean. A mean of its own for what is left unexplained would follow the order in which the results
// of a job arrive, shortest first, and would seem to predict them.
CostModel::LogPrediction CostModel::PredictLog(const Class& results, const ItemTraits& traits) {
  LogPrediction prediction;
  prediction.by_hint = results.lengths.MeanOfY();
  if (traits.length_hint > 0) {
    prediction.by_hint += results.by_hint.DeviationAt(LogOf(traits.length_hint));
  }
  prediction.without_group = prediction.by_hint;
  if (traits.requested_tokens > 0) {
    prediction.without_group += results.by_requested_tokens.DeviationAt(LogOf(traits.requested_tokens));
  }
  prediction.value = prediction.without_group;
  if (traits.group_deviation.has_value()) {
    prediction.value += results.by_group.DeviationAt(*traits.group_deviation);
  }
  return prediction;
}

LengthPrediction CostModel::Predict(const ItemTraits& traits) const {
  LengthPrediction prediction;
  for (const std::string& key : {WorkspaceKey(traits), RouteKey(traits)}) {
    const auto found = m_classes.find(key);
    if (found == m_classes.end() || found->second.error_count < kMinResults) {
      continue;
    }
    const Class& results = found->second;
    prediction.events = std::exp(PredictLog(results, traits).value);
    prediction.log_error = std::sqrt(results.squared_error);
    prediction.usable = results.squared_error <= kMaxErrorFraction * results.squared_error_of_mean;
    return prediction;
  }
  return prediction;
}

// One more item, with no deviation, keeps a single result from counting as much as several.
std::optional<double> CostModel::GroupDeviation(const std::string& group) const {
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? std::nullopt : std::optional<double>(found->second.sum / (found->second.count + 1));
}

void CostModel::OnFinished(const ItemTraits& traits, int64_t events) {
  const double log_length = LogOf(events);
  Class* of_route = FindOrAdd(RouteKey(traits));
  const double unexplained = log_length - PredictLog(*of_route, traits).without_group;
  const bool is_known = of_route->lengths.count() > 0;
  Learn(of_route, traits, log_length);
  Learn(FindOrAdd(WorkspaceKey(traits)), traits, log_length);
  if (!is_known || traits.group.empty()) {
    return;
  }
  const auto [group, is_new] = m_groups.try_emplace(traits.group);
  group->second.sum += unexplained;
  ++group->second.count;
  if (is_new) {
    m_group_order.push_back(traits.group);
    if (m_group_order.size() > kMaxGroups) {
      m_groups.erase(m_group_order.front());
      m_group_order.pop_front();
    }
  }
}

void CostModel::Learn(Class* results, const ItemTraits& traits, double log_length) {
  const LogPrediction prediction = PredictLog(*results, traits);
  if (traits.length_hint > 0) {
    results->by_hint.Add(LogOf(traits.length_hint), log_length);
  }
  if (traits.requested_tokens > 0) {
    results->by_requested_tokens.Add(LogOf(traits.requested_tokens), log_length - prediction.by_hint);
  }
  if (traits.group_deviation.has_value()) {
    results->by_group.Add(*traits.group_deviation, log_length - prediction.without_group);
  }
  if (results->lengths.count() >= kMinResults) {
    results->error_count = std::min(results->error_count + 1, kMemory);
    const double error = log_length - prediction.value;
    const double error_of_mean = log_length - results->lengths.MeanOfY();
    results->squared_error += (error * error - results->squared_error) / results->error_count;
    results->squared_error_of_mean +=
        (error_of_mean * error_of_mean - results->squared_error_of_mean) / results->error_count;
  }
  results->lengths.Add(0.0, log_length);
}

CostModel::Class* CostModel::FindOrAdd(const std::string& key) {
  Class& results = m_classes[key];
  results.last_use = ++m_uses;
  if (m_classes.size() > kMaxClasses) {
    m_classes.erase(std::min_element(m_classes.begin(), m_classes.end(), [](const auto& a, const auto& b) {
      return a.second.last_use < b.second.last_use;
    }));
  }
  return &results;
}

}  // namespace quetzalridge
