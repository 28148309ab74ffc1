#include "daemon/metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

namespace quetzalridge {

namespace {

namespace bh = boost::histogram;

// The buckets of the latency histograms: five for each power of ten.
constexpr int kHistogramBins = 30;
constexpr double kHistogramMinSeconds = 0.0001;
constexpr double kHistogramMaxSeconds = 100.0;
// The windows of the burn report.
constexpr Duration kShortBurnWindow = Duration::Seconds(300);
constexpr Duration kLongBurnWindow = Duration::Seconds(3600);

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram =
    decltype(bh::make_histogram(LogAxis(kHistogramBins, kHistogramMinSeconds, kHistogramMaxSeconds)));

constexpr std::pair<RequestOutcome, std::string_view> kOutcomeNames[] = {
    {RequestOutcome::kSucceeded, "succeeded"},
    {RequestOutcome::kRefused, "refused"},
    {RequestOutcome::kFailed, "failed"},
    {RequestOutcome::kCallerError, "caller_error"},
};

std::string_view OutcomeName(RequestOutcome outcome) {
  for (const auto& [value, name] : kOutcomeNames) {
    if (value == outcome) {
      return name;
    }
  }
  throw std::logic_error("unknown value of RequestOutcome; add it to kOutcomeNames");
}

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.ms()) / 1000.0;
}

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", value);
  return text;
}

std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (char c : value) {
    if (c == '\\' || c == '"') {
      escaped.push_back('\\');
    }
    escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return escaped;
}

// A latency histogram that can be written in the Prometheus text format, as cumulative buckets, sum and count.
struct PrometheusHistogram {
  LatencyHistogram histogram = bh::make_histogram(LogAxis(kHistogramBins, kHistogramMinSeconds, kHistogramMaxSeconds));
  double sum_seconds = 0.0;
  int64_t count = 0;

  void Add(Duration latency) {
    // A latency can be 0 because the clock has a resolution of 1 ms, but 0 has no logarithm. Such a latency is counted
    // below the lowest bucket.
    const double seconds = std::max(ToSeconds(latency), kHistogramMinSeconds / 2);
    histogram(seconds);
    sum_seconds += seconds;
    ++count;
  }

  void Write(const std::string& name, const std::string& labels, std::string* text) const {
    const LogAxis& axis = histogram.axis();
    double cumulative = static_cast<double>(histogram.at(-1));
    for (int bin = 0; bin < axis.size(); ++bin) {
      cumulative += static_cast<double>(histogram.at(bin));
      *text += name + "_bucket{" + labels + ",le=\"" + FormatNumber(axis.bin(bin).upper()) + "\"} " +
               std::to_string(static_cast<int64_t>(cumulative)) + "\n";
    }
    *text += name + "_bucket{" + labels + ",le=\"+Inf\"} " + std::to_string(count) + "\n";
    *text += name + "_sum{" + labels + "} " + FormatNumber(sum_seconds) + "\n";
    *text += name + "_count{" + labels + "} " + std::to_string(count) + "\n";
  }
};

// The metrics of one service and workspace.
struct Series {
  std::map<RequestOutcome, int64_t> outcomes;
  PrometheusHistogram latency;
  PrometheusHistogram first_byte;
};

void WriteHeader(const std::string& name, const char* type, const char* help, std::string* text) {
  *text += "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

}  // namespace

class Metrics::Impl {
 public:
  Impl(const Clock* clock, const ConfigView* config) : m_clock(clock), m_config(config) {}

  void Add(const RequestRecord& record) {
    Series& series = m_series[{record.service, record.workspace}];
    ++series.outcomes[record.outcome];
    series.latency.Add(record.latency);
    if (record.first_byte.has_value()) {
      series.first_byte.Add(*record.first_byte);
    }
    // Errors of the caller do not use up the error budget of the service.
    if (record.outcome != RequestOutcome::kCallerError) {
      BurnCounters& counters = m_burn_counters[{record.service, record.workspace}];
      const bool good = IsGood(record);
      counters.requests.Add(good, m_clock->Now());
      if (!good) {
        counters.causes[CauseOf(record)].Add(false, m_clock->Now());
      }
    }
  }

  std::string Text() const {
    std::string text;
    WriteHeader("quetzalridge_requests_total", "counter", "Requests by outcome.", &text);
    for (const auto& [key, series] : m_series) {
      for (const auto& [outcome, count] : series.outcomes) {
        text += "quetzalridge_requests_total{" + Labels(key) + ",outcome=\"" + std::string(OutcomeName(outcome)) +
                "\"} " + std::to_string(count) + "\n";
      }
    }
    WriteHistograms("quetzalridge_request_seconds", "Time from the request to the end of its answer.", &Series::latency,
                    &text);
    WriteHistograms("quetzalridge_first_token_seconds", "Time from the request to the first piece of its answer.",
                    &Series::first_byte, &text);
    return text;
  }

