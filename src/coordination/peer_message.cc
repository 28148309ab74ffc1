#include "coordination/peer_message.h"

#include "base/hash.h"

namespace quetzalridge {

uint32_t PeerNameHash(std::string_view name) {
  return static_cast<uint32_t>(Hash64(name));
}

}  // namespace quetzalridge
