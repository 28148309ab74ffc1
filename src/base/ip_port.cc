#include "base/ip_port.h"

#include <arpa/inet.h>

#include <algorithm>

namespace quetzalridge {

std::optional<IpPort> ParseIpPort(const std::string& text) {
  constexpr size_t kMaxPortDigits = 5;
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const std::string digits = text.substr(colon + 1);
  // std::stoi alone would accept signs, leading blanks and trailing characters.
  if (digits.empty() || digits.size() > kMaxPortDigits ||
      !std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; })) {
    return std::nullopt;
  }
  const int port = std::stoi(digits);
  in_addr parsed{};
  std::string ip = text.substr(0, colon);
  if (port > UINT16_MAX || inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return IpPort{std::move(ip), static_cast<uint16_t>(port)};
}

}  // namespace quetzalridge
