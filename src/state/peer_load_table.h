#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// Requests that one instance has in flight on one endpoint.
struct EndpointCount {
  // Hash of the endpoint's id.
  uint32_t endpoint_hash = 0;
  int in_flight = 0;
  // Those of in_flight that have not returned their first token.
  int awaiting_first_token = 0;
};

// The in-flight counts that the peers have reported last. Each report holds all counts of its sender, so a lost report
// is replaced by the next one. Peers are identified by their incarnation, which is new for each start of the process.
class PeerLoadTable {
 public:
  // Stores a report. A report that is older than the last one of the same incarnation is dropped.
  void OnReport(const std::string& incarnation, uint32_t sequence, const std::vector<EndpointCount>& counts,
                TimePoint now);
  // Returns the sum of the counts for one endpoint, over all peers with a recent report.
  EndpointCount Sum(uint32_t endpoint_hash, TimePoint now) const;
  // Returns whether there is a recent report of each of these incarnations.
  bool HasReportsFrom(const std::vector<std::string>& incarnations, TimePoint now) const;

 private:
  struct Report {
    uint32_t sequence = 0;
    TimePoint at;
    std::map<uint32_t, EndpointCount> counts;
  };

  std::map<std::string, Report> m_reports;
};

}  // namespace quetzalridge
