#include "protocol/peer_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <limits>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace quetzalridge {

namespace {

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

// Raised when the layout changes; datagrams of other versions are dropped.
constexpr uint16_t kFormatVersion = 2;

// Bounds of each count. A datagram that fits them all may still be too long; Encode shortens it.
constexpr size_t kMaxName = 256;
constexpr size_t kMaxHeard = 40;
constexpr size_t kMaxDemand = 64;
constexpr size_t kMaxQuarantine = 16;
constexpr size_t kMaxChanges = 64;
constexpr size_t kMaxLoad = 128;

// Numbers of variable length carry 7 bits in each byte; the highest bit says that another byte follows.
constexpr int kBitsPerByte = 7;
constexpr int kBitsOfNumber = 64;
constexpr uint8_t kMoreBytes = 0x80;

// The flags of a status share one byte.
constexpr uint8_t kHasReadStore = 1;
constexpr uint8_t kStoreReachable = 2;
constexpr uint8_t kLeaving = 4;
constexpr uint8_t kWantsReply = 8;
constexpr uint8_t kAllFlags = kHasReadStore | kStoreReachable | kLeaving | kWantsReply;

enum class MessageType : uint8_t {
  kStatus = 1,
  kChangesRequest = 2,
  kChangesReply = 3,
  kLoad = 4,
};

class MalformedDatagram : public std::runtime_error {
 public:
  MalformedDatagram() : std::runtime_error("malformed peer datagram; it is dropped") {}
};

// Most numbers of a status are far below the range of their type.
void SaveNumber(Output* out, uint64_t number) {
  while (number >= kMoreBytes) {
    (*out)(static_cast<uint8_t>(number | kMoreBytes));
    number >>= kBitsPerByte;
  }
  (*out)(static_cast<uint8_t>(number));
}

uint64_t LoadNumber(Input* in, uint64_t bound) {
  uint64_t number = 0;
  for (int shift = 0; shift < kBitsOfNumber; shift += kBitsPerByte) {
    uint8_t byte = 0;
    (*in)(byte);
    const auto bits = static_cast<uint64_t>(byte & ~kMoreBytes);
    if ((bits << shift) >> shift != bits) {
      throw MalformedDatagram();
    }
    number |= bits << shift;
    if ((byte & kMoreBytes) == 0) {
      if (number > bound) {
        throw MalformedDatagram();
      }
      return number;
    }
  }
  throw MalformedDatagram();
}

// Numbers from -1 up, which stands for "none".
void SaveSigned(Output* out, int64_t number) {
  SaveNumber(out, static_cast<uint64_t>(number + 1));
}

int64_t LoadSigned(Input* in) {
  return static_cast<int64_t>(LoadNumber(in, static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))) - 1;
}

// cereal's own loaders allocate whatever size the input names, so counts are written and checked here.
void Save(Output* out, const std::string& text) {
  const size_t size = std::min(text.size(), kMaxPeerDatagramBytes);
  SaveNumber(out, size);
  (*out)(cereal::binary_data(text.data(), size));
}

std::string LoadString(Input* in, size_t bound) {
  const size_t size = LoadNumber(in, bound);
  std::string text(size, '\0');
  (*in)(cereal::binary_data(text.data(), size));
  return text;
}

bool LoadBool(Input* in) {
  uint8_t value = 0;
  (*in)(value);
  if (value > 1) {
    throw MalformedDatagram();
  }
  return value == 1;
}

template <typename Item, typename SaveItem>
void SaveList(Output* out, const std::vector<Item>& items, size_t bound, SaveItem save) {
  const size_t count = std::min(items.size(), bound);
  SaveNumber(out, count);
  for (size_t i = 0; i < count; ++i) {
    save(out, items[i]);
  }
}

template <typename Item, typename LoadItem>
void LoadList(Input* in, std::vector<Item>* items, size_t bound, LoadItem load) {
  const size_t count = LoadNumber(in, bound);
  for (size_t i = 0; i < count; ++i) {
    items->push_back(load(in));
  }
}

void SaveHeard(Output* out, const PeerAck& heard) {
  (*out)(heard.incarnation_hash, heard.sequence);
}

PeerAck LoadHeard(Input* in) {
  PeerAck heard;
  (*in)(heard.incarnation_hash, heard.sequence);
  return heard;
}

// The class shares a number with the running requests.
void SaveDemandEntry(Output* out, const PeerDemand& demand) {
  (*out)(demand.workspace_hash);
  SaveNumber(out, static_cast<uint64_t>(demand.running) * 2 + demand.work_class);
  SaveNumber(out, demand.waiting);
}

PeerDemand LoadDemandEntry(Input* in) {
  constexpr uint64_t kMaxCount = std::numeric_limits<uint16_t>::max();
  PeerDemand demand;
  (*in)(demand.workspace_hash);
  const uint64_t running_and_class = LoadNumber(in, kMaxCount * 2 + 1);
  demand.running = static_cast<uint16_t>(running_and_class / 2);
  demand.work_class = static_cast<uint8_t>(running_and_class % 2);
  demand.waiting = static_cast<uint16_t>(LoadNumber(in, kMaxCount));
  return demand;
}

