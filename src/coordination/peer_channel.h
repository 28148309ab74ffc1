#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace quetzalridge {

// Sends and receives unreliable datagrams between the instances of one deployment. Addresses have the form "ip:port".
class PeerChannel {
 public:
  using Receiver = std::function<void(const std::string& from, std::string_view datagram)>;

  virtual ~PeerChannel() = default;
  virtual void Send(const std::string& to, std::string_view datagram) = 0;
  virtual void SetReceiver(Receiver receiver) = 0;
};

}  // namespace quetzalridge
