#include "transport/udp_peer_channel.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>

#include "base/error.h"
#include "base/ip_port.h"
#include "protocol/peer_codec.h"
#include "transport/detail_h2o.h"
#include "transport/socket_address.h"

namespace quetzalridge {

namespace {

// One turn of the loop takes at most this many datagrams, so that a flood does not keep it from other sockets.
constexpr int kMaxDatagramsPerTurn = 64;

std::string FormatAddress(const sockaddr_in& address) {
  char ip[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
  return std::string(ip) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

class UdpPeerChannel::Impl {
 public:
  Impl(EventLoop* loop, const std::string& text) {
    const std::optional<IpPort> ip_port = ParseIpPort(text);
    if (!ip_port.has_value()) {
      throw Error(ErrorCode::kInvalidSettings, "'" + text +
                                                   "' is not an IPv4 address and port; give listen.peer as "
                                                   "for example \"10.0.0.5:9100\"");
    }
    const sockaddr_in address = ToSocketAddress(*ip_port);
    m_fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_fd < 0 || bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      const std::string reason = std::strerror(errno);
      if (m_fd >= 0) {
        close(m_fd);
      }
      throw Error(ErrorCode::kInvalidSettings, "cannot bind " + text + " (" + reason + "); choose a free port");
    }
    // The loop only watches for readability; the datagrams are read here.
    m_socket = h2o_evloop_socket_create(loop->h2o_loop(), m_fd, H2O_SOCKET_FLAG_DONT_READ);
    m_socket->data = this;
    h2o_socket_read_start(m_socket, &OnReadable);
  }

  ~Impl() { h2o_socket_close(m_socket); }

  void Send(const std::string& to, std::string_view datagram) {
    const std::optional<IpPort> ip_port = ParseIpPort(to);
    const sockaddr_in address = ToSocketAddress(ip_port.value_or(IpPort()));
    if (!ip_port.has_value() || datagram.size() > kMaxPeerDatagramBytes ||
        sendto(m_fd, datagram.data(), datagram.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) < 0) {
      ++m_dropped;
    }
  }

  void SetReceiver(Receiver receiver) { m_receiver = std::move(receiver); }
  int64_t dropped() const { return m_dropped; }

  std::string local_address() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
    return FormatAddress(address);
  }

 private:
  static void OnReadable(h2o_socket_t* socket, const char* /*error*/) {
    static_cast<Impl*>(socket->data)->ReceiveAll();
  }

  // A datagram that does not fit into the buffer is longer than any valid one.
  void ReceiveAll() {
    char buffer[kMaxPeerDatagramBytes + 1];
    for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
      sockaddr_in from{};
      socklen_t from_size = sizeof(from);
      const ssize_t size = recvfrom(m_fd, buffer, sizeof(buffer), 0, reinterpret_cast<sockaddr*>(&from), &from_size);
      if (size < 0) {
        // ECONNREFUSED reports an earlier datagram to a closed port and says nothing about the next one.
        if (errno == ECONNREFUSED || errno == EINTR) {
          continue;
        }
        return;
      }
      if (static_cast<size_t>(size) > kMaxPeerDatagramBytes) {
        ++m_dropped;
      } else if (m_receiver) {
        m_receiver(FormatAddress(from), std::string_view(buffer, static_cast<size_t>(size)));
      }
    }
  }

  int m_fd = -1;
  h2o_socket_t* m_socket = nullptr;
  Receiver m_receiver;
  int64_t m_dropped = 0;
};

UdpPeerChannel::UdpPeerChannel(EventLoop* loop, const std::string& address)
    : m_impl(std::make_unique<Impl>(loop, address)) {}

UdpPeerChannel::~UdpPeerChannel() = default;

void UdpPeerChannel::Send(const std::string& to, std::string_view datagram) {
  m_impl->Send(to, datagram);
}

void UdpPeerChannel::SetReceiver(Receiver receiver) {
  m_impl->SetReceiver(std::move(receiver));
}

std::string UdpPeerChannel::local_address() const {
  return m_impl->local_address();
}

int64_t UdpPeerChannel::dropped() const {
  return m_impl->dropped();
}

}  // namespace quetzalridge