// Entries of one service follow each other, so its hash is written once for all of them.
void SaveDemand(Output* out, const std::vector<PeerDemand>& demand) {
  std::vector<std::vector<PeerDemand>> services;
  for (size_t i = 0; i < std::min(demand.size(), kMaxDemand); ++i) {
    if (services.empty() || services.back().front().service_hash != demand[i].service_hash) {
      services.emplace_back();
    }
    services.back().push_back(demand[i]);
  }
  SaveList(out, services, kMaxDemand, [](Output* each, const std::vector<PeerDemand>& entries) {
    (*each)(entries.front().service_hash);
    SaveList(each, entries, kMaxDemand, SaveDemandEntry);
  });
}

void LoadDemand(Input* in, std::vector<PeerDemand>* demand) {
  const size_t services = LoadNumber(in, kMaxDemand);
  for (size_t i = 0; i < services; ++i) {
    uint32_t service_hash = 0;
    (*in)(service_hash);
    const size_t first = demand->size();
    LoadList(in, demand, kMaxDemand - first, LoadDemandEntry);
    for (size_t entry = first; entry < demand->size(); ++entry) {
      (*demand)[entry].service_hash = service_hash;
    }
  }
}

void SaveFingerprint(Output* out, const FingerprintCount& count) {
  constexpr int kMaxCount = std::numeric_limits<uint8_t>::max();
  (*out)(count.fingerprint, static_cast<uint8_t>(std::min(std::max(count.crashes, 0), kMaxCount)));
}

FingerprintCount LoadFingerprint(Input* in) {
  FingerprintCount count;
  uint8_t crashes = 0;
  (*in)(count.fingerprint, crashes);
  count.crashes = crashes;
  return count;
}

void SaveChange(Output* out, const ConfigChange& change) {
  (*out)(change.version);
  Save(out, std::string(ConfigKindName(change.kind)));
  Save(out, change.name);
  (*out)(static_cast<uint8_t>(change.value.has_value()));
  Save(out, change.value.value_or(""));
}

ConfigChange LoadChange(Input* in) {
  ConfigChange change;
  (*in)(change.version);
  const std::optional<ConfigKind> kind = ParseConfigKind(LoadString(in, kMaxName));
  if (!kind.has_value() || change.version <= 0) {
    throw MalformedDatagram();
  }
  change.kind = *kind;
  change.name = LoadString(in, kMaxName);
  const bool has_value = LoadBool(in);
  std::string value = LoadString(in, kMaxPeerDatagramBytes);
  if (has_value) {
    change.value = std::move(value);
  }
  return change;
}

void SaveStatus(Output* out, const PeerStatus& status) {
  Save(out, status.sender);
  Save(out, status.incarnation);
  SaveNumber(out, status.sequence);
  SaveSigned(out, status.applied_version);
  SaveSigned(out, status.newest_known_version);
  SaveSigned(out, status.confirmed_version);
  SaveSigned(out, status.confirmation_age_ms);
  (*out)(static_cast<uint8_t>((status.has_read_store ? kHasReadStore : 0) |
                              (status.store_reachable ? kStoreReachable : 0) | (status.leaving ? kLeaving : 0) |
                              (status.wants_reply ? kWantsReply : 0)));
  SaveList(out, status.acks, kMaxHeard, SaveHeard);
  SaveList(out, status.digest.quarantine, kMaxQuarantine, SaveFingerprint);
  SaveDemand(out, status.digest.demand);
}

PeerStatus LoadStatus(Input* in) {
  PeerStatus status;
  status.sender = LoadString(in, kMaxName);
  status.incarnation = LoadString(in, kMaxName);
  status.sequence = static_cast<uint32_t>(LoadNumber(in, std::numeric_limits<uint32_t>::max()));
  status.applied_version = LoadSigned(in);
  status.newest_known_version = LoadSigned(in);
  status.confirmed_version = LoadSigned(in);
  status.confirmation_age_ms = LoadSigned(in);
  uint8_t flags = 0;
  (*in)(flags);
  if (flags > kAllFlags) {
    throw MalformedDatagram();
  }
  status.has_read_store = (flags & kHasReadStore) != 0;
  status.store_reachable = (flags & kStoreReachable) != 0;
  status.leaving = (flags & kLeaving) != 0;
  status.wants_reply = (flags & kWantsReply) != 0;
  LoadList(in, &status.acks, kMaxHeard, LoadHeard);
  LoadList(in, &status.digest.quarantine, kMaxQuarantine, LoadFingerprint);
  LoadDemand(in, &status.digest.demand);
  const bool is_valid = !status.sender.empty() && !status.incarnation.empty() && status.applied_version >= 0 &&
                        status.newest_known_version >= status.applied_version && status.confirmed_version >= 0 &&
                        status.confirmation_age_ms >= -1;
  if (!is_valid) {
    throw MalformedDatagram();
  }
  return status;
}

void SaveCount(Output* out, const EndpointCount& count) {
  constexpr int kMax = std::numeric_limits<uint16_t>::max();
  (*out)(count.endpoint_hash, static_cast<uint16_t>(std::clamp(count.in_flight, 0, kMax)),
         static_cast<uint16_t>(std::clamp(count.awaiting_first_token, 0, kMax)));
}

