#include "daemon/peer_exchange.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace quetzalridge {

namespace {

// A status has room for a few fingerprints; the newest changes matter most.
constexpr size_t kMaxFingerprints = 16;
// Peers send a status each second; one that is silent for longer may be gone.
constexpr Duration kReportLifetime = Duration::Seconds(5);

uint16_t Clamp(int count) {
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
                             Clamp(entry.running), Clamp(entry.waiting)});
  }
  digest.quarantine = m_quarantine->Digest(kMaxFingerprints, m_clock->Now());
  return digest;
}

void PeerExchange::OnDigest(const std::string& incarnation, const PeerDigest& digest) {
  const TimePoint now = m_clock->Now();
  Report report{now, Resolve(digest.demand)};
  m_admission->OnPeerDemand(incarnation, report.demand, now);
  m_quarantine->Merge(digest.quarantine, now);
  m_reports[incarnation] = std::move(report);
}

ServiceDemand PeerExchange::DemandOf(const std::string& service) const {
  ServiceDemand sum;
  AddDemand(service, m_admission->LocalDemand(), &sum);
  const TimePoint now = m_clock->Now();
  for (const auto& [incarnation, report] : m_reports) {
    if (now - report.at <= kReportLifetime) {
      AddDemand(service, report.demand, &sum);
    }
  }
  return sum;
}

// Names travel as hashes; entries that this instance's configuration does not know yet are left out.
std::vector<WorkspaceDemand> PeerExchange::Resolve(const std::vector<PeerDemand>& demand) const {
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
