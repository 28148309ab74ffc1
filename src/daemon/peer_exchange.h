#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/config_view.h"
#include "coordination/order_targets.h"
#include "coordination/peer_message.h"
#include "state/admission.h"
#include "state/quarantine.h"

namespace quetzalridge {

// Tells peers this instance's demand and crash counts, and passes on what they tell.
class PeerExchange {
 public:
  PeerExchange(const Clock* clock, const ConfigView* config, AdmissionPolicy* admission, Quarantine* quarantine)
      : m_clock(clock), m_config(config), m_admission(admission), m_quarantine(quarantine) {}

  PeerDigest MakeDigest() const;
  // `round` is the time in which each peer reports once.
  void OnDigest(const std::string& incarnation, const PeerDigest& digest, Duration round_duration);
  // Running and waiting requests of the service over all instances that were heard lately.
  ServiceDemand DemandOf(const std::string& service) const;

 private:
  struct Report {
    TimePoint received_at;
    std::vector<WorkspaceDemand> demand;
  };

  void RemoveExpiredReports(TimePoint now);
  std::vector<WorkspaceDemand> ResolveNames(const std::vector<PeerDemand>& demand) const;

  const Clock* m_clock;
  const ConfigView* m_config;
  AdmissionPolicy* m_admission;
  Quarantine* m_quarantine;
  std::map<std::string, Report> m_reports;
  Duration m_report_lifetime;
};

}  // namespace quetzalridge
