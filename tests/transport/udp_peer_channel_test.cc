#include "transport/udp_peer_channel.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

// Guards against a channel that stops after an oversized datagram or after one to a closed port.
TEST_CASE("datagrams arrive with the sender's address") {
  EventLoop loop;
  UdpPeerChannel a(&loop, "127.0.0.1:0");
  UdpPeerChannel b(&loop, "127.0.0.1:0");
  std::string from;
  std::string received;
  b.SetReceiver([&](const std::string& sender, std::string_view datagram) {
    from = sender;
    received = std::string(datagram);
  });
  a.Send("127.0.0.1:1", "to a closed port");
  a.Send(b.local_address(), std::string(5000, 'x'));
  a.Send(b.local_address(), "hello");
  for (int i = 0; i < 100 && received.empty(); ++i) {
    loop.RunOnce(Duration::Milliseconds(20));
  }
  CHECK(received == "hello");
  CHECK(from == a.local_address());
  CHECK(a.dropped() == 1);
}

}  // namespace
}  // namespace quetzalridge
