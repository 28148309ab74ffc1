#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "base/random.h"
#include "coordination/peer_channel.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {

class FakePeerChannel;

// Delivers datagrams between simulated processes, with random delays and losses, and drops all datagrams between chosen
// pairs of addresses. A paused process receives its datagrams when it is resumed.
class FakePeerNetwork {
 public:
  FakePeerNetwork(ManualScheduler* scheduler, uint64_t seed) : m_scheduler(scheduler), m_random(seed) {}

  double loss_probability = 0.0;
  Duration max_delay = Duration::Milliseconds(3);
  // Pairs of a sender's and a receiver's address between which all datagrams are dropped.
  std::set<std::pair<std::string, std::string>> dropped_pairs;

  // Drops all datagrams between the two addresses, in both directions.
  void Disconnect(const std::string& a, const std::string& b) {
    dropped_pairs.insert({a, b});
    dropped_pairs.insert({b, a});
  }
  void Deliver(const std::string& from, const std::string& to, std::string datagram);

 private:
  friend class FakePeerChannel;

  ManualScheduler* m_scheduler;
  Random m_random;
  std::map<std::string, FakePeerChannel*> m_channels;
};

// The connection of one simulated process to the network.
class FakePeerChannel : public PeerChannel {
 public:
  FakePeerChannel(FakePeerNetwork* network, PausableScheduler* process, std::string address)
      : m_network(network), m_process(process), m_address(std::move(address)), m_alive(std::make_shared<bool>(true)) {
    m_network->m_channels[m_address] = this;
  }
  ~FakePeerChannel() override {
    const auto it = m_network->m_channels.find(m_address);
    if (it != m_network->m_channels.end() && it->second == this) {
      m_network->m_channels.erase(it);
    }
  }

  void Send(const std::string& to, std::string_view datagram) override {
    m_network->Deliver(m_address, to, std::string(datagram));
  }
  void SetReceiver(Receiver receiver) override { m_receiver = std::move(receiver); }

 private:
  friend class FakePeerNetwork;

  void Receive(const std::string& from, std::string datagram) {
    m_process->Post(Duration(), [this, alive = std::weak_ptr<bool>(m_alive), from, datagram = std::move(datagram)] {
      if (!alive.expired() && m_receiver) {
        m_receiver(from, datagram);
      }
    });
  }

  FakePeerNetwork* m_network;
  PausableScheduler* m_process;
  std::string m_address;
  Receiver m_receiver;
  std::shared_ptr<bool> m_alive;
};

inline void FakePeerNetwork::Deliver(const std::string& from, const std::string& to, std::string datagram) {
  if (dropped_pairs.count({from, to}) > 0 || (loss_probability > 0 && m_random.Chance(loss_probability))) {
    return;
  }
  const auto delay =
      Duration::Milliseconds(static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(max_delay.ms()) + 1)));
  m_scheduler->Post(delay, [this, from, to, datagram = std::move(datagram)] {
    const auto it = m_channels.find(to);
    if (it != m_channels.end()) {
      it->second->Receive(from, datagram);
    }
  });
}

}  // namespace quetzalridge
