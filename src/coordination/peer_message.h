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

// Acknowledges the newest datagram that the sender of a status has received from one process.
struct PeerAck {
  uint32_t incarnation_hash = 0;
  uint32_t sequence = 0;
};

// Numbers of requests of one workspace to one service on the sending instance. Hashes replace the names to save space.
struct PeerDemand {
  uint32_t service_hash = 0;
  uint32_t workspace_hash = 0;
  // 0 for interactive requests, 1 for rollouts.
  uint8_t work_class = 0;
  uint16_t running = 0;
  uint16_t waiting = 0;
};

// Summaries that other modules send to the same modules on other instances, as part of each status.
struct PeerDigest {
  std::vector<PeerDemand> demand;
  // How many endpoints each of these requests has crashed, by fingerprint of the request.
  std::vector<FingerprintCount> quarantine;
};

// The state of one instance, sent to every other instance at regular intervals.
struct PeerStatus {
  std::string sender;
  std::string incarnation;
  // Increases with each status of this incarnation.
  uint32_t sequence = 0;
  int64_t applied_version = 0;
  // The highest version that the sender has learned of, applied or not.
  int64_t newest_known_version = 0;
  // The version that was last confirmed as the head of the configuration log, and the age of that confirmation. The age
  // is -1 when there is no confirmation.
  int64_t confirmed_version = 0;
  int64_t confirmation_age_ms = -1;
  // The sender has read the whole configuration from the store since it started, so it knows of every change that an
  // earlier process of its instance accepted.
  bool has_read_store = false;
  // False when the sender cannot reach the store and has no proposal that may still be reported as accepted.
  bool store_reachable = true;
  // The sender is shutting down.
  bool leaving = false;
  // The receiver should send its own status at once, since the sender's confirmation of the head is getting old.
  bool wants_reply = false;
  // Only acknowledgements for the instance that the status is sent to, since that instance ignores all others.
  std::vector<PeerAck> acks;
  PeerDigest digest;
};

// Asks for the configuration changes after a version.
struct ChangesRequest {
  int64_t from_version = 0;
};

struct ChangesReply {
  std::vector<ConfigChange> changes;
};

// How many requests the sender has in flight on each endpoint. Endpoints without such requests are left out.
struct PeerLoad {
  std::string sender;
  std::string incarnation;
  // Increases with each PeerLoad of this incarnation.
  uint32_t sequence = 0;
  std::vector<EndpointCount> counts;
};

// The contents of one datagram. Exactly one member has a value.
struct PeerMessage {
  std::optional<PeerStatus> status;
  std::optional<ChangesRequest> changes_request;
  std::optional<ChangesReply> changes_reply;
  std::optional<PeerLoad> load;
};

// The hash that stands for the name of a service, workspace, endpoint or incarnation in peer messages.
uint32_t PeerNameHash(std::string_view name);

// Encodes messages as datagrams and decodes them.
class PeerCodec {
 public:
  virtual ~PeerCodec() = default;
  // Drops entries from the ends of the lists until the datagram is small enough.
  virtual std::string Encode(const PeerMessage& message) const = 0;
  // Returns nothing when the datagram is malformed, or comes from another cluster or has another format version.
  virtual std::optional<PeerMessage> Decode(std::string_view datagram) const = 0;
};

}  // namespace quetzalridge
