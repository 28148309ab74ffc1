#include "tests/history/tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <vector>

#include "base/clock.h"

namespace quetzalridge::history {

namespace {

constexpr int kPollMs = 5;
constexpr size_t kPieceBytes = 64 << 10;
// More is left in the socket, so that a receiver which does not read holds up its sender.
constexpr size_t kMaxPieces = 64;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool IsReset(int fd) {
  pollfd socket = {fd, 0, 0};
  return poll(&socket, 1, 0) > 0 && (socket.revents & POLLERR) != 0;
}

}  // namespace

TcpRelay::TcpRelay(int target_port) : m_target_port(target_port) {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(m_listener, SOMAXCONN) != 0) {
    throw std::runtime_error("the relay cannot listen on the loopback address");
  }
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_thread = std::thread([this] { Run(); });
}

TcpRelay::~TcpRelay() {
  m_stopped = true;
  m_thread.join();
  for (const Connection& connection : m_connections) {
    Close(connection);
  }
  close(m_listener);
}

void TcpRelay::Run() {
  while (!m_stopped) {
    Wait();
    Accept();
    const bool cut = m_cut_existing.exchange(false) || m_mode == Mode::kCut;
    const bool silence = m_silence_existing.exchange(false);
    for (auto it = m_connections.begin(); it != m_connections.end();) {
      it->silent = it->silent || silence;
      const bool held = it->silent || m_mode == Mode::kSilent;
      // As on a network, what is held up is lost if its sender resets the connection.
      if (cut || IsReset(it->forward.from) || IsReset(it->backward.from) || (!held && !Pump(&*it))) {
        Close(*it);
        it = m_connections.erase(it);
      } else {
        ++it;
      }
    }
  }
}

void TcpRelay::Wait() {
  std::vector<pollfd> sockets = {{m_listener, POLLIN, 0}};
  for (const Connection& connection : m_connections) {
    if (!connection.silent && m_mode == Mode::kPass) {
      sockets.push_back({connection.forward.from, static_cast<int16_t>(connection.forward.ended ? 0 : POLLIN), 0});
      sockets.push_back({connection.backward.from, static_cast<int16_t>(connection.backward.ended ? 0 : POLLIN), 0});
    }
  }
  poll(sockets.data(), sockets.size(), kPollMs);
}

void TcpRelay::Accept() {
  for (;;) {
    const int client = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = LoopbackAddress(m_target_port);
    // The target is on this machine: the connection is made or refused at once.
    if (m_mode == Mode::kCut || connect(server, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close(server);
      close(client);
      continue;
    }
    const int one = 1;
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    Connection connection;
    connection.forward.from = connection.backward.to = client;
    connection.forward.to = connection.backward.from = server;
    m_connections.push_back(std::move(connection));
  }
}

bool TcpRelay::Pump(Connection* connection) {
  return PumpFlow(&connection->forward) && PumpFlow(&connection->backward);
}

bool TcpRelay::PumpFlow(Flow* flow) {
  const int64_t now_ms = BootClock().Now().ms();
  while (!flow->ended && flow->pieces.size() < kMaxPieces) {
    std::string data(kPieceBytes, '\0');
    const ssize_t read = recv(flow->from, data.data(), data.size(), MSG_DONTWAIT);
    if (read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    }
    if (read <= 0) {
      flow->ended = true;
      break;
    }
    data.resize(static_cast<size_t>(read));
    flow->pieces.push_back({now_ms + m_delay_ms, std::move(data)});
  }
  while (!flow->pieces.empty() && flow->pieces.front().due_ms <= now_ms) {
    std::string& data = flow->pieces.front().data;
    const ssize_t sent = send(flow->to, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    data.erase(0, static_cast<size_t>(sent));
    if (data.empty()) {
      flow->pieces.pop_front();
    }
  }
  return !(flow->ended && flow->pieces.empty());
}

void TcpRelay::Close(const Connection& connection) {
  close(connection.forward.from);
  close(connection.forward.to);
}

}  // namespace quetzalridge::history
