#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/peer_message.h"
#include "coordination/scheduler.h"
#include "daemon/endpoint_registry.h"
#include "state/peer_load_table.h"

namespace quetzalridge {

// Exchanges in-flight counts with the other instances. Sends how many requests this instance has in flight on each
// endpoint, and stores the counts of the peers in the endpoint registry.
class LoadExchange {
 public:
  struct Hooks {
    // Sends the counts to all peers.
    std::function<void(const std::vector<EndpointCount>& counts)> send;
    // Returns the incarnations of the other instances.
    std::function<std::vector<std::string>()> peers;
    // Called when the load estimate has changed, so that requests that wait for a slot look for one again.
    std::function<void()> load_changed;
  };

  LoadExchange(Scheduler* scheduler, EndpointRegistry* endpoints, Hooks hooks);

  void Start();
  void OnPeerLoad(const PeerLoad& load);
  // Called when a count of this instance has changed. Schedules a send.
  void OnOwnCountsChanged();

 private:
  void OnRepeatTimer();
  void Send();
  void ApplyPeerCounts();

  Scheduler* m_scheduler;
  EndpointRegistry* m_endpoints;
  Hooks m_hooks;
  PeerLoadTable m_peer_loads;
  TimePoint m_last_sent_at;
  std::unique_ptr<Timer> m_send_timer;
  std::unique_ptr<Timer> m_repeat_timer;
};

}  // namespace quetzalridge
