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

// Tells peers how many of this instance's requests are in flight on each endpoint, and enters their counts into the
// endpoints' state.
class LoadExchange {
 public:
  struct Hooks {
    std::function<void(const std::vector<EndpointCount>& counts)> send;
    // Incarnations of the other instances.
    std::function<std::vector<std::string>()> peers;
    // The load estimate has changed, so that requests which wait for a slot can look again.
    std::function<void()> load_changed;
  };

  LoadExchange(Scheduler* scheduler, EndpointRegistry* endpoints, Hooks hooks);

  void Start();
  void OnPeerLoad(const PeerLoad& load);
  // A count of this instance has changed.
  void OnOwnCountsChanged();

 private:
  void OnRepeatTimer();
  void Send();
  void Apply();

  Scheduler* m_scheduler;
  EndpointRegistry* m_endpoints;
  Hooks m_hooks;
  PeerLoadTable m_peer_loads;
  TimePoint m_last_sent_at;
  std::unique_ptr<Timer> m_send_timer;
  std::unique_ptr<Timer> m_repeat_timer;
};

}  // namespace quetzalridge
