#pragma once

#include <string>

#include "coordination/peer_message.h"

namespace quetzalridge {

// The network may split a larger datagram into fragments, and the loss of one fragment then loses the whole datagram.
constexpr size_t kMaxPeerDatagramBytes = 1200;

// Encodes peer messages in cereal's portable binary format. Counts and most numbers are varints: numbers of variable
// length with 7 bits in each byte, the lowest bits first. Decode checks each count against a limit before it allocates
// memory. Each datagram contains the name of the cluster, and datagrams of other clusters are dropped.
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
