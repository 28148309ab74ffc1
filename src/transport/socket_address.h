#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include "base/ip_port.h"

namespace quetzalridge {

inline sockaddr_in ToSocketAddress(const IpPort& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

}  // namespace quetzalridge
