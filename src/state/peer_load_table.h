#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// Requests that one instance has in flight on one endpoint.
struct EndpointCount {
  // Of the endpoint's id.
  uint32_t endpoint_hash = 0;
  int in_flight = 0;
  // Of these, the ones without a first token.
  int awaiting_first_token = 0;
};

// The in-flight counts that peers last reported. Each report holds all counts of its sender, so a lost report is made
// good by the next one.
class PeerLoadTable {
 public:
  // Reports of one incarnation that arrive out of order are dropped.
  void OnReport(const std::string& incarnation, uint32_t sequence, const std::vector<EndpointCount>& counts,
                TimePoint now);
  // Sums over the peers that were heard lately.
  EndpointCount Sum(uint32_t endpoint_hash, TimePoint now) const;
  // True when each of these incarnations was heard lately.
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
