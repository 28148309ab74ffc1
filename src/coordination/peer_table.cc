#include "coordination/peer_table.h"

#include <algorithm>

namespace quetzalridge {

namespace {

// An instance sends fewer statuses than this within the validity of a confirmation, so older send times are not needed.
constexpr size_t kMaxSentDatagrams = 512;
// Bounds the acknowledgements for one address. Several processes may have run there one after another, all of which
// stay in the table for a while.
constexpr size_t kMaxAcksPerAddress = 4;
// Bounds the memory when many processes start and stop while the roster cannot be read, since old ones are removed only
// after a read of the roster.
constexpr size_t kMaxPeers = 1024;

}  // namespace

PeerTable::PeerTable(const std::string& own_incarnation) : m_own_hash(PeerNameHash(own_incarnation)) {}

uint32_t PeerTable::NextSequence(TimePoint now) {
  m_sent_datagrams.push_back({++m_sequence, now});
  if (m_sent_datagrams.size() > kMaxSentDatagrams) {
    m_sent_datagrams.pop_front();
  }
  return m_sequence;
}

std::optional<TimePoint> PeerTable::SentAt(uint32_t sequence) const {
  if (m_sent_datagrams.empty() || sequence < m_sent_datagrams.front().sequence ||
      sequence > m_sent_datagrams.back().sequence) {
    return std::nullopt;
  }
  return m_sent_datagrams[sequence - m_sent_datagrams.front().sequence].at;
}

bool PeerTable::Update(const PeerStatus& status, const std::string& from, TimePoint now) {
  const auto known = m_peers.find(status.incarnation);
  if (known == m_peers.end() && m_peers.size() >= kMaxPeers) {
    return false;
  }
  if (known != m_peers.end() && status.sequence <= known->second.status.sequence) {
    return false;
  }
  PeerState& peer = m_peers[status.incarnation];
  peer.status = status;
  peer.address = from;
  peer.received_at = now;
  for (const PeerAck& ack : status.acks) {
    if (ack.incarnation_hash == m_own_hash) {
      const std::optional<TimePoint> made_after = SentAt(ack.sequence);
      if (made_after.has_value()) {
        peer.made_after = made_after;
      }
    }
  }
  return true;
}

const PeerState* PeerTable::Find(const std::string& incarnation) const {
  const auto it = m_peers.find(incarnation);
  return it == m_peers.end() ? nullptr : &it->second;
}

std::optional<TimePoint> PeerTable::LastReceivedAt(const std::string& incarnation) const {
  const PeerState* peer = Find(incarnation);
  return peer == nullptr ? std::nullopt : std::optional<TimePoint>(peer->received_at);
}

// Selects peers by incarnation and by address: the address in the roster may differ from the one that the peer sends
// from, and the process that the roster names may have been replaced since. The given incarnation comes first, so that
// the limit on the number of acknowledgements never removes it.
std::vector<PeerAck> PeerTable::AcksFor(const std::string& incarnation, const std::string& address) const {
  std::vector<const PeerState*> matching;
  for (const auto& entry : m_peers) {
    if (entry.first == incarnation || entry.second.address == address) {
      matching.push_back(&entry.second);
    }
  }
  std::sort(matching.begin(), matching.end(), [&](const PeerState* a, const PeerState* b) {
    const bool a_named = a->status.incarnation == incarnation;
    const bool b_named = b->status.incarnation == incarnation;
    return a_named != b_named ? a_named : a->received_at > b->received_at;
  });
  std::vector<PeerAck> acks;
  for (size_t i = 0; i < std::min(matching.size(), kMaxAcksPerAddress); ++i) {
    const PeerStatus& status = matching[i]->status;
    acks.push_back({PeerNameHash(status.incarnation), status.sequence});
  }
  return acks;
}

}  // namespace quetzalridge
