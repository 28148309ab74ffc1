#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/config_document.h"
#include "state/peer_load_table.h"
#include "state/quarantine.h"

namespace quetzalridge {

// The newest message that the sender of a status received from one member.
struct PeerAck {
  uint32_t incarnation_hash = 0;
  uint32_t sequence = 0;
};

// Requests of one workspace at one service, named by hash to save space.
struct PeerDemand {
  uint32_t service_hash = 0;
  uint32_t workspace_hash = 0;
  // 0 interactive, 1 rollout.
  uint8_t work_class = 0;
  uint16_t running = 0;
  uint16_t waiting = 0;
};

// What other modules tell their counterparts on other instances.
struct PeerDigest {
  std::vector<PeerDemand> demand;
  std::vector<FingerprintCount> quarantine;
};

struct PeerStatus {
  std::string sender;
  std::string incarnation;
  // Grows with each datagram of this incarnation.
  uint32_t sequence = 0;
  int64_t applied_version = 0;
  int64_t newest_known_version = 0;
  // The newest version whose being the head was confirmed, and how long ago; -1 when none was.
  int64_t confirmed_version = 0;
  int64_t confirmation_age_ms = -1;
  // The sender has itself read the whole configuration from the store, so it knows of every change that an earlier
  // process with its instance id accepted.
  bool has_read_store = false;
  // False when the store is unreachable and no change of this instance can be on its way into it.
  bool store_reachable = true;
  bool leaving = false;
  // The sender needs fresh knowledge now.
  bool wants_reply = false;
  // Entries of the receiver; a datagram goes to one instance, which reads no others.
  std::vector<PeerAck> acks;
  PeerDigest digest;
};

struct ChangesRequest {
  int64_t from_version = 0;
};

struct ChangesReply {
  std::vector<ConfigChange> changes;
};

// The sender's requests in flight on each endpoint that has any.
struct PeerLoad {
  std::string sender;
  std::string incarnation;
  // Grows with each PeerLoad of this incarnation.
  uint32_t sequence = 0;
  std::vector<EndpointCount> counts;
};

// One datagram; exactly one of the parts is present.
struct PeerMessage {
  std::optional<PeerStatus> status;
  std::optional<ChangesRequest> changes_request;
  std::optional<ChangesReply> changes_reply;
  std::optional<PeerLoad> load;
};

uint32_t PeerNameHash(std::string_view name);

// Turns messages into datagrams and back.
class PeerCodec {
 public:
  virtual ~PeerCodec() = default;
  // Leaves out list entries from the end until the datagram fits.
  virtual std::string Encode(const PeerMessage& message) const = 0;
  // Nothing when the datagram is malformed, or of another cluster or version.
  virtual std::optional<PeerMessage> Decode(std::string_view datagram) const = 0;
};

}  // namespace quetzalridge
