#include "daemon/peer_exchange.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace quetzalridge {

namespace {

// Limits the size of a status. The counts that changed last are sent.
constexpr size_t kMaxFingerprints = 16;
// How long a report is valid, in rounds. A round is the time in which an instance sends one status to every peer, in an
// order that is random in each round. Two reports of one peer may therefore be almost two rounds apart. With 360
// instances a round takes 45 s, and with a fixed lifetime of 10 s most of the demand would be missing from the sums.
constexpr int kReportLifetimeRounds = 2;
// Lower limits of the lifetime. With few peers a round takes only 1 s, and a few lost statuses must not remove the
// demand of a live peer.
constexpr Duration kMinReportLifetime = Duration::Seconds(5);
constexpr Duration kMinAdmissionLifetime = Duration::Seconds(10);

uint16_t ClampToUint16(int count) {
  return static_cast<uint16_t>(std::clamp(count, 0, static_cast<int>(UINT16_MAX)));
}

void AddDemand(const std::string& service, const std::vector<WorkspaceDemand>& demand, ServiceDemand* sum) {
  for (const WorkspaceDemand& entry : demand) {
    if (entry.service == service) {
      (entry.work_class == WorkClass::kInteractive ? sum->interactive : sum->rollout) += entry.running + entry.waiting;
    }
  }
}

}  // namespace

PeerDigest PeerExchange::MakeDigest() const {
  PeerDigest digest;
  for (const WorkspaceDemand& entry : m_admission->LocalDemand()) {
    digest.demand.push_back({PeerNameHash(entry.service), PeerNameHash(entry.workspace),
                             static_cast<uint8_t>(entry.work_class == WorkClass::kRollout ? 1 : 0),
                             ClampToUint16(entry.running), ClampToUint16(entry.waiting)});
  }
  digest.quarantine = m_quarantine->CountsForPeers(kMaxFingerprints, m_clock->Now());
  return digest;
}

void PeerExchange::OnDigest(const std::string& incarnation, const PeerDigest& digest, Duration round_duration) {
  const TimePoint now = m_clock->Now();
  const Duration lifetime = round_duration * kReportLifetimeRounds;
  m_report_lifetime = std::max(lifetime, kMinReportLifetime);
  m_admission->SetPeerReportLifetime(std::max(lifetime, kMinAdmissionLifetime));
  RemoveExpiredReports(now);
  Report report{now, ResolveNames(digest.demand)};
  m_admission->OnPeerDemand(incarnation, report.demand, now);
  m_quarantine->MergePeerCounts(digest.quarantine, now);
  m_reports[incarnation] = std::move(report);
}

// A restarted instance has a new incarnation, so the report of its old incarnation is never replaced and would stay
// forever.
void PeerExchange::RemoveExpiredReports(TimePoint now) {
  for (auto it = m_reports.begin(); it != m_reports.end();) {
    it = now - it->second.received_at > m_report_lifetime ? m_reports.erase(it) : std::next(it);
  }
}

ServiceDemand PeerExchange::DemandOf(const std::string& service) const {
  ServiceDemand sum;
  AddDemand(service, m_admission->LocalDemand(), &sum);
  const TimePoint now = m_clock->Now();
  for (const auto& [incarnation, report] : m_reports) {
    if (now - report.received_at <= m_report_lifetime) {
      AddDemand(service, report.demand, &sum);
    }
  }
  return sum;
}

// Digests contain hashes of names. Leaves out the entries whose service or workspace is not yet in the configuration of
// this instance.
std::vector<WorkspaceDemand> PeerExchange::ResolveNames(const std::vector<PeerDemand>& demand) const {
  std::map<uint32_t, std::string> services;
  std::map<uint32_t, std::pair<std::string, double>> workspaces;
  const ConfigDocument& document = m_config->document();
  for (const auto& [name, service] : document.services()) {
    services[PeerNameHash(name)] = name;
  }
  for (const auto& [name, workspace] : document.workspaces()) {
    workspaces[PeerNameHash(name)] = {name, workspace.share};
  }
  // Requests on open routes, which need no API key, belong to no workspace.
  workspaces[PeerNameHash("")] = {"", 1.0};
  std::vector<WorkspaceDemand> resolved;
  for (const PeerDemand& entry : demand) {
    const auto service = services.find(entry.service_hash);
    const auto workspace = workspaces.find(entry.workspace_hash);
    if (service == services.end() || workspace == workspaces.end()) {
      continue;
    }
    resolved.push_back({service->second, workspace->second.first,
                        entry.work_class == 1 ? WorkClass::kRollout : WorkClass::kInteractive, workspace->second.second,
                        entry.running, entry.waiting});
  }
  return resolved;
}

}  // namespace quetzalridge
