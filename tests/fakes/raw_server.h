#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <functional>
#include <string>
#include <string_view>

namespace quetzalridge {

// A TCP server in the test process that sends fixed bytes as the response to each request. It then closes the
// connection, unless `keeps_connection_open` is set.
class RawServer {
 public:
  enum class End {
    kNone,
    kClosed,
    kReset,
  };

  RawServer() : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(m_fd, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(m_fd, 16) == 0);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
  }
  ~RawServer() {
    Disconnect();
    close(m_fd);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // Accepts a connection if none is open, and sends `response` if a request has arrived. Does not block.
  void Poll(const std::string& response) {
    Poll([&response](std::string_view) { return response; });
  }

  // The same with a response that depends on the bytes of the request. A long request arrives in several pieces, each
  // of which gets a response.
  void Poll(const std::function<std::string(std::string_view request)>& respond) {
    if (m_connection < 0) {
      m_connection = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK);
      connections += m_connection >= 0 ? 1 : 0;
    }
    char request[4096];
    if (m_connection < 0) {
      return;
    }
    const ssize_t received = recv(m_connection, request, sizeof(request), 0);
    if (received == 0) {
      end_of_connection = End::kClosed;
      // The client has closed the connection, so the next one can be accepted.
      Disconnect();
    }
    if (received < 0 && errno == ECONNRESET) {
      end_of_connection = End::kReset;
    }
    if (received <= 0 || m_ended_sending) {
      return;
    }
    ++requests;
    const std::string response = respond(std::string_view(request, static_cast<size_t>(received)));
    send(m_connection, response.data(), response.size(), MSG_NOSIGNAL);
    if (sends_fin_first) {
      shutdown(m_connection, SHUT_WR);
      m_ended_sending = true;
    }
    if (!keeps_connection_open) {
      Close();
    }
  }

  // Closes the open connection, if there is one.
  void Close() {
    if (closes_with_reset && m_connection >= 0) {
      const linger reset_on_close{1, 0};
      setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    }
    Disconnect();
  }

  // Sends further bytes on the open connection. Returns the number that were sent; bytes that do not fit are left out.
  size_t Send(const std::string& bytes) {
    const ssize_t sent =
        m_connection < 0 ? -1 : send(m_connection, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent < 0 ? 0 : static_cast<size_t>(sent);
  }

  // How the client has ended its last connection.
  End end_of_connection = End::kNone;
  bool keeps_connection_open = false;
  // Closes the connection with a TCP reset instead of a FIN.
  bool closes_with_reset = false;
  // Sends a FIN right after the response. If the connection stays open, the rest of the request is read.
  bool sends_fin_first = false;
  int requests = 0;
  int connections = 0;

  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  void Disconnect() {
    if (m_connection >= 0) {
      close(m_connection);
    }
    m_connection = -1;
    m_ended_sending = false;
  }

  int m_fd;
  int m_port = 0;
  int m_connection = -1;
  // The FIN of the open connection was sent.
  bool m_ended_sending = false;
};

}  // namespace quetzalridge
