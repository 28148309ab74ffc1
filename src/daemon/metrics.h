#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/config_view.h"
#include "daemon/request_metrics.h"
#include "state/burn_rate.h"

namespace quetzalridge {

// Requests of one workspace to one service, measured against the service level objective of the service.
struct BurnReportEntry {
  std::string service;
  std::string workspace;
  double objective_target = 0.0;
  int64_t objective_latency_ms = 0;
  GoodBadCount last_5_minutes;
  GoodBadCount last_hour;
  // Burn rates; see BurnRate::Rate.
  double burn_5_minutes = 0.0;
  double burn_hour = 0.0;
  // Number of bad requests of the last hour by cause: "shed", "errors" or "slow".
  std::map<std::string, int64_t> causes;
};

// Collects request counts, latency histograms and error budget burn rates of this instance for each service and
// workspace.
class Metrics : public RequestMetrics {
 public:
  Metrics(const Clock* clock, const ConfigView* config);
  ~Metrics() override;
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void OnRequestEnd(const RequestRecord& record) override;

  // Returns request counts and latency histograms in the Prometheus text format.
  std::string Text() const;
  // Returns the burn rates of the services that are in the configuration.
  std::vector<BurnReportEntry> BurnReport() const;
  // Returns the burn report as a JSON object {"services":[...]}.
  std::string BurnReportJson() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace quetzalridge
