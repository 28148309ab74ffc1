#include "protocol/peer_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <limits>
#include <sstream>
#include <utility>

#include "protocol/detail_bounded_archive.h"

namespace quetzalridge {

namespace {

using detail::Input;
using detail::MalformedMessage;
using detail::Output;
using detail::ReadBool;
using detail::ReadList;
using detail::ReadNumberOrMinusOne;
using detail::ReadString;
using detail::ReadVarint;
using detail::WriteList;
using detail::WriteNumberOrMinusOne;
using detail::WriteVarint;

// Must be increased when the layout of a message changes. Datagrams of other versions are dropped.
constexpr uint16_t kFormatVersion = 2;

// Limits of each string and list. A message within all limits may still be too long for a datagram. Encode shortens it.
constexpr size_t kMaxNameBytes = 256;
constexpr size_t kMaxAcks = 40;
constexpr size_t kMaxDemandEntries = 64;
constexpr size_t kMaxQuarantineEntries = 16;
constexpr size_t kMaxChanges = 64;
constexpr size_t kMaxEndpointCounts = 128;

// The flags of a status are stored in one byte.
constexpr uint8_t kHasReadStoreFlag = 1;
constexpr uint8_t kStoreReachableFlag = 2;
constexpr uint8_t kLeavingFlag = 4;
constexpr uint8_t kWantsReplyFlag = 8;
constexpr uint8_t kAllFlags = kHasReadStoreFlag | kStoreReachableFlag | kLeavingFlag | kWantsReplyFlag;

enum class MessageType : uint8_t {
  kStatus = 1,
  kChangesRequest = 2,
  kChangesReply = 3,
  kLoad = 4,
};

void WriteString(Output* out, const std::string& text) {
  detail::WriteString(out, text, kMaxPeerDatagramBytes);
}

void WriteAck(Output* out, const PeerAck& ack) {
  (*out)(ack.incarnation_hash, ack.sequence);
}

PeerAck ReadAck(Input* in) {
  PeerAck ack;
  (*in)(ack.incarnation_hash, ack.sequence);
  return ack;
}

// The work class (0 or 1) is the lowest bit of the number that also holds the running requests.
void WriteDemandEntry(Output* out, const PeerDemand& demand) {
  (*out)(demand.workspace_hash);
  WriteVarint(out, static_cast<uint64_t>(demand.running) * 2 + demand.work_class);
  WriteVarint(out, demand.waiting);
}

PeerDemand ReadDemandEntry(Input* in) {
  constexpr uint64_t kMaxCount = std::numeric_limits<uint16_t>::max();
  PeerDemand demand;
  (*in)(demand.workspace_hash);
  const uint64_t running_and_class = ReadVarint(in, kMaxCount * 2 + 1);
  demand.running = static_cast<uint16_t>(running_and_class / 2);
  demand.work_class = static_cast<uint8_t>(running_and_class % 2);
  demand.waiting = static_cast<uint16_t>(ReadVarint(in, kMaxCount));
  return demand;
}

// The entries of one service are adjacent, so the hash of the service is written once for all of them.
void WriteDemand(Output* out, const std::vector<PeerDemand>& demand) {
  std::vector<std::vector<PeerDemand>> services;
  for (size_t i = 0; i < std::min(demand.size(), kMaxDemandEntries); ++i) {
    if (services.empty() || services.back().front().service_hash != demand[i].service_hash) {
      services.emplace_back();
    }
    services.back().push_back(demand[i]);
  }
  WriteList(out, services, kMaxDemandEntries, [](Output* archive, const std::vector<PeerDemand>& entries) {
    (*archive)(entries.front().service_hash);
    WriteList(archive, entries, kMaxDemandEntries, WriteDemandEntry);
  });
}

void ReadDemand(Input* in, std::vector<PeerDemand>* demand) {
  const size_t services = ReadVarint(in, kMaxDemandEntries);
  for (size_t i = 0; i < services; ++i) {
    uint32_t service_hash = 0;
    (*in)(service_hash);
    const size_t first = demand->size();
    ReadList(in, demand, kMaxDemandEntries - first, ReadDemandEntry);
    for (size_t entry = first; entry < demand->size(); ++entry) {
      (*demand)[entry].service_hash = service_hash;
    }
  }
}

void WriteFingerprint(Output* out, const FingerprintCount& count) {
  constexpr int kMaxCount = std::numeric_limits<uint8_t>::max();
  (*out)(count.fingerprint, static_cast<uint8_t>(std::min(std::max(count.crashes, 0), kMaxCount)));
}

FingerprintCount ReadFingerprint(Input* in) {
  FingerprintCount count;
  uint8_t crashes = 0;
  (*in)(count.fingerprint, crashes);
  count.crashes = crashes;
  return count;
}

void WriteChange(Output* out, const ConfigChange& change) {
  (*out)(change.version);
  WriteString(out, std::string(ConfigKindName(change.kind)));
  WriteString(out, change.name);
  (*out)(static_cast<uint8_t>(change.value.has_value()));
  WriteString(out, change.value.value_or(""));
}

ConfigChange ReadChange(Input* in) {
  ConfigChange change;
  (*in)(change.version);
  const std::optional<ConfigKind> kind = ParseConfigKind(ReadString(in, kMaxNameBytes));
  if (!kind.has_value() || change.version <= 0) {
    throw MalformedMessage();
  }
  change.kind = *kind;
  change.name = ReadString(in, kMaxNameBytes);
  const bool has_value = ReadBool(in);
  std::string value = ReadString(in, kMaxPeerDatagramBytes);
  if (has_value) {
    change.value = std::move(value);
  }
  return change;
}

void WriteStatus(Output* out, const PeerStatus& status) {
  WriteString(out, status.sender);
  WriteString(out, status.incarnation);
  WriteVarint(out, status.sequence);
  WriteNumberOrMinusOne(out, status.applied_version);
  WriteNumberOrMinusOne(out, status.newest_known_version);
  WriteNumberOrMinusOne(out, status.confirmed_version);
  WriteNumberOrMinusOne(out, status.confirmation_age_ms);
  (*out)(static_cast<uint8_t>((status.has_read_store ? kHasReadStoreFlag : 0) |
                              (status.store_reachable ? kStoreReachableFlag : 0) | (status.leaving ? kLeavingFlag : 0) |
                              (status.wants_reply ? kWantsReplyFlag : 0)));
  WriteList(out, status.acks, kMaxAcks, WriteAck);
  WriteList(out, status.digest.quarantine, kMaxQuarantineEntries, WriteFingerprint);
  WriteDemand(out, status.digest.demand);
}

PeerStatus ReadStatus(Input* in) {
  PeerStatus status;
  status.sender = ReadString(in, kMaxNameBytes);
  status.incarnation = ReadString(in, kMaxNameBytes);
  status.sequence = static_cast<uint32_t>(ReadVarint(in, std::numeric_limits<uint32_t>::max()));
  status.applied_version = ReadNumberOrMinusOne(in);
  status.newest_known_version = ReadNumberOrMinusOne(in);
  status.confirmed_version = ReadNumberOrMinusOne(in);
  status.confirmation_age_ms = ReadNumberOrMinusOne(in);
  uint8_t flags = 0;
  (*in)(flags);
  if (flags > kAllFlags) {
    throw MalformedMessage();
  }
  status.has_read_store = (flags & kHasReadStoreFlag) != 0;
  status.store_reachable = (flags & kStoreReachableFlag) != 0;
  status.leaving = (flags & kLeavingFlag) != 0;
  status.wants_reply = (flags & kWantsReplyFlag) != 0;
  ReadList(in, &status.acks, kMaxAcks, ReadAck);
  ReadList(in, &status.digest.quarantine, kMaxQuarantineEntries, ReadFingerprint);
  ReadDemand(in, &status.digest.demand);
  const bool is_valid = !status.sender.empty() && !status.incarnation.empty() && status.applied_version >= 0 &&
                        status.newest_known_version >= status.applied_version && status.confirmed_version >= 0 &&
                        status.confirmation_age_ms >= -1;
  if (!is_valid) {
    throw MalformedMessage();
  }
  return status;
}

void WriteEndpointCount(Output* out, const EndpointCount& count) {
  constexpr int kMax = std::numeric_limits<uint16_t>::max();
  (*out)(count.endpoint_hash, static_cast<uint16_t>(std::clamp(count.in_flight, 0, kMax)),
         static_cast<uint16_t>(std::clamp(count.awaiting_first_token, 0, kMax)));
}

EndpointCount ReadEndpointCount(Input* in) {
  EndpointCount count;
  uint16_t in_flight = 0;
  uint16_t awaiting_first_token = 0;
  (*in)(count.endpoint_hash, in_flight, awaiting_first_token);
  if (awaiting_first_token > in_flight) {
    throw MalformedMessage();
  }
  count.in_flight = in_flight;
  count.awaiting_first_token = awaiting_first_token;
  return count;
}

void WritePeerLoad(Output* out, const PeerLoad& load) {
  WriteString(out, load.sender);
  WriteString(out, load.incarnation);
  (*out)(load.sequence);
  WriteList(out, load.counts, kMaxEndpointCounts, WriteEndpointCount);
}

PeerLoad ReadPeerLoad(Input* in) {
  PeerLoad load;
  load.sender = ReadString(in, kMaxNameBytes);
  load.incarnation = ReadString(in, kMaxNameBytes);
  (*in)(load.sequence);
  ReadList(in, &load.counts, kMaxEndpointCounts, ReadEndpointCount);
  if (load.sender.empty() || load.incarnation.empty()) {
    throw MalformedMessage();
  }
  return load;
}

PeerMessage ReadMessage(Input* in, const std::string& cluster) {
  uint16_t version = 0;
  (*in)(version);
  if (version != kFormatVersion || ReadString(in, kMaxNameBytes) != cluster) {
    throw MalformedMessage();
  }
  uint8_t type = 0;
  (*in)(type);
  PeerMessage message;
  switch (static_cast<MessageType>(type)) {
    case MessageType::kStatus:
      message.status = ReadStatus(in);
      return message;
    case MessageType::kChangesRequest:
      message.changes_request.emplace();
      (*in)(message.changes_request->from_version);
      return message;
    case MessageType::kChangesReply:
      message.changes_reply.emplace();
      ReadList(in, &message.changes_reply->changes, kMaxChanges, ReadChange);
      return message;
    case MessageType::kLoad:
      message.load = ReadPeerLoad(in);
      return message;
  }
  throw MalformedMessage();
}

// Removes the least important entry of a message. Returns false when no entry is left. Demand is sent again each second
// and its largest entries come first, so its last entries are removed first.
bool RemoveLastEntry(PeerMessage* message) {
  if (message->status.has_value()) {
    PeerStatus& status = *message->status;
    if (!status.digest.demand.empty()) {
      status.digest.demand.pop_back();
    } else if (!status.digest.quarantine.empty()) {
      status.digest.quarantine.pop_back();
    } else if (!status.acks.empty()) {
      status.acks.pop_back();
    } else {
      return false;
    }
    return true;
  }
  if (message->changes_reply.has_value() && !message->changes_reply->changes.empty()) {
    message->changes_reply->changes.pop_back();
    return true;
  }
  if (message->load.has_value() && !message->load->counts.empty()) {
    message->load->counts.pop_back();
    return true;
  }
  return false;
}

// Removes the entries above the limits, which WriteList would leave out. Otherwise RemoveLastEntry would remove these
// first, without making the datagram shorter.
void TruncateLists(PeerMessage* message) {
  if (message->status.has_value()) {
    PeerStatus& status = *message->status;
    status.acks.resize(std::min(status.acks.size(), kMaxAcks));
    status.digest.quarantine.resize(std::min(status.digest.quarantine.size(), kMaxQuarantineEntries));
    status.digest.demand.resize(std::min(status.digest.demand.size(), kMaxDemandEntries));
  }
  if (message->changes_reply.has_value()) {
    std::vector<ConfigChange>& changes = message->changes_reply->changes;
    changes.resize(std::min(changes.size(), kMaxChanges));
  }
  if (message->load.has_value()) {
    std::vector<EndpointCount>& counts = message->load->counts;
    counts.resize(std::min(counts.size(), kMaxEndpointCounts));
  }
}

}  // namespace

std::string CerealPeerCodec::EncodeWithoutSizeLimit(const PeerMessage& message) const {
  std::ostringstream stream;
  {
    Output out(stream);
    out(kFormatVersion);
    WriteString(&out, m_cluster);
    if (message.status.has_value()) {
      out(static_cast<uint8_t>(MessageType::kStatus));
      WriteStatus(&out, *message.status);
    } else if (message.changes_request.has_value()) {
      out(static_cast<uint8_t>(MessageType::kChangesRequest), message.changes_request->from_version);
    } else if (message.changes_reply.has_value()) {
      out(static_cast<uint8_t>(MessageType::kChangesReply));
      WriteList(&out, message.changes_reply->changes, kMaxChanges, WriteChange);
    } else if (message.load.has_value()) {
      out(static_cast<uint8_t>(MessageType::kLoad));
      WritePeerLoad(&out, *message.load);
    }
  }
  return stream.str();
}

std::string CerealPeerCodec::Encode(const PeerMessage& message) const {
  std::string datagram = EncodeWithoutSizeLimit(message);
  if (datagram.size() <= kMaxPeerDatagramBytes) {
    return datagram;
  }
  PeerMessage shorter = message;
  TruncateLists(&shorter);
  do {
    datagram = EncodeWithoutSizeLimit(shorter);
  } while (datagram.size() > kMaxPeerDatagramBytes && RemoveLastEntry(&shorter));
  return datagram;
}

std::optional<PeerMessage> CerealPeerCodec::Decode(std::string_view datagram) const {
  if (datagram.empty() || datagram.size() > kMaxPeerDatagramBytes) {
    return std::nullopt;
  }
  std::istringstream stream{std::string(datagram)};
  try {
    Input in(stream);
    PeerMessage message = ReadMessage(&in, m_cluster);
    const bool is_fully_read = stream.peek() == std::istringstream::traits_type::eof();
    return is_fully_read ? std::optional<PeerMessage>(std::move(message)) : std::nullopt;
  } catch (const std::exception&) {
    // cereal throws its own type of exception when the input ends too early.
    return std::nullopt;
  }
}

}  // namespace quetzalridge
