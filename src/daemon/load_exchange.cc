#include "daemon/load_exchange.h"

#include <algorithm>
#include <utility>

namespace quetzalridge {

namespace {

// The shortest time between two sends. With counts that are 100 ms older, the p99 latency of requests beside a
// workspace that sends too many requests was higher in each deployment.
constexpr Duration kMinSendInterval = Duration::Milliseconds(100);
// The counts are also sent when they have not changed, to replace lost datagrams and to show that this instance is
// alive.
constexpr Duration kRepeatInterval = Duration::Seconds(1);

}  // namespace

LoadExchange::LoadExchange(Scheduler* scheduler, EndpointRegistry* endpoints, Hooks hooks)
    : m_scheduler(scheduler), m_endpoints(endpoints), m_hooks(std::move(hooks)) {}

void LoadExchange::Start() {
  m_endpoints->SetCountsChangedCallback([this] { OnOwnCountsChanged(); });
  OnRepeatTimer();
}

void LoadExchange::OnPeerLoad(const PeerLoad& load) {
  m_peer_loads.OnReport(load.incarnation, load.sequence, load.counts, m_scheduler->clock().Now());
  ApplyPeerCounts();
}

void LoadExchange::OnOwnCountsChanged() {
  if (m_send_timer != nullptr) {
    return;
  }
  const TimePoint now = m_scheduler->clock().Now();
  const Duration wait = std::max(m_last_sent_at + kMinSendInterval - now, Duration());
  m_send_timer = m_scheduler->After(wait, [this] { Send(); });
}

// Also applies the peers' counts again, because the counts of a peer that sends no more reports expire.
void LoadExchange::OnRepeatTimer() {
  m_repeat_timer = m_scheduler->After(kRepeatInterval, [this] { OnRepeatTimer(); });
  ApplyPeerCounts();
  OnOwnCountsChanged();
}

void LoadExchange::Send() {
  m_send_timer.reset();
  m_last_sent_at = m_scheduler->clock().Now();
  m_hooks.send(m_endpoints->OwnCounts());
}

void LoadExchange::ApplyPeerCounts() {
  const TimePoint now = m_scheduler->clock().Now();
  m_endpoints->ApplyPeerCounts([this, now](uint32_t endpoint_hash) { return m_peer_loads.Sum(endpoint_hash, now); },
                               m_peer_loads.HasReportsFrom(m_hooks.peers(), now));
  m_hooks.load_changed();
}

}  // namespace quetzalridge
