#include "daemon/peer_exchange.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace quetzalridge {

namespace {

// A status has room for a few fingerprints; the newest changes matter most.
constexpr size_t kMaxFingerprints = 16;
// The order of peers is drawn anew in each round, so two reports of one peer may be almost two rounds apart. At 360
// instances a round takes 45 s; with a fixed life of 10 s most of the demand would be missing from the sums.
constexpr int kReportLifetimeRounds = 2;
// With few peers a round takes 1 s; a few statuses may be lost before a peer counts as gone.
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

// Incarnations that are gone do not come back, so their reports would stay for ever.
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

// Names travel as hashes; entries that this instance's configuration does not know yet are left out.
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
  // Requests on open routes belong to no workspace.
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
