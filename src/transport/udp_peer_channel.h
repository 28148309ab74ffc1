#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/peer_channel.h"
#include "transport/event_loop.h"

namespace quetzalridge {

// Peer datagrams over one UDP socket on the event loop.
class UdpPeerChannel : public PeerChannel {
 public:
  // `address` is "ip:port"; port 0 lets the system choose. Throws Error(kInvalidSettings) when it cannot be bound.
  UdpPeerChannel(EventLoop* loop, const std::string& address);
  ~UdpPeerChannel() override;
  UdpPeerChannel(const UdpPeerChannel&) = delete;
  UdpPeerChannel& operator=(const UdpPeerChannel&) = delete;

  void Send(const std::string& to, std::string_view datagram) override;
  void SetReceiver(Receiver receiver) override;

  // "ip:port" as bound.
  std::string local_address() const;
  // Datagrams that were too large, could not be sent, or had a bad address.
  int64_t dropped() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace quetzalridge
