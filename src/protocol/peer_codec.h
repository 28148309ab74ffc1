#pragma once

#include <string>

#include "coordination/peer_message.h"

namespace quetzalridge {

// Larger datagrams may be fragmented, and a lost fragment loses all of it.
constexpr size_t kMaxPeerDatagramBytes = 1200;

// Peer messages in cereal's portable binary format. Counts and most numbers have a variable length: 7 bits a byte, the
// lowest first. Each count is checked against a bound before anything is allocated.
class CerealPeerCodec : public PeerCodec {
 public:
  explicit CerealPeerCodec(std::string cluster) : m_cluster(std::move(cluster)) {}

  std::string Encode(const PeerMessage& message) const override;
  std::optional<PeerMessage> Decode(std::string_view datagram) const override;

 private:
  std::string EncodeWithoutSizeLimit(const PeerMessage& message) const;

  std::string m_cluster;
};

}  // namespace quetzalridge
