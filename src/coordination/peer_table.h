#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/peer_message.h"

namespace quetzalridge {

// The newest status that was received from one incarnation of another instance.
struct PeerState {
  PeerStatus status;
  std::string address;
  TimePoint received_at;
  // The peer made its status after this time of the local clock. It is the send time of the newest datagram that the
  // peer has acknowledged. Empty when the peer has acknowledged none.
  std::optional<TimePoint> made_after;
};

// The newest status of each peer, dated on the local clock. A status acknowledges the newest datagram that its sender
// has received from this instance, so the status was made after the send time of that datagram. The send time is used
// as the date of the status. The time of receipt could be much too late, since a status may wait in buffers or in a
// paused process.
class PeerTable {
 public:
  explicit PeerTable(const std::string& own_incarnation);

  // Returns the sequence number for the next status and records the time at which it is sent.
  uint32_t NextSequence(TimePoint now);
  // Stores the status. Returns false and ignores it when the table has the same or a newer one of this incarnation, or
  // is full.
  bool Update(const PeerStatus& status, const std::string& from, TimePoint now);

  // The peers, by incarnation.
  const std::map<std::string, PeerState>& peers() const { return m_peers; }
  const PeerState* Find(const std::string& incarnation) const;
  void Remove(const std::string& incarnation) { m_peers.erase(incarnation); }
  // When the newest status of the incarnation was received.
  std::optional<TimePoint> LastReceivedAt(const std::string& incarnation) const;
  // The acknowledgements for a status that is sent to this address. `incarnation` is the process that should run there,
  // or empty when it is unknown.
  std::vector<PeerAck> AcksFor(const std::string& incarnation, const std::string& address) const;

 private:
  // When the status with this sequence number was sent.
  struct SentDatagram {
    uint32_t sequence = 0;
    TimePoint at;
  };

  std::optional<TimePoint> SentAt(uint32_t sequence) const;

  uint32_t m_own_hash;
  uint32_t m_sequence = 0;
  std::deque<SentDatagram> m_sent_datagrams;
  std::map<std::string, PeerState> m_peers;
};

}  // namespace quetzalridge
