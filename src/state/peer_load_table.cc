#include "state/peer_load_table.h"

#include <algorithm>
#include <iterator>

namespace quetzalridge {

namespace {

// Peers report at least once a second. After this time, three reports in a row were lost or the peer has stopped.
constexpr Duration kReportLifetime = Duration::Seconds(3);

}  // namespace

void PeerLoadTable::OnReport(const std::string& incarnation, uint32_t sequence,
                             const std::vector<EndpointCount>& counts, TimePoint now) {
  Report& report = m_reports[incarnation];
  if (sequence <= report.sequence) {
    return;
  }
  report.sequence = sequence;
  report.at = now;
  report.counts.clear();
  for (const EndpointCount& count : counts) {
    report.counts[count.endpoint_hash] = count;
  }
  for (auto it = m_reports.begin(); it != m_reports.end();) {
    it = now - it->second.at > kReportLifetime ? m_reports.erase(it) : std::next(it);
  }
}

EndpointCount PeerLoadTable::Sum(uint32_t endpoint_hash, TimePoint now) const {
  EndpointCount sum;
  sum.endpoint_hash = endpoint_hash;
  for (const auto& [incarnation, report] : m_reports) {
    const auto it = report.counts.find(endpoint_hash);
    if (it != report.counts.end() && now - report.at <= kReportLifetime) {
      sum.in_flight += it->second.in_flight;
      sum.awaiting_first_token += it->second.awaiting_first_token;
    }
  }
  return sum;
}

bool PeerLoadTable::HasReportsFrom(const std::vector<std::string>& incarnations, TimePoint now) const {
  return std::all_of(incarnations.begin(), incarnations.end(), [&](const std::string& incarnation) {
    const auto it = m_reports.find(incarnation);
    return it != m_reports.end() && now - it->second.at <= kReportLifetime;
  });
}

}  // namespace quetzalridge