EndpointCount LoadCount(Input* in) {
  EndpointCount count;
  uint16_t in_flight = 0;
  uint16_t starting = 0;
  (*in)(count.endpoint_hash, in_flight, starting);
  if (starting > in_flight) {
    throw MalformedDatagram();
  }
  count.in_flight = in_flight;
  count.awaiting_first_token = starting;
  return count;
}

void SaveLoad(Output* out, const PeerLoad& load) {
  Save(out, load.sender);
  Save(out, load.incarnation);
  (*out)(load.sequence);
  SaveList(out, load.counts, kMaxLoad, SaveCount);
}

PeerLoad LoadLoad(Input* in) {
  PeerLoad load;
  load.sender = LoadString(in, kMaxName);
  load.incarnation = LoadString(in, kMaxName);
  (*in)(load.sequence);
  LoadList(in, &load.counts, kMaxLoad, LoadCount);
  if (load.sender.empty() || load.incarnation.empty()) {
    throw MalformedDatagram();
  }
  return load;
}

PeerMessage LoadMessage(Input* in, const std::string& cluster) {
  uint16_t version = 0;
  (*in)(version);
  if (version != kFormatVersion || LoadString(in, kMaxName) != cluster) {
    throw MalformedDatagram();
  }
  uint8_t type = 0;
  (*in)(type);
  PeerMessage message;
  switch (static_cast<MessageType>(type)) {
    case MessageType::kStatus:
      message.status = LoadStatus(in);
      return message;
    case MessageType::kChangesRequest:
      message.changes_request.emplace();
      (*in)(message.changes_request->from_version);
      return message;
    case MessageType::kChangesReply:
      message.changes_reply.emplace();
      LoadList(in, &message.changes_reply->changes, kMaxChanges, LoadChange);
      return message;
    case MessageType::kLoad:
      message.load = LoadLoad(in);
      return message;
  }
  throw MalformedDatagram();
}

// Demand is repeated each second and its largest entries come first, so its tail is the first to go.
bool Shorten(PeerMessage* message) {
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

// What SaveList leaves out by its bounds is left out here, so that Shorten removes entries that count.
void ApplyBounds(PeerMessage* message) {
  if (message->status.has_value()) {
    PeerStatus& status = *message->status;
    status.acks.resize(std::min(status.acks.size(), kMaxHeard));
    status.digest.quarantine.resize(std::min(status.digest.quarantine.size(), kMaxQuarantine));
    status.digest.demand.resize(std::min(status.digest.demand.size(), kMaxDemand));
  }
  if (message->changes_reply.has_value()) {
    std::vector<ConfigChange>& changes = message->changes_reply->changes;
    changes.resize(std::min(changes.size(), kMaxChanges));
  }
  if (message->load.has_value()) {
    std::vector<EndpointCount>& counts = message->load->counts;
    counts.resize(std::min(counts.size(), kMaxLoad));
  }
}

}  // namespace

std::string CerealPeerCodec::EncodeUnbounded(const PeerMessage& message) const {
  std::ostringstream stream;
  {
    Output out(stream);
    out(kFormatVersion);
    Save(&out, m_cluster);
    if (message.status.has_value()) {
      out(static_cast<uint8_t>(MessageType::kStatus));
      SaveStatus(&out, *message.status);
    } else if (message.changes_request.has_value()) {
      out(static_cast<uint8_t>(MessageType::kChangesRequest), message.changes_request->from_version);
    } else if (message.changes_reply.has_value()) {
      out(static_cast<uint8_t>(MessageType::kChangesReply));
      SaveList(&out, message.changes_reply->changes, kMaxChanges, SaveChange);
    } else if (message.load.has_value()) {
      out(static_cast<uint8_t>(MessageType::kLoad));
      SaveLoad(&out, *message.load);
    }
  }
  return stream.str();
}

std::string CerealPeerCodec::Encode(const PeerMessage& message) const {
  std::string datagram = EncodeUnbounded(message);
  if (datagram.size() <= kMaxPeerDatagramBytes) {
    return datagram;
  }
  PeerMessage shorter = message;
  ApplyBounds(&shorter);
  do {
    datagram = EncodeUnbounded(shorter);
  } while (datagram.size() > kMaxPeerDatagramBytes && Shorten(&shorter));
  return datagram;
}

std::optional<PeerMessage> CerealPeerCodec::Decode(std::string_view datagram) const {
  if (datagram.empty() || datagram.size() > kMaxPeerDatagramBytes) {
    return std::nullopt;
  }
  std::istringstream stream{std::string(datagram)};
  try {
    Input in(stream);
    PeerMessage message = LoadMessage(&in, m_cluster);
    const bool is_used_up = stream.peek() == std::istringstream::traits_type::eof();
    return is_used_up ? std::optional<PeerMessage>(std::move(message)) : std::nullopt;
  } catch (const std::exception&) {
    // cereal throws its own exception at the end of the input.
    return std::nullopt;
  }
}

}  // namespace quetzalridge
