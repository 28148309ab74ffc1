#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/config_view.h"
#include "daemon/request_metrics.h"
#include "state/burn_rate.h"

namespace quetzalridge {

// How fast one service uses up its error budget for one workspace.
struct BurnReportEntry {
  std::string service;
  std::string workspace;
  double objective_target = 0.0;
  int64_t objective_latency_ms = 0;
  GoodBadCount last_5_minutes;
  GoodBadCount last_hour;
  double burn_5_minutes = 0.0;
  double burn_hour = 0.0;
  // Bad requests of the last hour by cause.
  std::map<std::string, int64_t> causes;
};

// Request counts and latency histograms of this instance for each service and workspace.
class Metrics : public RequestMetrics {
 public:
  Metrics(const Clock* clock, const ConfigView* config);
  ~Metrics() override;
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void OnRequestEnd(const RequestRecord& record) override;

  // The Prometheus text format.
  std::string Text() const;
  // Lines of the services of the configuration.
  std::vector<BurnReportEntry> BurnReport() const;
  // The same as a JSON object {"services":[...]}.
  std::string BurnReportJson() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace quetzalridge
