#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalridge {

// An IPv4 address and a port, written as "ip:port".
struct IpPort {
  std::string ip;
  uint16_t port = 0;
};

// Returns nothing when `text` is not an IPv4 address, a colon and a port in decimal digits.
std::optional<IpPort> ParseIpPort(const std::string& text);

}  // namespace quetzalridge
