#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalridge {

// An IPv4 number and a port, written "ip:port".
struct IpPort {
  std::string ip;
  uint16_t port = 0;
};

// Nothing when the text is not an IPv4 number and a port in decimal digits.
std::optional<IpPort> ParseIpPort(const std::string& text);

}  // namespace quetzalridge