  // Returns one entry for each workspace that has used a service, and one with an empty workspace for each service
  // without requests.
  std::vector<BurnReportEntry> BurnReport() const {
    std::vector<BurnReportEntry> entries;
    for (const auto& [name, service] : m_config->document().services()) {
      const size_t previous_size = entries.size();
      for (auto it = m_burn_counters.lower_bound({name, ""}); it != m_burn_counters.end() && it->first.first == name;
           ++it) {
        entries.push_back(MakeBurnReportEntry(it->first, it->second));
      }
      if (entries.size() == previous_size) {
        entries.push_back(MakeBurnReportEntry({name, ""}, BurnCounters()));
      }
    }
    return entries;
  }

 private:
  // Service and workspace.
  using SeriesKey = std::pair<std::string, std::string>;

  // Counts good and bad requests, and the bad ones also by cause.
  struct BurnCounters {
    BurnRate requests;
    std::map<std::string_view, BurnRate> causes;
  };

  BurnReportEntry MakeBurnReportEntry(const SeriesKey& key, const BurnCounters& counters) const {
    const ProfileConfig profile = ProfileOf(key.first);
    const TimePoint now = m_clock->Now();
    BurnReportEntry entry;
    entry.service = key.first;
    entry.workspace = key.second;
    entry.objective_target = profile.objective_target;
    entry.objective_latency_ms = profile.objective_latency_ms;
    entry.last_5_minutes = counters.requests.Count(kShortBurnWindow, now);
    entry.last_hour = counters.requests.Count(kLongBurnWindow, now);
    entry.burn_5_minutes = BurnRate::Rate(entry.last_5_minutes, profile.objective_target);
    entry.burn_hour = BurnRate::Rate(entry.last_hour, profile.objective_target);
    for (const auto& [cause, rate] : counters.causes) {
      entry.causes[std::string(cause)] = rate.Count(kLongBurnWindow, now).bad;
    }
    return entry;
  }

  static std::string_view CauseOf(const RequestRecord& record) {
    switch (record.outcome) {
      case RequestOutcome::kRefused:
        return "shed";
      case RequestOutcome::kFailed:
        return "errors";
      default:
        return "slow";
    }
  }

  static std::string Labels(const SeriesKey& key) {
    return "service=\"" + EscapeLabel(key.first) + "\",workspace=\"" + EscapeLabel(key.second) + "\"";
  }

  void WriteHistograms(const std::string& name, const char* help, PrometheusHistogram Series::*member,
                       std::string* text) const {
    WriteHeader(name, "histogram", help, text);
    for (const auto& [key, series] : m_series) {
      (series.*member).Write(name, Labels(key), text);
    }
  }

  ProfileConfig ProfileOf(const std::string& service_name) const {
    const ConfigDocument& document = m_config->document();
    const auto service = document.services().find(service_name);
    if (service == document.services().end()) {
      return {};
    }
    const auto profile = document.profiles().find(service->second.profile);
    return profile == document.profiles().end() ? ProfileConfig() : profile->second;
  }

  // A request is good if it succeeded within the objective latency. For a streamed response this is the time to the
  // first byte, because the time to its end depends on the length that the caller has asked for.
  bool IsGood(const RequestRecord& record) const {
    const Duration measured_latency = record.streamed ? record.first_byte.value_or(record.latency) : record.latency;
    return record.outcome == RequestOutcome::kSucceeded &&
           measured_latency.ms() <= ProfileOf(record.service).objective_latency_ms;
  }

  const Clock* m_clock;
  const ConfigView* m_config;
  std::map<SeriesKey, Series> m_series;
  std::map<SeriesKey, BurnCounters> m_burn_counters;
};

Metrics::Metrics(const Clock* clock, const ConfigView* config) : m_impl(std::make_unique<Impl>(clock, config)) {}

Metrics::~Metrics() = default;

void Metrics::OnRequestEnd(const RequestRecord& record) {
  m_impl->Add(record);
}

std::string Metrics::Text() const {
  return m_impl->Text();
}

std::vector<BurnReportEntry> Metrics::BurnReport() const {
  return m_impl->BurnReport();
}

std::string Metrics::BurnReportJson() const {
  nlohmann::json services = nlohmann::json::array();
  for (const BurnReportEntry& entry : m_impl->BurnReport()) {
    services.push_back({{"service", entry.service},
                        {"workspace", entry.workspace},
                        {"objective_ms", entry.objective_latency_ms},
                        {"target", entry.objective_target},
                        {"requests", entry.last_hour.good + entry.last_hour.bad},
                        {"bad", entry.last_hour.bad},
                        {"requests_5m", entry.last_5_minutes.good + entry.last_5_minutes.bad},
                        {"bad_5m", entry.last_5_minutes.bad},
                        {"budget_left", 1.0 - entry.burn_hour},
                        {"burn_5m", entry.burn_5_minutes},
                        {"burn_1h", entry.burn_hour},
                        {"consumed_by", entry.causes}});
  }
  return nlohmann::json{{"services", services}}.dump() + "\n";
}

}  // namespace quetzalridge
