#pragma once

// A small blocking HTTP/1.1 client and server for the stand-ins: one thread per connection, loopback only.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

// The value of the first header with the name, in lower case; empty if there is none.
inline std::string HeaderOf(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

inline sockaddr_in ToAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline bool SendAll(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t size = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

// Reads from one connection; keeps what belongs to the next message.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}

  // Waits for more bytes. False at the end of the connection or after the deadline.
  bool More(int64_t deadline_ms) {
    const int64_t left = deadline_ms - NowMs();
    pollfd ready{m_fd, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char buffer[65536];
    const ssize_t size = recv(m_fd, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      return false;
    }
    m_data.append(buffer, static_cast<size_t>(size));
    return true;
  }

  // Reads the first line and the headers.
  bool Head(int64_t deadline_ms, std::string* first_line, Headers* headers) {
    size_t end = 0;
    while ((end = m_data.find("\r\n\r\n")) == std::string::npos) {
      if (!More(deadline_ms)) {
        return false;
      }
    }
    const std::string head = m_data.substr(0, end);
    m_data.erase(0, end + 4);
    size_t begin = head.find("\r\n");
    *first_line = head.substr(0, begin);
    while (begin != std::string::npos) {
      begin += 2;
      const size_t next = head.find("\r\n", begin);
      const std::string line = head.substr(begin, next == std::string::npos ? next : next - begin);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const size_t value = line.find_first_not_of(' ', colon + 1);
        headers->emplace_back(Lower(line.substr(0, colon)), value == std::string::npos ? "" : line.substr(value));
      }
      begin = next;
    }
    return true;
  }

  bool Bytes(int64_t deadline_ms, size_t size, std::string* bytes) {
    while (m_data.size() < size) {
      if (!More(deadline_ms)) {
        return false;
      }
    }
    *bytes = m_data.substr(0, size);
    m_data.erase(0, size);
    return true;
  }

  bool Line(int64_t deadline_ms, std::string* line) {
    size_t end = 0;
    while ((end = m_data.find("\r\n")) == std::string::npos) {
      if (!More(deadline_ms)) {
        return false;
      }
    }
    *line = m_data.substr(0, end);
    m_data.erase(0, end + 2);
    return true;
  }

  // The body that the headers announce.
  bool Body(int64_t deadline_ms, const Headers& headers, std::string* body) {
    if (Lower(HeaderOf(headers, "transfer-encoding")) == "chunked") {
      std::string line;
      while (Line(deadline_ms, &line)) {
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        std::string chunk;
        std::string end;
        if (!Bytes(deadline_ms, size, &chunk) || !Line(deadline_ms, &end)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
        *body += chunk;
      }
      return false;
    }
    const std::string length = HeaderOf(headers, "content-length");
    return length.empty() || Bytes(deadline_ms, std::strtoul(length.c_str(), nullptr, 10), body);
  }

 private:
  int m_fd;
  std::string m_data;
};

struct Request {
  std::string method;
  std::string path;
  std::string query;
  Headers headers;
  std::string body;
};

// Sends one response. A handler calls Send, or Start, Write and End.
class Responder {
 public:
  explicit Responder(int fd) : m_fd(fd) {}

  void Send(int status, const Headers& headers, const std::string& body) {
    m_ok = SendAll(m_fd, Head(status, headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  void Start(int status, const Headers& headers) {
    m_ok = SendAll(m_fd, Head(status, headers) + "Transfer-Encoding: chunked\r\n\r\n");
  }
  // False once the caller has gone.
  bool Write(const std::string& data) {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    m_ok = m_ok && !CallerGone() && SendAll(m_fd, size + data + "\r\n");
    return m_ok;
  }
  void End() { m_ok = m_ok && SendAll(m_fd, "0\r\n\r\n"); }
  // Ends the connection without the rest of the answer.
  void Abort() { m_ok = false; }
  bool CallerGone() const {
    char byte = 0;
    return recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  bool ok() const { return m_ok; }

 private:
  static std::string Head(int status, const Headers& headers) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + (status < 400 ? " OK" : " Error") + "\r\n";
    for (const auto& [name, value] : headers) {
      head += name + ": " + value + "\r\n";
    }
    return head;
  }

  int m_fd;
  bool m_ok = true;
};

// Serves an address with one thread per connection, until the process ends.
class Server {
 public:
  using Handler = std::function<void(const Request&, Responder*)>;

  Server(const std::string& ip, Handler handler) : m_ip(ip), m_handler(std::move(handler)) {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = ToAddress(ip, 0);
    socklen_t size = sizeof(address);
    if (m_fd < 0 || bind(m_fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(m_fd, 512) != 0 ||
        getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    m_port = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  std::string address() const { return m_ip + ":" + std::to_string(m_port); }

  // Refuses connections from now on.
  void Stop() {
    m_stopped = true;
    shutdown(m_fd, SHUT_RDWR);
    close(m_fd);
  }

 private:
  void Accept() {
    while (!m_stopped) {
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }

  void Serve(int fd) {
    constexpr int64_t kIdleMs = 60'000;
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    Reader reader(fd);
    while (true) {
      Request request;
      std::string line;
      if (!reader.Head(NowMs() + kIdleMs, &line, &request.headers) ||
          !reader.Body(NowMs() + kIdleMs, request.headers, &request.body)) {
        break;
      }
      const size_t first = line.find(' ');
      const size_t last = line.rfind(' ');
      request.method = line.substr(0, first);
      request.path = line.substr(first + 1, last - first - 1);
      const size_t question = request.path.find('?');
      if (question != std::string::npos) {
        request.query = request.path.substr(question + 1);
        request.path.erase(question);
      }
      Responder responder(fd);
      m_handler(request, &responder);
      if (!responder.ok() || m_stopped || Lower(HeaderOf(request.headers, "connection")) == "close") {
        break;
      }
    }
    close(fd);
  }

  std::string m_ip;
  Handler m_handler;
  int m_fd = -1;
  int m_port = 0;
  std::atomic<bool> m_stopped{false};
};

struct Response {
  // 0 if no whole response arrived.
  int status = 0;
  Headers headers;
  std::string body;
};

// Sends one request on a new connection.
inline Response Call(const std::string& ip, int port, const std::string& method, const std::string& target,
                     const Headers& headers, const std::string& body, int64_t timeout_ms) {
  Response response;
  const int64_t deadline = NowMs() + timeout_ms;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToAddress(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return response;
  }
  std::string head = method + " " + target + " HTTP/1.1\r\nConnection: close\r\n";
  for (const auto& [name, value] : headers) {
    head += name + ": " + value + "\r\n";
  }
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  Reader reader(fd);
  std::string line;
  // An answer may come before the whole body was sent, so a failed write does not end the call.
  SendAll(fd, head + body);
  if (reader.Head(deadline, &line, &response.headers) && reader.Body(deadline, response.headers, &response.body)) {
    response.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
  }
  close(fd);
  return response;
}

}  // namespace review
