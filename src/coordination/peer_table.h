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

// The newest status of one incarnation of another instance.
struct PeerState {
  PeerStatus status;
  std::string address;
  TimePoint received_at;
  // The status was made after this point of the own clock: its sender had received the datagram sent then. Nothing
  // when the sender has received none.
  std::optional<TimePoint> made_after;
};

// What this instance knows from its peers, dated on its own clock. A status names the newest datagram that its sender
// received from here; that datagram's send time is a lower bound for the age of the content, whatever time the status
// spent in buffers or in a paused process.
class PeerTable {
 public:
  explicit PeerTable(const std::string& own_incarnation);

  // Draws the sequence of the next datagram and notes its time.
  uint32_t NextSequence(TimePoint now);
  // Takes a status; false when a newer one of the same incarnation is known already.
  bool Update(const PeerStatus& status, const std::string& from, TimePoint now);

  // By incarnation.
  const std::map<std::string, PeerState>& peers() const { return m_peers; }
  const PeerState* Find(const std::string& incarnation) const;
  void Remove(const std::string& incarnation) { m_peers.erase(incarnation); }
  std::optional<TimePoint> LastReceivedAt(const std::string& incarnation) const;
  // What to put into a status to this incarnation, which may be unknown and then empty, at this address.
  std::vector<PeerAck> AcksFor(const std::string& incarnation, const std::string& address) const;

 private:
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
