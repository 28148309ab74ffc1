#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalridge {

// The contents of the row `order/<zone>/<service>`: the numbers of endpoints that the holder of the order duty is about
// to order.
struct OrderIntent {
  int steady = 0;
  int cheap = 0;
  // The sequence number of the order for steady endpoints. The order for cheap endpoints has the next number.
  int64_t sequence = 0;
  // The epoch of the holder's lease.
  int64_t fencing_token = 0;
  std::string holder;
};

std::string OrderPrefix(const std::string& zone);
std::string EncodeOrderIntent(const OrderIntent& intent);
std::optional<OrderIntent> DecodeOrderIntent(const std::string& value);

}  // namespace quetzalridge
