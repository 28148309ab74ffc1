#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/config_view.h"
#include "coordination/order_target_source.h"
#include "coordination/peer_message.h"
#include "state/admission.h"
#include "state/quarantine.h"

namespace quetzalridge {

// Creates the digests that this instance sends to its peers, with its demand and the crash counts of its requests.
// Passes the contents of received digests to admission and quarantine, and sums up the demand of all instances.
class PeerExchange {
 public:
  PeerExchange(const Clock* clock, const ConfigView* config, AdmissionPolicy* admission, Quarantine* quarantine)
      : m_clock(clock), m_config(config), m_admission(admission), m_quarantine(quarantine) {}

  PeerDigest MakeDigest() const;
  // Must be called with each digest that is received. `round_duration` is the time in which each peer sends one digest.
  void OnDigest(const std::string& incarnation, const PeerDigest& digest, Duration round_duration);
  // Returns the running and waiting requests of the service on this instance and on all peers with a valid report.
  ServiceDemand DemandOf(const std::string& service) const;

 private:
  // The demand that a peer has sent last.
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
  // By incarnation.
  std::map<std::string, Report> m_reports;
  Duration m_report_lifetime;
};

}  // namespace quetzalridge
